//! A scenario file: sizes, clients, the timeline of faults, and expectations of the run.
//!
//! Errors in a file are reported with their line.

mod fault;
mod validation;

pub use fault::{Fault, FaultKind};
use serde::Deserialize;
use std::io;
use thiserror::Error;
use toml::Spanned;

/// A scenario, with the keys of its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description.
    #[serde(rename = "about")]
    pub description: String,
    /// Number of node processes: 1 to 60.
    pub(crate) nodes: Spanned<usize>,
    /// Number of nodes in the settings; the number of processes if it is missing.
    #[serde(rename = "instances")]
    pub(crate) settings_node_count: Option<usize>,
    /// Zones, to which nodes and servers are assigned in turn.
    #[serde(default = "default_zone_count", rename = "zones")]
    pub(crate) zone_count: usize,
    /// Number of upstream servers that are warm from the start: 1 to 60.
    #[serde(rename = "transcribers")]
    pub(crate) servers: Spanned<usize>,
    /// Period in which client sessions start, once all nodes are ready: 2 to 600 seconds.
    pub(crate) seconds: Spanned<f64>,
    /// Whether the nodes form a cluster; without a cluster they have no operator's file.
    #[serde(default = "default_true", rename = "talk")]
    pub(crate) is_clustered: bool,
    /// Whether clients start only after the cluster has granted its first leases.
    #[serde(default = "default_true", rename = "settled")]
    pub(crate) waits_for_leases: bool,
    /// Whether each node has a folder that persists across restarts.
    #[serde(default, rename = "folder")]
    pub(crate) has_persistent_folders: bool,
    /// The clients.
    #[serde(default)]
    pub(crate) clients: Clients,
    /// The capacity of each upstream server.
    #[serde(default, rename = "bears")]
    pub(crate) server_capacity: ServerCapacity,
    /// The budget of connections to servers that are warming up.
    #[serde(rename = "cold")]
    pub(crate) slow_start_budget: Option<SlowStartBudget>,
    /// The timeline of faults.
    #[serde(default, rename = "fault")]
    pub(crate) faults: Vec<Spanned<Fault>>,
    /// The expectations, in addition to the checker's rules.
    #[serde(default, rename = "hold")]
    pub(crate) expectations: Expectations,
}

fn default_zone_count() -> usize {
    1
}

fn default_true() -> bool {
    true
}

/// The arrivals and behaviour of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Clients {
    /// New clients per second, over all nodes.
    pub(crate) rate: f64,
    /// Mean duration of a client's connection, in seconds.
    #[serde(rename = "stand_s")]
    pub(crate) mean_duration_s: f64,
    /// Time that a client waits for its answer, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub(crate) answer_timeout_ms: u64,
    /// Interval at which a client sends a line, in milliseconds.
    #[serde(rename = "line_ms")]
    pub(crate) line_interval_ms: u64,
    /// Number of key groups among the clients.
    #[serde(rename = "groups")]
    pub(crate) group_count: u64,
    /// Ratio of the first node's clients to those of each other node: 1 to 1,000.
    #[serde(rename = "skew")]
    pub(crate) first_node_weight: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            rate: 20.0,
            mean_duration_s: 8.0,
            answer_timeout_ms: 1500,
            line_interval_ms: 1000,
            group_count: 500,
            first_node_weight: 1.0,
        }
    }
}

/// The capacity of an upstream server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ServerCapacity {
    /// Number of connections that a warm server has capacity for.
    #[serde(rename = "held")]
    pub(crate) connections: f64,
    /// Duration of the warm-up, in seconds.
    #[serde(rename = "cold_s")]
    pub(crate) warm_up_s: f64,
    /// Time that an idle server takes to establish a connection, in milliseconds.
    pub(crate) setup_ms: u64,
}

impl Default for ServerCapacity {
    fn default() -> ServerCapacity {
        ServerCapacity {
            connections: 80.0,
            warm_up_s: 8.0,
            setup_ms: 5,
        }
    }
}

