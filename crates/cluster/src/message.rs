//! The messages that two nodes exchange over a connection. The order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

/// The first message of each side: the sender's identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The tag of the sender's cluster; see [`crate::cluster_tag`].
    pub cluster_tag: u32,
    /// The sender's node name.
    pub name: String,
    /// The sender's incarnation, chosen at random when its process starts.
    pub incarnation: u64,
    /// The start time of the incarnation, as Unix time in milliseconds by its own clock. Comparable only among
    /// incarnations of one name.
    pub started_at_ms: u64,
    /// The version of the sender's build.
    pub build: String,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of each side.
    Handshake(Handshake),
    /// Prevents the idle timeout of a connection.
    Ping,
    /// A later incarnation of the receiver's name has started, so the receiver is not a member of the cluster.
    Replaced,
    /// An encoded message of a higher-level protocol.
    Payload(Subject, Vec<u8>),
}

/// The protocol that a payload belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The control group: replicated log and leases.
    Control,
}
