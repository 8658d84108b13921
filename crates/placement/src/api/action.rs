//! The actions that a balancer requests of its proxy.

use crate::api::{RequestId, ServerId, Timer};
use std::time::Duration;

/// An instruction to the proxy. The actions of a batch are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server, and end the attempt with [`Outcome::TimedOut`](crate::Outcome::TimedOut) if no
    /// answer comes within `timeout`.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The server to which it goes.
        server: ServerId,
        /// The attempt's timeout.
        timeout: Duration,
    },
    /// Answer the client that the request was not served: it was not executed, or repeating it is harmless.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// The `Retry-After` for the client; zero for none.
        retry_after: Duration,
    },
    /// Answer the client that the request failed, without saying whether it was executed.
    Fail(RequestId),
    /// Ask the client of an established connection to reconnect.
    Migrate(RequestId),
    /// Health-check a server; the result comes back as
    /// [`Event::HealthCheckCompleted`](crate::Event::HealthCheckCompleted).
    CheckHealth(ServerId),
    /// Send a short message to all other nodes, best effort; they receive it as
    /// [`Event::Gossip`](crate::Event::Gossip).
    Gossip(String),
    /// Set a timer; its expiry comes back as [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Time until it fires.
        after: Duration,
        /// The purpose of the timer.
        timer: Timer,
    },
    /// Start or restart the watch for endpoint changes at service discovery.
    WatchEndpoints,
}
