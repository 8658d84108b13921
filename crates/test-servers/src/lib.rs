//! Upstream servers, a discovery service and clients for tests, implemented from the protocol's specification.
//!
//! All of them are components of one [`lupincrank_reactor`] event loop. The program that runs them implements
//! [`Environment`] and receives their [`Observation`]s.

#![forbid(unsafe_code)]

pub mod client;
pub mod discovery;
pub mod line_stream;
pub mod observation;
pub mod upstream_server;

use client::{ClientBehaviour, ClientSession, SessionStep};
use discovery::EndpointList;
use lupincrank_reactor::Application;
use observation::Observation;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use upstream_server::UpstreamFleet;

/// Upper limit of a scaled duration.
const MAX_SCALED_SECONDS: f64 = 86_400.0;

/// A message from the program to a component of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Close the connection at once, with a reset.
    Reset,
    /// Close the connection gracefully.
    Close,
    /// Re-read the state that the component depends on, because it has changed.
    Reevaluate,
}

/// The purpose of a component's deadline. Deadlines of one component that expire at the same instant fire in this
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// An upstream server compares its load with its capacity.
    CheckLoad,
    /// A crashed upstream server restarts.
    Restart,
    /// An upstream server answers a first line, or gives up waiting for one.
    Answer,
    /// An upstream server echoes the lines that it has received.
    Echo,
    /// A discovery watch sends pending changes and heartbeats.
    CheckWatch,
    /// A client gives up waiting for its connection or its answer.
    ClientTimeout,
    /// A client sends its next line.
    SendLine,
    /// A client closes its connection as planned, or after it has lingered.
    Disconnect,
}

/// The program that the components of this crate run in.
pub trait Environment:
    Application<Message = Command, DeadlineKind: From<DeadlineKind> + TryInto<DeadlineKind>>
    + Sized
    + 'static
{
    /// All upstream servers.
    fn upstream_fleet(&mut self) -> &mut UpstreamFleet;
    /// The endpoint list that discovery serves.
    fn endpoint_list(&mut self) -> &mut EndpointList;
    /// The behaviour of clients.
    fn client_behaviour(&self) -> &ClientBehaviour;
    /// Records an observation that a component has just made.
    fn observe(&mut self, observation: Observation);
    /// Called after a step of a client's session; the program plans the next step.
    fn on_session_step(&mut self, session: ClientSession, step: SessionStep);
    /// Returns the time at which the connection to an upstream server from this local address was dialed, if a proxy in
    /// between may have delayed its first bytes.
    fn dialed_at(&self, local: SocketAddr) -> Option<Instant>;
}

/// Multiplies a duration. The result is at most a day, because a factor can be infinite.
pub fn scale_duration(duration: Duration, factor: f64) -> Duration {
    let seconds = duration.as_secs_f64() * factor;
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SCALED_SECONDS))
}
