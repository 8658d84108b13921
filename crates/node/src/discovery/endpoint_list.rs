//! The upstream group as discovery writes it.

use lupincrank_placement::Health;
use serde::Deserialize;
use std::net::SocketAddr;

/// The upstream group, whole or in part, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct Update {
    /// Its version.
    pub seq: u64,
    /// All of it is named.
    pub whole: bool,
    /// What is named.
    pub hosts: Vec<Host>,
}

/// One entry, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Host {
    pub host: String,
    pub dial: String,
    pub site: Option<String>,
    pub class: Option<String>,
    pub block: Option<u32>,
    pub health: String,
    pub share: Option<f64>,
    pub born_ms: Option<u64>,
}

/// Says what is wrong with an update, if anything is.
pub fn check(update: &Update) -> Result<(), String> {
    update.hosts.iter().try_for_each(|host| {
        dial(host)?;
        health(host).map(|_| ())
    })
}

/// Where it listens, as this node reaches it.
pub fn dial(host: &Host) -> Result<SocketAddr, String> {
    host.dial.parse().map_err(|_| {
        format!(
            "{:?}: dial {:?} is not an address:port",
            host.host, host.dial
        )
    })
}

/// Its state.
pub fn health(host: &Host) -> Result<Health, String> {
    Ok(match host.health.as_str() {
        "SERVING" => Health::Ready,
        "DRAINING" => Health::Draining,
        "DELETED" => Health::Gone,
        other => return Err(format!("{:?}: unknown health {other:?}", host.host)),
    })
}

/// A name's number: its place in the settings, or the next free one.
pub fn number(names: &mut Vec<String>, name: Option<&str>) -> u32 {
    let Some(name) = name else { return 0 };
    let place = names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        });
    u32::try_from(place).unwrap_or(u32::MAX)
}
