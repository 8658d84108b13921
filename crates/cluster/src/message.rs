//! The messages that two nodes exchange over a connection. The order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

/// The first message of each side: who it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The tag of the sender's cluster; see [`crate::cluster_tag`].
    pub cluster_tag: u32,
    /// The sender's node name.
    pub name: String,
    /// The incarnation of that name: drawn at random when its process starts.
    pub incarnation: u64,
    /// When that incarnation started, as Unix time in milliseconds by its own clock. Comparable only among incarnations of
    /// one name.
    pub started_at_ms: u64,
    /// The version of the build that the sender runs.
    pub build: String,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of each side.
    Handshake(Handshake),
    /// Keeps an idle connection alive.
    Ping,
    /// A later incarnation of the receiver's name has started: the receiver is no member of the cluster any more.
    Replaced,
    /// An encoded message of one of the protocols above this one.
    Payload(Subject, Vec<u8>),
}

/// The protocol that a payload belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The control group: replicated log and leases.
    Control,
}
