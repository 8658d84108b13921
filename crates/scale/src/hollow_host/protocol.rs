//! What a run and a process of hollow nodes tell each other: arguments, commands and reports.

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
    /// Number of its nodes.
    pub node_count: usize,
    /// All nodes of the run.
    pub topology: Topology,
    /// The seed of the run.
    pub seed: u64,
}

impl HostRequest {
    /// The nodes of the process.
    pub fn nodes(&self) -> Range<usize> {
        self.first_node..self.first_node + self.node_count
    }

    /// The request as arguments of the command line.
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

    /// Reads the arguments back; none if their number is another.
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

/// A command to all nodes of a process, as one line.
#[derive(Clone, Debug, PartialEq)]
pub enum HostCommand {
    /// Each node has demand for so many uses of the budget in a second.
    Demand(f64),
    /// The death of the node with this name is watched for.
    Watch(String),
}

/// A line that is no command.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidCommand {
    /// The demand is no number.
    #[error("{0:?} is no demand")]
    Demand(String),
    /// The line is another.
    #[error("{0:?} is neither demand nor watch")]
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

/// The state of one node, as a line of JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's number.
    pub node: usize,
    /// When it was written, in Unix microseconds.
    pub at_us: u64,
    /// Entries of the replicated log that it has applied.
    pub epoch: u64,
    /// The limit of the budget that it knows.
    #[serde(rename = "whole")]
    pub budget_limit: u32,
    /// Whether it knows a leader.
    #[serde(rename = "led")]
    pub has_leader: bool,
    /// Whether it is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Living nodes as far as it knows, itself among them.
    #[serde(rename = "alive")]
    pub living_count: usize,
    /// Whether the watched node lives as far as it knows.
    #[serde(rename = "watched_lives")]
    pub is_watched_alive: bool,
    /// Uses of the budget since its last report.
    #[serde(rename = "used")]
    pub use_count: u32,
    /// Processor time of its thread so far, in microseconds.
    pub cpu_us: u64,
}

impl NodeReport {
    /// Whether another report says the same of the cluster.
    pub(super) fn has_same_state(&self, other: &NodeReport) -> bool {
        self.budget_limit == other.budget_limit
            && self.has_leader == other.has_leader
            && self.is_voter == other.is_voter
            && self.living_count == other.living_count
            && self.is_watched_alive == other.is_watched_alive
    }
}

/// Now, as Unix time in microseconds.
pub fn unix_us() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
