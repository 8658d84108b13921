//! The commands that the placement driver issues.

use crate::deadline::PlacementTimer;
use lupincrank_placement::{RequestId, ServerId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Identifies the component that answers a request's client. The driver passes it back with each command and never
/// interprets it.
pub(crate) type Owner = u64;

/// An attempt to start.
pub(crate) struct AttemptOrder {
    /// The request.
    pub(crate) request: RequestId,
    /// The address on which the server listens.
    pub(crate) address: SocketAddr,
    /// When to stop waiting for the server's answer.
    pub(crate) deadline: Instant,
}

/// A command to be executed by a component.
pub(crate) enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The client's component.
        owner: Owner,
        /// The attempt.
        attempt: AttemptOrder,
    },
    /// Reject the request.
    Reject {
        /// The client's component.
        owner: Owner,
        /// The time for which the client must not retry.
        retry_after: Duration,
    },
    /// End the request as failed.
    Fail {
        /// The client's component.
        owner: Owner,
    },
    /// Ask the client of an established connection to reconnect.
    Migrate {
        /// The client's component.
        owner: Owner,
    },
    /// Check a server's health; the result goes to
    /// [`PlacementDriver::on_health_check`](super::PlacementDriver::on_health_check).
    CheckHealth {
        /// The server.
        server: ServerId,
        /// The address on which it listens.
        address: SocketAddr,
    },
    /// Request updates of the endpoint list from discovery.
    WatchEndpoints,
    /// Call [`PlacementDriver::on_timer`](super::PlacementDriver::on_timer) later.
    SetTimer {
        /// The delay from now.
        after: Duration,
        /// The timer to pass to that call.
        timer: PlacementTimer,
    },
}
