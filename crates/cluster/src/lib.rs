//! Communication between the nodes of a cluster: [`membership`] finds out over UDP which nodes are alive, and a
//! [`connection`] carries framed messages between two of them over TCP. What follows from a message is decided by the
//! callers.
//!
//! Everything on the wire is encoded with postcard: the membership library brings that codec along, and a message takes a
//! third of its size as JSON. People read the state of a cluster through `lupincrank fleet`, not off the wire.

#![forbid(unsafe_code)]

pub mod connection;
pub mod frame;
pub mod membership;
pub mod message;

/// The version of the protocol, sent with each frame and datagram. A node rejects every other version.
pub const PROTOCOL_VERSION: u8 = 2;

/// The checksum of a cluster's name that marks its traffic. It guards against a node of another cluster at an address that
/// was used by this one before.
pub fn cluster_tag(cluster_name: &str) -> u32 {
    crc32fast::hash(cluster_name.as_bytes())
}
