//! A scenario file: sizes, clients, the time line of faults, and what is expected of the run.
//!
//! An error names the line of the file.

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
    /// What it shows, in a line.
    #[serde(rename = "about")]
    pub description: String,
    /// Node processes: 1 to 60.
    pub(crate) nodes: Spanned<usize>,
    /// Number of nodes that the settings name; that of the processes if it is missing.
    #[serde(rename = "instances")]
    pub(crate) settings_node_count: Option<usize>,
    /// Zones, to which nodes and servers are assigned in turn.
    #[serde(default = "default_zone_count", rename = "zones")]
    pub(crate) zone_count: usize,
    /// Upstream servers that are warm from the start: 1 to 60.
    #[serde(rename = "transcribers")]
    pub(crate) servers: Spanned<usize>,
    /// How long clients come, after all nodes are ready: 2 to 600 seconds.
    pub(crate) seconds: Spanned<f64>,
    /// Whether the nodes form a cluster; without one they have no operator's file.
    #[serde(default = "default_true", rename = "talk")]
    pub(crate) is_clustered: bool,
    /// Whether clients wait for the cluster's first leases.
    #[serde(default = "default_true", rename = "settled")]
    pub(crate) waits_for_leases: bool,
    /// Whether each node has a folder that outlives its processes.
    #[serde(default, rename = "folder")]
    pub(crate) has_persistent_folders: bool,
    /// The clients.
    #[serde(default)]
    pub(crate) clients: Clients,
    /// How much load an upstream server bears.
    #[serde(default, rename = "bears")]
    pub(crate) server_capacity: ServerCapacity,
    /// The budget of connections to servers that are warming up.
    #[serde(rename = "cold")]
    pub(crate) warm_up_budget: Option<WarmUpBudget>,
    /// The time line.
    #[serde(default, rename = "fault")]
    pub(crate) faults: Vec<Spanned<Fault>>,
    /// What must hold besides the checker's rules.
    #[serde(default, rename = "hold")]
    pub(crate) expectations: Expectations,
}

fn default_zone_count() -> usize {
    1
}

fn default_true() -> bool {
    true
}

/// How clients come and behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Clients {
    /// New ones in a second, over all nodes.
    pub(crate) rate: f64,
    /// How long their connections last in the mean, in seconds.
    #[serde(rename = "stand_s")]
    pub(crate) mean_duration_s: f64,
    /// How long each waits for its answer, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub(crate) answer_timeout_ms: u64,
    /// How often each sends a line, in milliseconds.
    #[serde(rename = "line_ms")]
    pub(crate) line_interval_ms: u64,
    /// Number of key groups that they belong to.
    #[serde(rename = "groups")]
    pub(crate) group_count: u64,
    /// How many times as many of them the first node gets as each other one: 1 to 1,000.
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

/// How much load an upstream server bears.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ServerCapacity {
    /// Connections that a warm one serves well.
    #[serde(rename = "held")]
    pub(crate) connections: f64,
    /// How long one warms up, in seconds.
    #[serde(rename = "cold_s")]
    pub(crate) warm_up_s: f64,
    /// How long an idle one takes to establish a connection, in milliseconds.
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

/// The budget of connections to servers that are warming up, as in the operator's file; without a cluster it is only
/// checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WarmUpBudget {
    /// New connections to such servers in any second, over all nodes.
    #[serde(rename = "whole")]
    pub(crate) limit: u32,
    /// The part that is set aside for each node.
    #[serde(default, rename = "floor")]
    pub(crate) node_floor: u32,
    /// Spans in which clients want more than the limit: the budget's usage is measured there.
    #[serde(default, rename = "enough")]
    pub(crate) saturated_spans: Vec<TimeSpan>,
}

/// A span of a run, in seconds after the first client.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(f64, f64)")]
pub struct TimeSpan {
    /// Its beginning.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
}

impl From<(f64, f64)> for TimeSpan {
    fn from((from_s, to_s): (f64, f64)) -> TimeSpan {
        TimeSpan { from_s, to_s }
    }
}

/// What must hold besides the checker's rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Expectations {
    /// The least ratio of the sessions that is served in time.
    #[serde(rename = "service")]
    pub(crate) min_service_ratio: f64,
    /// Whether all running nodes must name one leader and count each other at the end.
    #[serde(rename = "council")]
    pub(crate) one_leader_at_end: bool,
    /// The least ratio of the budget that is leased at the end.
    #[serde(rename = "taken")]
    pub(crate) min_leased_ratio: f64,
    /// The least ratio of the budget that is used in its saturated spans.
    #[serde(rename = "used")]
    pub(crate) min_usage_ratio: f64,
    /// The most clusters that may be bootstrapped; any number if it is 0.
    #[serde(rename = "foundings")]
    pub(crate) max_cluster_count: usize,
}

/// Why a scenario can't be used.
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
    /// The file's text is not a scenario.
    #[error("{path}")]
    Parse {
        /// The file.
        path: String,
        /// The reason.
        source: ScenarioTextError,
    },
}

/// What is wrong with the text of a scenario, with its line.
#[derive(Debug, Error)]
#[error("line {line}: {reason}")]
pub struct ScenarioTextError {
    line: usize,
    reason: String,
}

/// The number of the line with this byte.
fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or its text is not a scenario.
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
    /// If the text has another form than a scenario's, or values that are out of bounds.
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

    /// Number of node processes.
    pub fn node_count(&self) -> usize {
        *self.nodes.get_ref()
    }

    /// Number of servers that are warm from the start.
    pub fn server_count(&self) -> usize {
        *self.servers.get_ref()
    }

    /// How long clients come, in seconds.
    pub fn duration_s(&self) -> f64 {
        *self.seconds.get_ref()
    }

    /// Name of the zone that a node or server with this number belongs to.
    pub(crate) fn zone_of(&self, number: usize) -> String {
        zone_name(number % self.zone_count)
    }
}

/// The name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone{zone}")
}

#[cfg(test)]
mod tests;
