//! The status that nodes report about their cluster, and checks that the nodes agree.

use super::Harness;
use crate::node_process::NodeProcess;
use std::collections::BTreeMap;
use thiserror::Error;

/// The reason why the cluster does not meet a convergence goal yet.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum NotConverged {
    #[error("{node} reports no status")]
    NoStatus { node: String },
    #[error("{node} counts {counted} live nodes, expected {running}")]
    Membership {
        node: String,
        counted: usize,
        running: usize,
    },
    #[error("{node} counts {leased} leased units, above the limit of {limit}")]
    LeasedAboveLimit {
        node: String,
        leased: f64,
        limit: f64,
    },
    #[error("{node} counts only {leased} of {limit} units as leased")]
    LeasedBelowMinimum {
        node: String,
        leased: f64,
        limit: f64,
    },
    #[error("nodes must agree on one leader, but report: {}", leaders.join(", "))]
    Leaders { leaders: Vec<String> },
}

/// The state that the cluster must reach.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConvergenceGoal {
    /// Whether all running nodes must report the same leader and count each other as members.
    pub(crate) needs_agreement: bool,
    /// Minimum fraction of the budget that must be leased.
    pub(crate) min_leased_ratio: f64,
}

/// The status that one node reports.
struct NodeView<'a> {
    node: &'a str,
    leader: Option<&'a str>,
    member_count: usize,
    leased: f64,
    limit: f64,
}

impl<'a> NodeView<'a> {
    fn read(node: &'a NodeProcess) -> Result<NodeView<'a>, NotConverged> {
        let Some(status) = node.status() else {
            return Err(NotConverged::NoStatus {
                node: node.name().to_string(),
            });
        };
        let control = &status["council"];
        Ok(NodeView {
            node: node.name(),
            leader: control["leader"].as_str(),
            member_count: status["alive"].as_u64().unwrap_or(0) as usize,
            leased: control["sum"].as_f64().unwrap_or(0.0),
            limit: control["whole"].as_f64().unwrap_or(0.0),
        })
    }

    fn check_membership(&self, running: usize) -> Result<(), NotConverged> {
        if self.member_count == running {
            return Ok(());
        }
        Err(NotConverged::Membership {
            node: self.node.to_string(),
            counted: self.member_count,
            running,
        })
    }

    fn check_leased(&self, min_leased_ratio: f64) -> Result<(), NotConverged> {
        let node = self.node.to_string();
        let leased = self.leased;
        let limit = self.limit;
        if leased > limit {
            return Err(NotConverged::LeasedAboveLimit {
                node,
                leased,
                limit,
            });
        }
        if leased < limit * min_leased_ratio {
            return Err(NotConverged::LeasedBelowMinimum {
                node,
                leased,
                limit,
            });
        }
        Ok(())
    }
}

/// Checks that all nodes report the same leader.
fn check_leaders(views: &[NodeView]) -> Result<(), NotConverged> {
    let mut leaders: Vec<&str> = views
        .iter()
        .map(|view| view.leader.unwrap_or("none"))
        .collect();
    leaders.sort_unstable();
    leaders.dedup();
    match leaders.as_slice() {
        [leader] if *leader != "none" => Ok(()),
        _ => Err(NotConverged::Leaders {
            leaders: leaders.iter().map(ToString::to_string).collect(),
        }),
    }
}

impl Harness {
    /// Returns the number of the leader that most running nodes report.
    pub(crate) fn leader(&self) -> Option<usize> {
        let mut report_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.is_running()) {
            let status = node.status();
            if let Some(leader) = status.and_then(|status| status["council"]["leader"].as_str()) {
                *report_counts.entry(leader).or_default() += 1;
            }
        }
        let (leader, _) = report_counts.into_iter().max_by_key(|(_, count)| *count)?;
        self.nodes
            .iter()
            .rposition(|node| node.name() == leader && node.is_running())
    }

    /// Returns the running nodes of the cluster; of two with the same name, only the one that was added later.
    fn cluster_members(&self) -> Vec<&NodeProcess> {
        let is_superseded = |index: usize, node: &NodeProcess| {
            let mut later = self.nodes.iter().skip(index + 1);
            later.any(|other| other.name() == node.name() && other.is_running())
        };
        let nodes = self.nodes.iter().enumerate();
        let members = nodes.filter(|(index, node)| {
            node.is_running() && !node.is_foreign() && !is_superseded(*index, node)
        });
        members.map(|(_, node)| node).collect()
    }

    /// Checks the cluster against a goal. A scenario without a cluster meets every goal.
    pub(crate) fn check_convergence(&self, goal: ConvergenceGoal) -> Result<(), NotConverged> {
        if !self.scenario.is_clustered {
            return Ok(());
        }
        let members = self.cluster_members();
        let mut views = Vec::new();
        for node in &members {
            let view = NodeView::read(node)?;
            if goal.needs_agreement {
                view.check_membership(members.len())?;
            }
            view.check_leased(goal.min_leased_ratio)?;
            views.push(view);
        }
        if goal.needs_agreement {
            check_leaders(&views)?;
        }
        Ok(())
    }
}
