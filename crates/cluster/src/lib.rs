//! Communication between the nodes of a cluster. [`membership`] detects live nodes over UDP, and a [`connection`]
//! transfers framed messages between two nodes over TCP. The callers decide how to react to a message.
//!
//! All data on the wire is encoded with postcard: the membership library includes that codec, and a message takes a
//! third of its size in JSON. The wire format need not be human-readable, since `lupincrank fleet` prints the cluster's
//! state.

#![forbid(unsafe_code)]

pub mod connection;
pub mod frame;
pub mod membership;
pub mod message;

/// The version of the protocol, sent with each frame and datagram. A node rejects every other version.
pub const PROTOCOL_VERSION: u8 = 2;

/// Returns the checksum of the cluster's name, which marks its traffic. The tag protects against traffic from a node of
/// another cluster at an address that this cluster used before.
pub fn cluster_tag(cluster_name: &str) -> u32 {
    crc32fast::hash(cluster_name.as_bytes())
}
