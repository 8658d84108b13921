//! Upstream servers, a discovery service and clients for tests, written from the protocol's description.
//!
//! All of them are components of one [`lupincrank_reactor`] loop. The program that runs them implements [`Environment`],
//! and receives what they see as [`Observation`]s.

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

/// What the program tells a component of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Close the connection at once, with a reset.
    Reset,
    /// Close the connection gracefully.
    Close,
    /// Read the state that the component depends on again, because it has changed.
    Reevaluate,
}

/// What a deadline of this crate's components is for. Deadlines of one component that fall due at the same instant fire
/// in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// An upstream server compares its load with its capacity.
    CheckLoad,
    /// A crashed upstream server comes back.
    Restart,
    /// An upstream server answers a first line, or has waited for one in vain.
    Answer,
    /// An upstream server returns the lines that it has received.
    Echo,
    /// A discovery watch looks for changes and heartbeats to send.
    CheckWatch,
    /// A client has waited long enough to be connected or answered.
    ClientTimeout,
    /// A client sends its next line.
    SendLine,
    /// A client's connection ends as planned.
    Leave,
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
    /// How clients behave.
    fn client_behaviour(&self) -> &ClientBehaviour;
    /// Records something that a component has observed just now.
    fn observe(&mut self, observation: Observation);
    /// A client's session has made a step; the program plans what follows from it.
    fn on_session_step(&mut self, session: ClientSession, step: SessionStep);
    /// When a connection that reached an upstream server from this local address was dialed, if a proxy in between may
    /// have held its first bytes back.
    fn dialed_at(&self, local: SocketAddr) -> Option<Instant>;
}

/// Multiplies a duration. The result is within a day: factors may not be finite.
pub fn scale_duration(duration: Duration, factor: f64) -> Duration {
    let seconds = duration.as_secs_f64() * factor;
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SCALED_SECONDS))
}
