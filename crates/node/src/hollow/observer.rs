//! The replacement for the data path of a hollow node.

use super::BudgetUsage;
use std::time::Duration;

/// The status of a node in its cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterStatus {
    /// The epoch: the number of entries that its control group has applied. 0 without a control group.
    pub epoch: u64,
    /// The capacity of the slow-start budget that its control group distributes.
    pub capacity: u32,
    /// Whether the node knows a leader of the control group.
    pub has_leader: bool,
    /// Whether the node is the leader.
    pub is_leader: bool,
    /// Whether the node is a voter.
    pub is_voter: bool,
    /// The number of nodes that the node reports as live, including itself.
    pub live_count: usize,
    /// The share of the slow-start budget that the node may use: new connections in any accounting window.
    pub lease_limit: u32,
}

/// Replaces the data path: it receives the status of its node, and returns its usage of the slow-start budget.
pub trait Observer {
    /// The interval between two calls of [`observe`](Observer::observe).
    fn interval(&self) -> Duration;

    /// Returns the usage since the last call: the peak in any `window`, and whether anything was rejected for lack of a
    /// lease. `is_live` returns true if this node reports the node of that name as live.
    fn observe(
        &mut self,
        status: &ClusterStatus,
        window: Duration,
        is_live: &dyn Fn(&str) -> bool,
    ) -> BudgetUsage;
}
