//! What stands for the data path of a hollow node.

use super::BudgetUsage;
use std::time::Duration;

/// How a node stands in its cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterStatus {
    /// The control group that it takes part in has applied entries up to this epoch; 0 without one.
    pub epoch: u64,
    /// The capacity of the slow-start budget that its control group hands out.
    pub capacity: u32,
    /// Whether it knows a leader of the control group.
    pub has_leader: bool,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// Whether it votes.
    pub is_voter: bool,
    /// Nodes that are alive as far as it knows, itself among them.
    pub alive_count: usize,
    /// What it may use of the slow-start budget now, in new connections in any window of the budget.
    pub lease_limit: u32,
}

/// Stands where the data path would: it is shown how its node stands, and says what it used of the slow-start budget.
pub trait Observer {
    /// The time from one call of [`observe`](Observer::observe) to the next.
    fn interval(&self) -> Duration;

    /// Gives what was used since the last call: the peak in any `window`, and whether something was rejected for lack of a
    /// lease. `is_alive` tells whether the node of that name is alive as far as this one knows.
    fn observe(
        &mut self,
        status: &ClusterStatus,
        window: Duration,
        is_alive: &dyn Fn(&str) -> bool,
    ) -> BudgetUsage;
}
