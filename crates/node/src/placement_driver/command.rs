//! What the placement driver wants carried out.

use crate::deadline::PlacementTimer;
use lupincrank_placement::{RequestId, ServerId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Names the component that answers a request's client. The driver hands it back with each command and never looks at it.
pub(crate) type Owner = u64;

/// An attempt to be made.
pub(crate) struct AttemptOrder {
    /// The request.
    pub(crate) request: RequestId,
    /// Where the server listens.
    pub(crate) address: SocketAddr,
    /// When to stop waiting for the server's answer.
    pub(crate) deadline: Instant,
}

/// What is to be carried out.
pub(crate) enum Command {
    /// Make an attempt.
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
        /// How long the client is to stay away.
        retry_after: Duration,
    },
    /// End the request as failed.
    Fail {
        /// The client's component.
        owner: Owner,
    },
    /// Send the client of an established connection away; it connects anew.
    Migrate {
        /// The client's component.
        owner: Owner,
    },
    /// Check a server's health; the result goes to [`PlacementDriver::on_health_check`](super::PlacementDriver::on_health_check).
    CheckHealth {
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask discovery for changes of the endpoint list.
    WatchEndpoints,
    /// Call [`PlacementDriver::on_timer`](super::PlacementDriver::on_timer) later.
    SetTimer {
        /// From now.
        after: Duration,
        /// To be handed back.
        timer: PlacementTimer,
    },
}
