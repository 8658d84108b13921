//! The identity of a node in membership.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of one node. The order of its fields is the wire format; their names in JSON are those that
/// `lupincrank fleet members` prints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The node's name. Two incarnations of one name are never members at once.
    pub name: String,
    /// Chosen at random when the process starts.
    #[serde(rename = "id")]
    pub incarnation: u64,
    /// Orders the processes of one name by start. It is the start time as Unix time in milliseconds by the process's
    /// own clock. If an earlier process has a greater value because of clock skew, it is raised to that value plus one.
    /// Comparable only among incarnations of one name.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The number of times that this incarnation has rejoined after it was declared down.
    #[serde(rename = "bump")]
    pub generation: u32,
    /// The address at which the node receives datagrams and accepts connections.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The availability zone of the node.
    pub zone: String,
    /// The region of the node.
    pub region: String,
    /// The version of the node's build.
    pub build: String,
    /// A checksum of the node's settings.
    #[serde(rename = "settings")]
    pub settings_hash: u32,
}

impl Identity {
    /// Returns true if this is another process of the same name that takes precedence over `other`.
    pub(super) fn takes_precedence_over(&self, other: &Identity) -> bool {
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
