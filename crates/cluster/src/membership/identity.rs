//! A node as membership knows it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of one node. The order of its fields is the wire format; their names in JSON are those that
/// `lupincrank fleet members` prints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The node's name. Two incarnations of one name are never members at once.
    pub name: String,
    /// Drawn at random when the process starts.
    #[serde(rename = "id")]
    pub incarnation: u64,
    /// Orders the processes of one name, the latest one last: when the process started, as Unix time in milliseconds by its
    /// own clock, or one more than an earlier process's where that clock was late. Comparable only among incarnations of
    /// one name.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// How often this incarnation has rejoined after it was declared dead.
    #[serde(rename = "bump")]
    pub generation: u32,
    /// Where it receives datagrams and accepts connections.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: String,
    /// The region that it runs in.
    pub region: String,
    /// The version of its build.
    pub build: String,
    /// A checksum of the settings that it runs with.
    #[serde(rename = "settings")]
    pub settings_hash: u32,
}

impl Identity {
    /// Whether this is another process of the same name that goes before `other`.
    pub(super) fn outranks(&self, other: &Identity) -> bool {
        let is_other_process =
            (self.started_at_ms, self.incarnation) != (other.started_at_ms, other.incarnation);
        self.name == other.name
            && is_other_process
            && foca::Identity::win_addr_conflict(self, other)
    }
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            generation: self.generation.saturating_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.started_at_ms, self.incarnation, self.generation)
            > (other.started_at_ms, other.incarnation, other.generation)
    }
}
