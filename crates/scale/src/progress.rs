//! The state of all nodes during a run, without I/O: their last reports, and when they reached the current goal.

use crate::error::RunError;
use crate::hollow_host::NodeReport;
use std::collections::BTreeMap;

/// State of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeProgress {
    /// The last report.
    pub report: NodeReport,
    /// Time at which the node reached the goal, in Unix microseconds.
    reached_at_us: Option<u64>,
}

/// A state that all nodes are expected to reach.
#[derive(Clone, Debug, PartialEq)]
pub enum Goal {
    /// Nodes know this limit of the budget.
    BudgetLimit(u32),
    /// Nodes do not report the watched node as live.
    FailureKnown,
}

impl Goal {
    fn is_reached(&self, report: &NodeReport) -> bool {
        match self {
            Goal::BudgetLimit(limit) => report.budget_limit == *limit,
            Goal::FailureKnown => !report.is_watched_node_live,
        }
    }
}

/// Uses of the budget by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BudgetUse {
    /// Time of the report, in Unix microseconds.
    pub at_us: u64,
    /// Number of uses.
    pub count: u32,
}

/// Times that nodes took to reach a goal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReachTimes {
    /// Time of each node that reached the goal, in milliseconds.
    pub reached_ms: Vec<f64>,
    /// The nodes that have not reached the goal.
    pub missing: Vec<usize>,
}

/// State of all nodes.
#[derive(Debug, Default)]
pub struct ClusterProgress {
    nodes: BTreeMap<usize, NodeProgress>,
    goal: Option<Goal>,
    budget_uses: Vec<BudgetUse>,
    failure: Option<RunError>,
}

impl ClusterProgress {
    /// Records a node's report.
    pub fn record(&mut self, report: NodeReport) {
        if report.use_count > 0 {
            self.budget_uses.push(BudgetUse {
                at_us: report.at_us,
                count: report.use_count,
            });
        }
        let node = self.nodes.entry(report.node).or_default();
        let goal = self.goal.as_ref();
        if goal.is_some_and(|goal| goal.is_reached(&report)) {
            node.reached_at_us.get_or_insert(report.at_us);
        }
        node.report = report;
    }

    /// Sets a new goal. Nodes that have already reached it count from their next reports.
    pub fn set_goal(&mut self, goal: Goal) {
        self.goal = Some(goal);
        for node in self.nodes.values_mut() {
            node.reached_at_us = None;
        }
    }

    /// Removes a node, so that the goal does not wait for it.
    pub fn remove_node(&mut self, node: usize) {
        self.nodes.remove(&node);
    }

    /// Returns the state of one node.
    pub fn node(&self, node: usize) -> Option<&NodeProgress> {
        self.nodes.get(&node)
    }

    /// Returns the last reports of all nodes.
    pub fn reports(&self) -> impl Iterator<Item = &NodeReport> {
        self.nodes.values().map(|node| &node.report)
    }

    /// Returns the time from `since_us` until each node reached the goal.
    pub fn reach_times(&self, since_us: u64) -> ReachTimes {
        let mut times = ReachTimes::default();
        for (number, node) in &self.nodes {
            match node.reached_at_us {
                Some(at_us) => {
                    let elapsed_us = at_us.saturating_sub(since_us);
                    times.reached_ms.push(elapsed_us as f64 / 1000.0);
                }
                None => times.missing.push(*number),
            }
        }
        times
    }

    /// Returns those of the first `node_count` nodes that have no leader or budget limit yet, or do not report all
    /// `node_count` nodes as live.
    pub fn unsettled_nodes(&self, node_count: usize) -> Vec<usize> {
        let is_settled = |node: &usize| {
            self.nodes.get(node).is_some_and(|node| {
                let report = &node.report;
                report.has_leader && report.budget_limit > 0 && report.live_count == node_count
            })
        };
        (0..node_count).filter(|node| !is_settled(node)).collect()
    }

    /// Returns all uses of the budget, ordered by time.
    pub fn sorted_budget_uses(&self) -> Vec<BudgetUse> {
        let mut uses = self.budget_uses.clone();
        uses.sort_unstable();
        uses
    }

    /// Records the failure of a process; only the first failure is kept.
    pub fn record_failure(&mut self, error: RunError) {
        self.failure.get_or_insert(error);
    }

    /// Takes the first failure of a process.
    pub fn take_failure(&mut self) -> Option<RunError> {
        self.failure.take()
    }
}

#[cfg(test)]
mod tests;
