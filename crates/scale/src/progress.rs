//! What is known of all nodes while a run goes on, without I/O: their last reports, and since when they have reached the
//! present goal.

use crate::error::RunError;
use crate::hollow_host::NodeReport;
use std::collections::BTreeMap;

/// What is known of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeProgress {
    /// Its last report.
    pub report: NodeReport,
    /// Since when it has reached the goal, in Unix microseconds.
    reached_at_us: Option<u64>,
}

/// What nodes are to reach.
#[derive(Clone, Debug, PartialEq)]
pub enum Goal {
    /// They know this limit of the budget.
    BudgetLimit(u32),
    /// They know that the watched node is dead.
    DeathKnown,
}

impl Goal {
    fn is_reached(&self, report: &NodeReport) -> bool {
        match self {
            Goal::BudgetLimit(limit) => report.budget_limit == *limit,
            Goal::DeathKnown => !report.is_watched_alive,
        }
    }
}

/// Uses of the budget by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BudgetUse {
    /// When they were reported, in Unix microseconds.
    pub at_us: u64,
    /// Their number.
    pub count: u32,
}

/// How long nodes took to reach a goal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReachTimes {
    /// Of each node that has reached it, in milliseconds.
    pub reached_ms: Vec<f64>,
    /// The nodes that have not.
    pub missing: Vec<usize>,
}

/// What is known of all nodes.
#[derive(Debug, Default)]
pub struct ClusterProgress {
    nodes: BTreeMap<usize, NodeProgress>,
    goal: Option<Goal>,
    budget_uses: Vec<BudgetUse>,
    failure: Option<RunError>,
}

impl ClusterProgress {
    /// Takes a node's report.
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

    /// Sets a new goal: who has reached it already is known by the next reports.
    pub fn set_goal(&mut self, goal: Goal) {
        self.goal = Some(goal);
        for node in self.nodes.values_mut() {
            node.reached_at_us = None;
        }
    }

    /// Forgets a node that is no longer there.
    pub fn forget(&mut self, node: usize) {
        self.nodes.remove(&node);
    }

    /// What is known of one node.
    pub fn node(&self, node: usize) -> Option<&NodeProgress> {
        self.nodes.get(&node)
    }

    /// The last reports of all nodes.
    pub fn reports(&self) -> impl Iterator<Item = &NodeReport> {
        self.nodes.values().map(|node| &node.report)
    }

    /// How long after `since_us` each node has reached the goal.
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

    /// Those of the first `node_count` nodes that do not follow a leader yet, or do not count all others.
    pub fn unsettled_nodes(&self, node_count: usize) -> Vec<usize> {
        let is_settled = |node: &usize| {
            self.nodes.get(node).is_some_and(|node| {
                let report = &node.report;
                report.has_leader && report.budget_limit > 0 && report.living_count == node_count
            })
        };
        (0..node_count).filter(|node| !is_settled(node)).collect()
    }

    /// All uses of the budget, by time.
    pub fn sorted_budget_uses(&self) -> Vec<BudgetUse> {
        let mut uses = self.budget_uses.clone();
        uses.sort_unstable();
        uses
    }

    /// Records that a process has failed; the first failure counts.
    pub fn fail(&mut self, error: RunError) {
        self.failure.get_or_insert(error);
    }

    /// The first failure of a process.
    pub fn take_failure(&mut self) -> Option<RunError> {
        self.failure.take()
    }
}

#[cfg(test)]
mod tests;
