//! Reloads the configuration while the node runs.

use super::{Config, ConfigError};

/// The result of a reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Changed entries that apply only at the next start.
    pub pending_restart: Vec<&'static str>,
    /// For each class, its index before the reload; `None` if the class is new.
    pub previous_class_indices: Vec<Option<usize>>,
}

impl Config {
    /// Reads the file again; an invalid file changes nothing. If the discovery address in the file has changed, it
    /// overrides `RELAY_DISCOVERY`: the file can be replaced while the program runs, its environment can't.
    ///
    /// # Errors
    /// If the file is not valid or must not replace the one in use; the error names the file.
    pub fn reread(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut new_config = Config::load_file(&self.path, variable, Some(&self.document))?;
        match &new_config.discovery_in_file {
            Some(value) if new_config.discovery_in_file != self.discovery_in_file => {
                new_config.discovery_address = self.changed_discovery_address(value)?;
            }
            _ => new_config.discovery_address = self.discovery_address,
        }
        Ok(new_config)
    }

    fn changed_discovery_address(&self, value: &str) -> Result<std::net::SocketAddr, ConfigError> {
        value.parse().map_err(|_| ConfigError::File {
            path: self.path.clone(),
            source: Box::new(ConfigError::InvalidDiscoveryAddress {
                value: value.to_string(),
            }),
        })
    }

    /// Applies the values that can change while connections are established.
    pub fn apply(&mut self, new_config: Config) -> ReloadOutcome {
        let outcome = ReloadOutcome {
            pending_restart: self.pending_restart(&new_config),
            previous_class_indices: self.previous_class_indices(&new_config),
        };
        self.discovery_address = new_config.discovery_address;
        self.discovery_in_file = new_config.discovery_in_file;
        self.limits = new_config.limits;
        self.settings = new_config.settings;
        self.classes = new_config.classes;
        self.document = new_config.document;
        self.tenants = new_config.tenants;
        self.report_fields = new_config.report_fields;
        self.answer_report_fields = new_config.answer_report_fields;
        self.has_groups = new_config.has_groups;
        self.connect_timeout = new_config.connect_timeout;
        // The platform may time SIGKILL by the old or the new deadline: the shorter one is safe for both.
        self.max_deadline = self.max_deadline.min(new_config.max_deadline);
        outcome
    }

    /// Returns the changed entries that cannot be applied while the process runs.
    fn pending_restart(&self, new_config: &Config) -> Vec<&'static str> {
        let mut pending = Vec::new();
        if self.name != new_config.name {
            pending.push("name");
        }
        if self.listen_address != new_config.listen_address {
            pending.push("listen");
        }
        if self.admin_address != new_config.admin_address {
            pending.push("management");
        }
        pending
    }

    fn previous_class_indices(&self, new_config: &Config) -> Vec<Option<usize>> {
        let position = |class| self.classes.iter().position(|previous| previous == class);
        new_config.classes.iter().map(position).collect()
    }
}
