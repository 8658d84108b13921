//! What the node is told at its start: RELAY_* variables and the JSON file that one of them names.

use crate::cluster_agent::config::Setup;
use crate::discovery::endpoint_list::EndpointListUpdate;
use lupincrank_placement::Settings;
use lupincrank_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    known: Option<EndpointListUpdate>,
    settings: DeploymentSettings,
}

#[derive(Deserialize, Default)]
struct Limits {
    cores: Option<f64>,
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// What the node keeps of its memory for the program itself, the upstream group and the decisions.
const PROGRAM_MB: usize = 12;
/// The least and the most that is buffered for one direction of a connection: two lines of the longest kind, and
/// what one read may bring.
const LEAST_HELD: usize = 8 << 10;
const MOST_HELD: usize = 64 << 10;
/// New connections that one turn takes with a whole core, and at the least.
const ACCEPTS: usize = 16;
const LEAST_ACCEPTS: usize = 4;
/// Descriptors of the loop, the listener, discovery, signals and the standard streams, and those that one turn may
/// take before room is made.
const OWN_DESCRIPTORS: usize = 40;
/// Calls of the staff held at once: such a part of the descriptors, within these bounds.
const CALLS_PART: usize = 24;
const LEAST_CALLS: usize = 4;
const MOST_CALLS: usize = 32;
/// Connections for probes held at once, where they are allowed: likewise.
const PROBES_PART: usize = 24;
const LEAST_PROBES: usize = 4;
const MOST_PROBES: usize = 64;
/// The part of the descriptors that connections may always have which ask for nothing yet or have their answer.
const STRANGERS_PART: usize = 12;

/// The node's configuration, checked.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where calls of the staff come in, if anywhere.
    pub management: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The descriptor that holds the clients' listening socket, where the platform opened it.
    pub inherited: Option<i32>,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The memory that the process may take.
    pub memory_mb: usize,
    /// The part of a core that it may take.
    pub cores: f64,
    /// The file that all of this was read from, and the address of discovery as it stands there.
    path: String,
    told_discovery: Option<String>,
    /// The file as it stands.
    pub raw: Value,
    /// The fleet, where an operator's file names one; it waits for the next start.
    pub fleet: Option<Setup>,
    /// The upstream group as this node last had it.
    pub known: Option<EndpointListUpdate>,
    /// What the decisions need.
    pub settings: Settings,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// The names of classes, zones and kinds, in their order.
    pub classes: Vec<String>,
    /// See `classes`.
    pub zones: Vec<String>,
    /// See `classes`.
    pub kinds: Vec<String>,
    /// The names of tenants, and of the fields of load reports, likewise.
    pub tenants: Vec<String>,
    /// See `tenants`.
    pub report_fields: Vec<String>,
    /// Whether clients name a group in place of themselves.
    pub groups: bool,
    /// The longest time that any client waits.
    pub longest_deadline: Duration,
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{text:?} is not an address:port"))
}

impl Config {
    /// Reads the file at `path`, or the one that `RELAY_CONFIG` names. `variable` looks up the environment.
    pub fn load(
        path: Option<&str>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let path = path
            .map(str::to_string)
            .or_else(|| variable("RELAY_CONFIG"));
        Config::load_if(
            path.ok_or("no configuration: set RELAY_CONFIG or give --config")?,
            variable,
            |_| Ok(()),
        )
    }

    fn load_if(
        path: String,
        variable: impl Fn(&str) -> Option<String>,
        holds: impl FnOnce(&Value) -> Result<(), String>,
    ) -> Result<Config, String> {
        let read = || {
            let text = std::fs::read_to_string(&path).map_err(|error| error.to_string())?;
            let mut raw: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
            holds(&raw)?;
            // The list may be long, and only whether it is there is asked for later.
            if let Some(known @ Value::Object(_)) = raw.get_mut("known") {
                *known = Value::Object(serde_json::Map::new());
            }
            Ok((Config::read(&text, variable)?, raw))
        };
        let (config, raw) = read().map_err(|error: String| format!("{path}: {error}"))?;
        Ok(Config {
            path,
            raw,
            ..config
        })
    }

    /// Reads the file again, all or nothing. An address of discovery that has changed there goes before `RELAY_DISCOVERY`:
    /// the file can be replaced while the program runs, its environment can't.
    pub fn reread(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let holds = |raw: &Value| {
            lupincrank_settings::validate(raw, Some(&self.raw)).map_err(|error| error.to_string())
        };
        let mut fresh = Config::load_if(self.path.clone(), variable, holds)?;
        match &fresh.told_discovery {
            Some(told) if fresh.told_discovery != self.told_discovery => {
                fresh.discovery =
                    address(told).map_err(|error| format!("{}: discovery: {error}", self.path))?;
            }
            _ => fresh.discovery = self.discovery,
        }
        Ok(fresh)
    }

    /// Takes over what can change while connections stand, and names the entries that wait for the next start. Gives
    /// those and, for each class, its position before, if it was there.
    pub fn replace(&mut self, fresh: Config) -> (Vec<&'static str>, Vec<Option<usize>>) {
        let changed = [
            ("name", self.name != fresh.name),
            ("listen", self.listen != fresh.listen),
            ("management", self.management != fresh.management),
        ];
        (self.discovery, self.told_discovery) = (fresh.discovery, fresh.told_discovery);
        (self.sockets, self.memory_mb, self.cores) = (fresh.sockets, fresh.memory_mb, fresh.cores);
        let from = fresh
            .classes
            .iter()
            .map(|class| self.classes.iter().position(|old| old == class))
            .collect();
        (self.settings, self.classes, self.raw) = (fresh.settings, fresh.classes, fresh.raw);
        (self.tenants, self.report_fields) = (fresh.tenants, fresh.report_fields);
        (self.groups, self.connect_timeout) = (fresh.groups, fresh.connect_timeout);
        // The platform may go by either: the shorter one is safe.
        self.longest_deadline = self.longest_deadline.min(fresh.longest_deadline);
        (
            changed
                .into_iter()
                .filter(|(_, differs)| *differs)
                .map(|(name, _)| name)
                .collect(),
            from,
        )
    }

