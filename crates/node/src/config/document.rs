//! The configuration file's JSON form, and the conversion of the file and environment variables into a [`Config`].

use super::limits::{LimitsDocument, ResourceLimits};
use super::{Config, ConfigError};
use crate::discovery::endpoint_list::EndpointListUpdate;
use lupincrank_placement::Settings;
use lupincrank_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_SEED: &str = "0";
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The highest descriptor of the standard streams.
const MAX_STANDARD_DESCRIPTOR: i32 = 2;

/// The JSON form of the configuration file.
#[derive(Deserialize)]
struct ConfigDocument {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    seed: Option<String>,
    limits: Option<LimitsDocument>,
    known: Option<EndpointListUpdate>,
    settings: DeploymentSettings,
}

/// An entry that can be set in the environment or in the file.
#[derive(Clone, Copy)]
struct Entry {
    variable: &'static str,
    key: &'static str,
}

const NAME: Entry = Entry {
    variable: "RELAY_NAME",
    key: "name",
};
const LISTEN: Entry = Entry {
    variable: "RELAY_LISTEN",
    key: "listen",
};
const DISCOVERY: Entry = Entry {
    variable: "RELAY_DISCOVERY",
    key: "discovery",
};
const MANAGEMENT: Entry = Entry {
    variable: "RELAY_MANAGEMENT",
    key: "management",
};
const INHERITED_DESCRIPTOR: &str = "RELAY_INHERITED_FD";

impl Entry {
    /// Returns the effective value: the environment variable overrides the file.
    fn value(
        self,
        variable: &impl Fn(&str) -> Option<String>,
        in_file: Option<String>,
    ) -> Option<String> {
        variable(self.variable).or(in_file)
    }

    fn required(
        self,
        variable: &impl Fn(&str) -> Option<String>,
        in_file: Option<String>,
    ) -> Result<String, ConfigError> {
        self.value(variable, in_file).ok_or(ConfigError::Missing {
            variable: self.variable,
            key: self.key,
        })
    }

    fn address(self, value: &str) -> Result<SocketAddr, ConfigError> {
        value.parse().map_err(|_| ConfigError::InvalidAddress {
            variable: self.variable,
            key: self.key,
            value: value.to_string(),
        })
    }

    fn optional_address(
        self,
        variable: &impl Fn(&str) -> Option<String>,
        in_file: Option<String>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        self.value(variable, in_file)
            .map(|value| self.address(&value))
            .transpose()
    }

    fn required_address(
        self,
        variable: &impl Fn(&str) -> Option<String>,
        in_file: Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        self.address(&self.required(variable, in_file)?)
    }
}

fn parse_descriptor(value: &str) -> Result<i32, ConfigError> {
    match value.parse() {
        Ok(descriptor) if descriptor > MAX_STANDARD_DESCRIPTOR => Ok(descriptor),
        _ => Err(ConfigError::InvalidDescriptor {
            value: value.to_string(),
        }),
    }
}

fn parse_seed(value: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(value, 16).map_err(|_| ConfigError::InvalidSeed {
        value: value.to_string(),
    })
}

fn placement_settings(deployment: &DeploymentSettings) -> Result<Settings, ConfigError> {
    let mut settings = deployment.placement_settings()?;
    // Over real sockets, discovery sends changes only in answer to a watch request.
    settings.requires_endpoint_watch = true;
    if settings.classes.is_empty() {
        return Err(ConfigError::NoClasses);
    }
    Ok(settings)
}

impl Config {
    /// Parses the file's text; an environment variable overrides the same entry of the file.
    ///
    /// # Errors
    /// The first missing or invalid entry.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file: ConfigDocument = serde_json::from_str(text)?;
        let admin_address = MANAGEMENT.optional_address(&variable, file.management)?;
        let inherited_descriptor = variable(INHERITED_DESCRIPTOR)
            .map(|value| parse_descriptor(&value))
            .transpose()?;
        let deployment = file.settings;
        let settings = placement_settings(&deployment)?;
        let class_names = deployment.class_names();
        let connect_timeout = deployment.connect_timeout();
        let config = Config {
            name: NAME.required(&variable, file.name)?,
            listen_address: LISTEN.required_address(&variable, file.listen)?,
            discovery_address: DISCOVERY.required_address(&variable, file.discovery.clone())?,
            admin_address,
            inherited_descriptor,
            discovery_in_file: file.discovery,
            path: String::new(),
            seed: parse_seed(file.seed.as_deref().unwrap_or(DEFAULT_SEED))?,
            limits: ResourceLimits::from(file.limits.unwrap_or_default()),
            cluster: None,
            known_endpoints: file.known,
            connect_timeout: connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            classes: class_names.into_iter().map(str::to_string).collect(),
            zones: deployment.zones().to_vec(),
            machine_kinds: deployment.machine_kinds().to_vec(),
            tenants: deployment.tenant_names(),
            report_fields: deployment.report_fields(),
            answer_report_fields: deployment.answer_report_fields(),
            has_groups: deployment.has_groups(),
            max_deadline: deployment.max_deadline(),
            settings,
            document: Value::Null,
        };
        config.limits.check()?;
        config.check_known_endpoints()?;
        Ok(config)
    }

    fn check_known_endpoints(&self) -> Result<(), ConfigError> {
        let Some(known) = &self.known_endpoints else {
            return Ok(());
        };
        known.check().map_err(ConfigError::KnownEndpoints)
    }
}
