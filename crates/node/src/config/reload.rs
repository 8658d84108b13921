//! Reading the configuration again while the node runs.

use super::{Config, ConfigError};

/// What came of a reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Entries that have changed and wait for the next start.
    pub pending_restart: Vec<&'static str>,
    /// For each class its position before, if it was there.
    pub previous_class_positions: Vec<Option<usize>>,
}

impl Config {
    /// Reads the file again, all or nothing. An address of discovery that has changed there goes before `RELAY_DISCOVERY`:
    /// the file can be replaced while the program runs, its environment can't.
    ///
    /// # Errors
    /// Names the file and what is wrong with it, or why it may not replace the one in use.
    pub fn reread(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut fresh = Config::load_file(&self.path, variable, Some(&self.document))?;
        match &fresh.discovery_in_file {
            Some(value) if fresh.discovery_in_file != self.discovery_in_file => {
                fresh.discovery_address = self.changed_discovery_address(value)?;
            }
            _ => fresh.discovery_address = self.discovery_address,
        }
        Ok(fresh)
    }

    fn changed_discovery_address(&self, value: &str) -> Result<std::net::SocketAddr, ConfigError> {
        value.parse().map_err(|_| ConfigError::File {
            path: self.path.clone(),
            source: Box::new(ConfigError::InvalidDiscoveryAddress {
                value: value.to_string(),
            }),
        })
    }

    /// Takes over what can change while connections are established.
    pub fn apply(&mut self, fresh: Config) -> ReloadOutcome {
        let outcome = ReloadOutcome {
            pending_restart: self.pending_restart(&fresh),
            previous_class_positions: self.previous_class_positions(&fresh),
        };
        self.discovery_address = fresh.discovery_address;
        self.discovery_in_file = fresh.discovery_in_file;
        self.limits = fresh.limits;
        self.settings = fresh.settings;
        self.classes = fresh.classes;
        self.document = fresh.document;
        self.tenants = fresh.tenants;
        self.report_fields = fresh.report_fields;
        self.answer_report_fields = fresh.answer_report_fields;
        self.has_groups = fresh.has_groups;
        self.connect_timeout = fresh.connect_timeout;
        // The platform may go by either: the shorter one is safe.
        self.max_deadline = self.max_deadline.min(fresh.max_deadline);
        outcome
    }

    /// The entries that differ and cannot change while the process runs.
    fn pending_restart(&self, fresh: &Config) -> Vec<&'static str> {
        let mut pending = Vec::new();
        if self.name != fresh.name {
            pending.push("name");
        }
        if self.listen_address != fresh.listen_address {
            pending.push("listen");
        }
        if self.admin_address != fresh.admin_address {
            pending.push("management");
        }
        pending
    }

    fn previous_class_positions(&self, fresh: &Config) -> Vec<Option<usize>> {
        let position = |class| self.classes.iter().position(|previous| previous == class);
        fresh.classes.iter().map(position).collect()
    }
}