    /// How many connections may be held that ask for nothing yet or have had their answer: what `clients` leave.
    pub fn most_strangers(&self, clients: usize) -> usize {
        let left = self
            .sockets
            .saturating_sub(self.own_descriptors() + 2 * clients);
        left.max(self.sockets / STRANGERS_PART)
    }

    /// How many calls of the staff are held at once.
    pub fn most_calls(&self) -> usize {
        self.management.map_or(0, |_| {
            (self.sockets / CALLS_PART).clamp(LEAST_CALLS, MOST_CALLS)
        })
    }

    /// How many connections for probes are held at once.
    pub fn most_probes(&self) -> usize {
        if self.settings.health_checks_allowed {
            (self.sockets / PROBES_PART).clamp(LEAST_PROBES, MOST_PROBES)
        } else {
            0
        }
    }

    fn own_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.most_calls() + self.most_probes()
    }

    /// How many clients may be held with their request: each takes a second descriptor for its peer.
    pub fn most_clients(&self) -> usize {
        (self.sockets - self.sockets / STRANGERS_PART).saturating_sub(self.own_descriptors()) / 2
    }

    /// How many new connections one turn of the loop takes: few where the core is shared, so that those that stand
    /// are not kept waiting for a throttled process.
    pub fn most_accepts(&self) -> usize {
        ((self.cores * ACCEPTS as f64).ceil() as usize).clamp(LEAST_ACCEPTS, ACCEPTS)
    }

    /// What may be buffered for one direction of a connection, so that all of them together fit into half of the
    /// memory that is left.
    pub fn most_held(&self) -> usize {
        let all = (self.memory_mb.saturating_sub(PROGRAM_MB) << 20) / 2;
        (all / (4 * self.most_clients().max(1))).clamp(LEAST_HELD, MOST_HELD)
    }

    /// Reads the file's text; a variable that is set goes before the same entry of the file.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let told = |name: &str, entry: Option<String>, key: &str| {
            variable(name)
                .or(entry)
                .ok_or_else(|| format!("neither {name} nor {key:?} is set"))
        };
        let located = |name: &str, entry: Option<String>, key: &str| {
            address(&told(name, entry, key)?).map_err(|error| format!("{name} / {key:?}: {error}"))
        };
        let management = variable("RELAY_MANAGEMENT")
            .or(file.management)
            .map(|told| address(&told));
        let management = management
            .transpose()
            .map_err(|error| format!("RELAY_MANAGEMENT / \"management\": {error}"))?;
        let inherited = variable("RELAY_INHERITED_FD").map(|told| match told.parse() {
            Ok(descriptor) if descriptor > 2 => Ok(descriptor),
            _ => Err(format!(
                "RELAY_INHERITED_FD: {told:?} is no descriptor over 2"
            )),
        });
        let inherited = inherited.transpose()?;
        let limits = file.limits.unwrap_or_default();
        let seed = file.seed.unwrap_or_else(|| "0".into());
        let site = file.settings;
        let mut settings = site
            .placement_settings()
            .map_err(|error| error.to_string())?;
        // On sockets discovery tells nothing unasked.
        settings.requires_endpoint_watch = true;
        if settings.classes.is_empty() {
            return Err("settings: Categories names no class".into());
        }
        let config = Config {
            name: told("RELAY_NAME", file.name, "name")?,
            listen: located("RELAY_LISTEN", file.listen, "listen")?,
            discovery: located("RELAY_DISCOVERY", file.discovery.clone(), "discovery")?,
            management,
            inherited,
            told_discovery: file.discovery,
            path: String::new(),
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?,
            sockets: limits.sockets.unwrap_or(1024),
            memory_mb: limits.memory_mb.unwrap_or(192),
            cores: limits.cores.unwrap_or(1.0),
            fleet: None,
            known: file.known,
            connect_timeout: site.connect_timeout().unwrap_or(Duration::from_secs(1)),
            classes: site.class_names().into_iter().map(str::to_string).collect(),
            zones: site.zones().to_vec(),
            kinds: site.machine_kinds().to_vec(),
            tenants: site.tenant_names(),
            report_fields: site.report_fields(),
            groups: site.has_groups(),
            longest_deadline: site.max_deadline(),
            settings,
            raw: Value::Null,
        };
        if config.sockets < 64 {
            return Err(format!(
                "limits.sockets: {} is too few, 64 are needed",
                config.sockets
            ));
        }
        if !(config.cores > 0.0 && config.cores.is_finite()) {
            return Err(format!(
                "limits.cores: {} is no part of a core",
                config.cores
            ));
        }
        if config.memory_mb < 24 {
            return Err(format!(
                "limits.memory_mb: {} is too little, 24 are needed",
                config.memory_mb
            ));
        }
        if let Some(known) = &config.known {
            known.check().map_err(|error| format!("known: {error}"))?;
        }
        Ok(config)
    }
}

#[cfg(test)]
mod tests;
