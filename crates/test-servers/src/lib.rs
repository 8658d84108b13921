//! Stand-ins for what a node talks with: transcribers, discovery and clients, written from the protocol's description. They run
//! in one loop, and tell what they see with that process's clock: see [`seen`].

#![forbid(unsafe_code)]

pub mod client;
pub mod discovery;
pub mod lines;
pub mod seen;
pub mod transcriber;

use lupincrank_reactor::poller_key;
use lupincrank_reactor::{Application, ComponentId};
use seen::Seen;
use std::time::{Duration, Instant};

/// What is said to a stand-in's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// It ends at once, with a reset.
    Reset,
    /// It ends in good order.
    End,
    /// It looks anew at what it is to do.
    Look,
}

/// The program that stand-ins run in.
pub trait Stage: Application<Message = Note, DeadlineKind = u64> + Sized + 'static {
    /// The fleet of transcribers.
    fn fleet(&mut self) -> &mut transcriber::Fleet;
    /// The list.
    fn list(&mut self) -> &mut discovery::List;
    /// What clients are like.
    fn manners(&self) -> &client::Manners;
    /// Something was seen.
    fn saw(&mut self, seen: Seen);
    /// A visit is over or has to go on: the program plans its next step.
    fn visit(&mut self, visit: client::Visit, next: client::Next);
    /// When the first byte came of a connection that reached a stand-in from this local address: a link in between may have
    /// held it back.
    fn sent_at(&self, from: std::net::SocketAddr) -> Option<Instant>;
}

/// A key of the poller for one side of an object.
pub fn key(id: ComponentId, side: usize) -> usize {
    poller_key(id, side)
}

/// A part of a span, kept within a day: guards against factors that are not finite.
pub fn part(span: Duration, by: f64) -> Duration {
    Duration::from_secs_f64((span.as_secs_f64() * by).clamp(0.0, 86_400.0))
}
