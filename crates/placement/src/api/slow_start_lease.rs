//! The lease on a node's share of the fleet's slow-start budget.

use crate::api::Timestamp;
use std::time::Duration;

/// A node's share of the fleet-wide budget of new connections to servers that are warming up.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartLease {
    /// The node's fraction of the fleet's traffic, 0 to 1. While the lease is valid, it replaces an even split by
    /// [`Settings::node_count`](crate::Settings::node_count).
    pub fleet_share: f64,
    /// Maximum number of new connections in any `window` while the lease is valid.
    pub limit: u32,
    /// The expiry of the lease; `None` if the node holds no lease.
    pub expires_at: Option<Timestamp>,
    /// Maximum number of new connections in any `window` without a valid lease.
    pub floor: u32,
    /// The span over which new connections are counted.
    pub window: Duration,
}
