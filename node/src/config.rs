//! What the node is told at its start: RELAY_* variables and the JSON file that one of them names.

use crate::discovery::{self, Update};
use lupincrank::Settings;
use lupincrank_settings::Site;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    known: Option<Update>,
    settings: Site,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
}

/// The node's configuration, checked.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The upstream group as this node last had it.
    pub known: Option<Update>,
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
    /// Whether clients name a group in place of themselves.
    pub groups: bool,
    /// The longest time that any client waits.
    pub longest_deadline: Duration,
}

impl Config {
    /// Reads the file at `path`, or the one that RELAY_CONFIG names. `variable` looks up the environment.
    pub fn load(path: Option<&str>, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = path.map(str::to_string).or_else(|| variable("RELAY_CONFIG"));
        let path = path.ok_or("no configuration: set RELAY_CONFIG or give --config")?;
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        Config::read(&text, variable).map_err(|error| format!("{path}: {error}"))
    }

    /// Reads the file's text; a variable that is set goes before the same entry of the file.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let told = |name: &str, entry: Option<String>, key: &str| {
            variable(name).or(entry).ok_or_else(|| format!("neither {name} nor {key:?} is set"))
        };
        let address = |name: &str, entry: Option<String>, key: &str| {
            let text = told(name, entry, key)?;
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{name} / {key:?}: {text:?} is not an address:port"))
        };
        let seed = file.seed.unwrap_or_else(|| "0".into());
        let site = file.settings;
        let mut settings = site.settings()?;
        // On sockets discovery tells nothing unasked.
        settings.list_must_be_asked = true;
        if settings.classes.is_empty() {
            return Err("settings: Categories names no class".into());
        }
        let config = Config {
            name: told("RELAY_NAME", file.name, "name")?,
            listen: address("RELAY_LISTEN", file.listen, "listen")?,
            discovery: address("RELAY_DISCOVERY", file.discovery, "discovery")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?,
            sockets: file.limits.unwrap_or_default().sockets.unwrap_or(1024),
            known: file.known,
            connect_timeout: site.connect_timeout().unwrap_or(Duration::from_secs(1)),
            classes: site.classes().into_iter().map(str::to_string).collect(),
            zones: site.zones().to_vec(),
            kinds: site.kinds().to_vec(),
            groups: site.has_groups(),
            longest_deadline: site.longest_deadline(),
            settings,
        };
        if config.sockets < 64 {
            return Err(format!("limits.sockets: {} is too few, 64 are needed", config.sockets));
        }
        if let Some(known) = &config.known {
            discovery::check(known).map_err(|error| format!("known: {error}"))?;
        }
        Ok(config)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const EXAMPLE: &str = include_str!("../../examples/config.json");

    #[test]
    fn a_variable_goes_before_the_file() {
        let listen = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:9".to_string());
        let config = Config::read(EXAMPLE, listen).unwrap();
        assert_eq!((config.listen.to_string(), config.name), ("127.0.0.9:9".into(), "n0".into()));
        assert_eq!((config.seed, config.classes), (0x8c1f_30d2_7a5b_e964, vec!["chat".to_string()]));
    }

    #[rstest]
    #[case("127.0.0.1:18000", "nowhere", "RELAY_LISTEN")]
    #[case("8c1f30d27a5be964", "no seed", "seed")]
    #[case("\"sockets\": 1024", "\"sockets\": 8", "limits.sockets")]
    #[case("SERVING", "WELL", "known")]
    #[case("repeatable", "sometimes", "Repeat")]
    #[case("\"name\"", "\"nom\"", "RELAY_NAME")]
    #[case("{", "[", "line 2 column")]
    fn a_bad_value_is_named(#[case] good: &str, #[case] bad: &str, #[case] named: &str) {
        let error = Config::read(&EXAMPLE.replace(good, bad), |_| None).err().unwrap();
        assert!(error.contains(named), "{error}");
    }
}