/// The budget of connections to servers that are warming up, as in the operator's file. Without a cluster, the checker
/// applies it but the nodes don't.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SlowStartBudget {
    /// Maximum number of new connections to such servers in any second, over all nodes.
    #[serde(rename = "whole")]
    pub(crate) limit: u32,
    /// The share of the budget that is reserved for each node.
    #[serde(default, rename = "floor")]
    pub(crate) node_floor: u32,
    /// Spans in which the demand of clients exceeds the limit; the budget's usage is measured in these spans.
    #[serde(default, rename = "enough")]
    pub(crate) saturated_spans: Vec<TimeSpan>,
}

/// A span of a run, in seconds after the clients start.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(f64, f64)")]
pub struct TimeSpan {
    /// Start of the span.
    pub from_s: f64,
    /// End of the span.
    pub to_s: f64,
}

impl From<(f64, f64)> for TimeSpan {
    fn from((from_s, to_s): (f64, f64)) -> TimeSpan {
        TimeSpan { from_s, to_s }
    }
}

/// The expectations of a run, in addition to the checker's rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Expectations {
    /// Minimum fraction of the sessions that must be served in time.
    #[serde(rename = "service")]
    pub(crate) min_service_ratio: f64,
    /// Whether all running nodes must report the same leader and count each other as members at the end.
    #[serde(rename = "council")]
    pub(crate) needs_agreement: bool,
    /// Minimum fraction of the budget that must be leased at the end.
    #[serde(rename = "taken")]
    pub(crate) min_leased_ratio: f64,
    /// Minimum fraction of the budget that must be used in its saturated spans.
    #[serde(rename = "used")]
    pub(crate) min_usage_ratio: f64,
    /// Maximum number of clusters that may be bootstrapped; 0 for no limit.
    #[serde(rename = "foundings")]
    pub(crate) max_cluster_count: usize,
}

/// The reason why a scenario can't be loaded.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{path}")]
    Read {
        /// The file.
        path: String,
        /// The reason.
        source: io::Error,
    },
    /// The file's text is not a valid scenario.
    #[error("{path}")]
    Parse {
        /// The file.
        path: String,
        /// The reason.
        source: ScenarioTextError,
    },
}

/// An error in the text of a scenario, with its line.
#[derive(Debug, Error)]
#[error("line {line}: {reason}")]
pub struct ScenarioTextError {
    line: usize,
    reason: String,
}

/// Returns the number of the line that contains this byte.
fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or its text is not a valid scenario.
    pub fn load(path: &str) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
            path: path.to_string(),
            source,
        })?;
        Scenario::parse(&text).map_err(|source| ScenarioError::Parse {
            path: path.to_string(),
            source,
        })
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// If the text does not have the form of a scenario, or has invalid values.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioTextError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| ScenarioTextError {
            line: error.span().map_or(1, |span| line_at(text, span.start)),
            reason: error.message().to_string(),
        })?;
        scenario.validate().map_err(|invalid| ScenarioTextError {
            line: line_at(text, invalid.offset),
            reason: invalid.value.to_string(),
        })?;
        Ok(scenario)
    }

    /// Returns the number of node processes.
    pub fn node_count(&self) -> usize {
        *self.nodes.get_ref()
    }

    /// Returns the number of servers that are warm from the start.
    pub fn server_count(&self) -> usize {
        *self.servers.get_ref()
    }

    /// Returns the period in which client sessions start, in seconds.
    pub fn duration_s(&self) -> f64 {
        *self.seconds.get_ref()
    }

    /// Returns the name of the zone of the node or server with this number.
    pub(crate) fn zone_of(&self, number: usize) -> String {
        zone_name(number % self.zone_count)
    }
}

/// Returns the name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone{zone}")
}

#[cfg(test)]
mod tests;
