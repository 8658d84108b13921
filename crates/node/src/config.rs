//! The node's configuration: `RELAY_*` variables and the JSON file that one of them names.

mod document;
mod error;
mod limits;
mod reload;

pub use error::ConfigError;
pub use limits::ResourceLimits;

use crate::cluster_agent::config::ClusterConfig;
use crate::discovery::endpoint_list::EndpointListUpdate;
use lupincrank_placement::Settings;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::time::Duration;

const PATH_VARIABLE: &str = "RELAY_CONFIG";

/// The node's configuration, checked.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where discovery listens.
    pub discovery_address: SocketAddr,
    /// Where admin calls come in, if anywhere.
    pub admin_address: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The descriptor that holds the clients' listening socket, where the platform opened it.
    pub inherited_descriptor: Option<i32>,
    /// What the process may take of the machine.
    pub limits: ResourceLimits,
    /// The file that all of this was read from.
    path: String,
    /// The address of discovery as it is written in the file.
    discovery_in_file: Option<String>,
    /// The file as it is written, but for the entries of the known endpoint list.
    pub document: Value,
    /// The cluster, where an operator's file names one; a change waits for the next start.
    pub cluster: Option<ClusterConfig>,
    /// The endpoint list as this node last had it.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// What the decisions need.
    pub settings: Settings,
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
    /// The names of classes, in their order.
    pub classes: Vec<String>,
    /// The names of zones, in their order.
    pub zones: Vec<String>,
    /// The names of machine kinds, in their order.
    pub machine_kinds: Vec<String>,
    /// The names of tenants, in their order.
    pub tenants: Vec<String>,
    /// The names of the fields of load reports, in their order.
    pub report_fields: Vec<String>,
    /// The same for the report that an answer to a request may close with; empty where answers carry none.
    pub answer_report_fields: Vec<String>,
    /// Whether clients name a group in place of themselves.
    pub has_groups: bool,
    /// The longest time that any client waits.
    pub max_deadline: Duration,
}

impl Config {
    /// Reads the file at `path`, or the one that `RELAY_CONFIG` names. `variable` looks up the environment.
    ///
    /// # Errors
    /// Names the file and what is wrong with it.
    pub fn load(
        path: Option<&str>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let path = path
            .map(str::to_string)
            .or_else(|| variable(PATH_VARIABLE))
            .ok_or(ConfigError::NoPath)?;
        Config::load_file(&path, variable, None)
    }

    /// Reads the file at `path`. Where it is to replace another one, `previous`, it has to hold by the strict rules for
    /// that.
    fn load_file(
        path: &str,
        variable: impl Fn(&str) -> Option<String>,
        previous: Option<&Value>,
    ) -> Result<Config, ConfigError> {
        Config::read_file(path, variable, previous).map_err(|error| ConfigError::File {
            path: path.to_string(),
            source: Box::new(error),
        })
    }

    fn read_file(
        path: &str,
        variable: impl Fn(&str) -> Option<String>,
        previous: Option<&Value>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)?;
        let mut document: Value = serde_json::from_str(&text)?;
        if let Some(previous) = previous {
            lupincrank_settings::validate(&document, Some(previous))?;
        }
        // The list may be long, and only whether it is there is asked for later.
        if let Some(known @ Value::Object(_)) = document.get_mut("known") {
            *known = Value::Object(Map::new());
        }
        let mut config = Config::parse(&text, variable)?;
        config.path = path.to_string();
        config.document = document;
        Ok(config)
    }
}

#[cfg(test)]
mod tests;
