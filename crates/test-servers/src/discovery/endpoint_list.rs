//! The endpoint list, with the time and sequence number of each entry's last change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The behaviour of discovery towards one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are sent after this delay.
    Delivering(Duration),
    /// Watches stay open and deliver no changes.
    Stale,
    /// Calls are answered with 503, and watches are closed.
    Unavailable,
}

/// The health of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// The endpoint accepts new connections.
    Serving,
    /// The endpoint accepts no new connections.
    Draining,
    /// The endpoint has been removed from the list.
    Deleted,
}

impl EndpointHealth {
    /// The name in the discovery protocol.
    fn as_str(self) -> &'static str {
        match self {
            EndpointHealth::Serving => "SERVING",
            EndpointHealth::Draining => "DRAINING",
            EndpointHealth::Deleted => "DELETED",
        }
    }
}

/// Which entries an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All entries.
    Snapshot,
    /// Entries that have changed since a sequence number.
    Changes {
        /// The sequence number.
        since: u64,
    },
}

impl ListScope {
    fn is_snapshot(self) -> bool {
        self == ListScope::Snapshot
    }

    fn since(self) -> u64 {
        match self {
            ListScope::Snapshot => 0,
            ListScope::Changes { since } => since,
        }
    }
}

/// A server's health in an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Announcement {
    pub(super) server: usize,
    pub(super) is_ready: bool,
}

/// An update for one node.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The newest sequence number that it contains.
    pub(super) sequence: u64,
    pub(super) json: String,
    pub(super) announcements: Vec<Announcement>,
}

impl ListUpdate {
    /// The update as JSON.
    pub fn json(&self) -> &str {
        &self.json
    }
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    zone: String,
    health: EndpointHealth,
    /// Unix time of the last start in milliseconds; 0 if the server has been running for long.
    started_ms: u64,
    /// The address at which each node reaches the server, by the node's number.
    addresses: Vec<SocketAddr>,
    changed_sequence: u64,
    changed_at: Instant,
}

impl Entry {
    fn to_json(&self, node: usize) -> Option<serde_json::Value> {
        let address = self.addresses.get(node)?.to_string();
        Some(serde_json::json!({
            "host": self.name, "dial": address, "site": self.zone, "class": "m", "block": 0,
            "health": self.health.as_str(), "share": 1.0, "born_ms": self.started_ms,
        }))
    }
}

/// All endpoints by the number of their server.
#[derive(Default)]
pub struct EndpointList {
    entries: Vec<Entry>,
    last_sequence: u64,
    /// The behaviour towards each node, by its number.
    modes: BTreeMap<usize, DiscoveryMode>,
}

impl EndpointList {
    /// Adds a server that has been running for long; `addresses` are those at which each node reaches it.
    pub fn add(&mut self, name: String, zone: String, addresses: Vec<SocketAddr>) {
        self.last_sequence += 1;
        self.entries.push(Entry {
            name,
            zone,
            health: EndpointHealth::Serving,
            started_ms: 0,
            addresses,
            changed_sequence: self.last_sequence,
            changed_at: Instant::now(),
        });
    }

    /// Adds the address at which the next node reaches a server.
    pub fn add_address(&mut self, server: usize, address: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.addresses.push(address);
        }
    }

    /// Changes a server's health.
    pub fn set_health(&mut self, server: usize, health: EndpointHealth) {
        self.last_sequence += 1;
        if let Some(entry) = self.entries.get_mut(server) {
            entry.health = health;
            entry.changed_sequence = self.last_sequence;
            entry.changed_at = Instant::now();
        }
    }

    /// Marks a server as serving and started now.
    pub fn record_restart(&mut self, server: usize) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        if let Some(entry) = self.entries.get_mut(server) {
            entry.started_ms = now.as_millis() as u64;
        }
        self.set_health(server, EndpointHealth::Serving);
    }

    /// Sets the behaviour of discovery towards a node.
    pub fn set_mode(&mut self, node: usize, mode: DiscoveryMode) {
        self.modes.insert(node, mode);
    }

    /// The behaviour of discovery towards a node.
    pub(super) fn mode(&self, node: usize) -> DiscoveryMode {
        let default = DiscoveryMode::Delivering(Duration::ZERO);
        self.modes.get(&node).copied().unwrap_or(default)
    }

    /// Returns the update to send to a node.
    pub fn update_for(&self, node: usize, scope: ListScope) -> ListUpdate {
        let entries = self.entries_for(node, scope);
        let newest = entries.iter().map(|(_, entry)| entry.changed_sequence);
        let sequence = newest.max().unwrap_or(0).max(scope.since());
        let is_snapshot = scope.is_snapshot();
        let hosts: Vec<serde_json::Value> = entries
            .iter()
            .filter(|(_, entry)| !is_snapshot || entry.health != EndpointHealth::Deleted)
            .filter_map(|(_, entry)| entry.to_json(node))
            .collect();
        let announcements = entries
            .iter()
            .map(|(server, entry)| Announcement {
                server: *server,
                is_ready: entry.health == EndpointHealth::Serving,
            })
            .collect();
        let json = serde_json::json!({"seq": sequence, "whole": is_snapshot, "hosts": hosts});
        ListUpdate {
            sequence,
            json: json.to_string(),
            announcements,
        }
    }

    /// Returns the entries in scope with their indexes. Changes are included once discovery's delay has passed.
    fn entries_for(&self, node: usize, scope: ListScope) -> Vec<(usize, &Entry)> {
        let delay = match self.mode(node) {
            DiscoveryMode::Delivering(delay) => delay,
            DiscoveryMode::Stale | DiscoveryMode::Unavailable => Duration::MAX,
        };
        let is_in_scope = |entry: &Entry| match scope {
            ListScope::Snapshot => true,
            ListScope::Changes { since } => {
                entry.changed_sequence > since && entry.changed_at.elapsed() >= delay
            }
        };
        let entries = self.entries.iter().enumerate();
        entries.filter(|(_, entry)| is_in_scope(entry)).collect()
    }
}
