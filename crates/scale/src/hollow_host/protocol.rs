//! The protocol between a run and a process of hollow nodes: arguments, commands and reports.

use crate::topology::Topology;
use lupincrank_fault_injection::node_process::AddressBlock;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// The hollow nodes that a process runs.
#[derive(Clone, Debug)]
pub struct HostRequest {
    /// The first node.
    pub first_node: usize,
    /// Number of nodes of the process.
    pub node_count: usize,
    /// All nodes of the run.
    pub topology: Topology,
    /// Seed of the run.
    pub seed: u64,
}

impl HostRequest {
    /// Returns the nodes of the process.
    pub fn nodes(&self) -> Range<usize> {
        self.first_node..self.first_node + self.node_count
    }

    /// Returns the request as command-line arguments.
    pub fn to_arguments(&self) -> Vec<String> {
        let topology = &self.topology;
        let numbers = [
            self.first_node as u64,
            self.node_count as u64,
            topology.real_count as u64,
            topology.hollow_count as u64,
            topology.expected_count as u64,
            u64::from(topology.address_block.high),
            u64::from(topology.address_block.low),
            u64::from(topology.budget_limit),
            self.seed,
        ];
        numbers.iter().map(ToString::to_string).collect()
    }

    /// Parses the arguments; `None` if their number is wrong.
    pub fn from_arguments(numbers: &[u64]) -> Option<HostRequest> {
        let [first, count, real, hollow, expected, high, low, limit, seed] = *numbers else {
            return None;
        };
        Some(HostRequest {
            first_node: first as usize,
            node_count: count as usize,
            topology: Topology {
                real_count: real as usize,
                hollow_count: hollow as usize,
                expected_count: expected as usize,
                address_block: AddressBlock {
                    high: high as u8,
                    low: low as u8,
                },
                budget_limit: limit as u32,
            },
            seed,
        })
    }
}

/// A command to all nodes of a process, sent as one line.
#[derive(Clone, Debug, PartialEq)]
pub enum HostCommand {
    /// Sets the demand of each node, in uses of the budget per second.
    Demand(f64),
    /// Sets the name of the node whose failure is to be detected.
    Watch(String),
}

/// An invalid command.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidCommand {
    /// The demand is not a number.
    #[error("invalid demand {0:?}")]
    Demand(String),
    /// The line is neither of the commands.
    #[error("unknown command {0:?}: expected demand or watch")]
    Unknown(String),
}

impl fmt::Display for HostCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostCommand::Demand(demand) => write!(formatter, "demand {demand}"),
            HostCommand::Watch(node) => write!(formatter, "watch {node}"),
        }
    }
}

impl FromStr for HostCommand {
    type Err = InvalidCommand;

    fn from_str(line: &str) -> Result<HostCommand, InvalidCommand> {
        match line.split_once(' ') {
            Some(("demand", demand)) => {
                let parsed = demand.parse();
                let demand = parsed.map_err(|_| InvalidCommand::Demand(demand.to_string()))?;
                Ok(HostCommand::Demand(demand))
            }
            Some(("watch", node)) => Ok(HostCommand::Watch(node.to_string())),
            _ => Err(InvalidCommand::Unknown(line.to_string())),
        }
    }
}

/// The state of one node, written as a line of JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Number of the node.
    pub node: usize,
    /// Time of the report, in Unix microseconds.
    pub at_us: u64,
    /// Number of entries of the replicated log that the node has applied.
    pub epoch: u64,
    /// Limit of the budget known to the node.
    #[serde(rename = "whole")]
    pub budget_limit: u32,
    /// Whether the node knows a leader.
    #[serde(rename = "led")]
    pub has_leader: bool,
    /// Whether the node is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Number of nodes that the node reports as live, including itself.
    #[serde(rename = "alive")]
    pub live_count: usize,
    /// Whether the node reports the watched node as live, or no node is watched.
    #[serde(rename = "watched_lives")]
    pub is_watched_node_live: bool,
    /// Uses of the budget since the last report.
    #[serde(rename = "used")]
    pub use_count: u32,
    /// CPU time of the node's thread since its start, in microseconds.
    pub cpu_us: u64,
}

impl NodeReport {
    /// Returns true if another report contains the same state of the cluster.
    pub(super) fn has_same_state(&self, other: &NodeReport) -> bool {
        self.budget_limit == other.budget_limit
            && self.has_leader == other.has_leader
            && self.is_voter == other.is_voter
            && self.live_count == other.live_count
            && self.is_watched_node_live == other.is_watched_node_live
    }
}

/// Returns the current Unix time in microseconds.
pub fn unix_us() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
