//! The node's configuration: `RELAY_*` environment variables and a JSON configuration file.

mod document;
mod error;
mod limits;
mod reload;

pub use error::ConfigError;
pub use limits::ResourceLimits;

use crate::cluster_agent::config::ClusterConfig;
use crate::discovery::endpoint_list::EndpointListUpdate;
use lupincrank_placement::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const PATH_VARIABLE: &str = "RELAY_CONFIG";

/// The node's validated configuration.
pub struct Config {
    /// The node's name, which stays the same after a restart.
    pub name: String,
    /// The address on which clients connect.
    pub listen_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The address for admin calls, if any.
    pub admin_address: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The descriptor of the clients' listening socket, if the platform opened it.
    pub inherited_descriptor: Option<i32>,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// The path of the configuration file.
    path: String,
    /// The address of discovery as written in the file.
    discovery_in_file: Option<String>,
    /// The file as JSON, with a summary of the known endpoint list.
    pub document: Value,
    /// The cluster, if the operator's file defines one; changes apply at the next start.
    pub cluster: Option<ClusterConfig>,
    /// The initial endpoint list: the last one that this node received; `None` once it is applied.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// The settings of the placement module.
    pub settings: Settings,
    /// The timeout for establishing a connection to a server.
    pub connect_timeout: Duration,
    /// The names of classes, by index.
    pub classes: Vec<String>,
    /// The names of zones, by index.
    pub zones: Vec<String>,
    /// The names of machine kinds, by index.
    pub machine_kinds: Vec<String>,
    /// The names of tenants, by index.
    pub tenants: Vec<String>,
    /// The names of the fields of load reports, by index.
    pub report_fields: Vec<String>,
    /// The names of the fields of load reports at the end of answers to requests; empty if answers contain none.
    pub answer_report_fields: Vec<String>,
    /// Whether the subject of a client's first line is a group instead of a key.
    pub has_groups: bool,
    /// The longest deadline of any request class.
    pub max_deadline: Duration,
}

impl Config {
    /// Reads the file at `path`, or at the path in `RELAY_CONFIG`. `variable` looks up environment variables.
    ///
    /// # Errors
    /// If the file cannot be read or is not valid; the error names the file.
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

    /// Returns the index of a class; the index of no class if the settings do not contain it, as after a reload.
    pub(crate) fn class_index(&self, name: &str) -> usize {
        let index = self.classes.iter().position(|class| class == name);
        index.unwrap_or(usize::MAX)
    }

    /// Reads the file at `path`. If it replaces another file, `previous`, it must also pass the strict validation for
    /// replacements.
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
        lupincrank_settings::summarize_known_hosts(&mut document);
        let mut config = Config::parse(&text, variable)?;
        config.path = path.to_string();
        config.document = document;
        Ok(config)
    }
}

#[cfg(test)]
mod tests;
