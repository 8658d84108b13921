//! What the nodes of a fleet say to each other: who lives ([`membership`], datagrams) and messages between two of them
//! ([`connection`], streams). It moves bytes and speaks a syntax; what follows from a message is decided elsewhere.
//!
//! Messages are written with postcard: membership brings that codec along, a message is a third of its JSON, and people
//! read them through `lupincrank fleet`, not off the wire.

#![forbid(unsafe_code)]

pub mod connection;
pub mod membership;

/// The form of all messages; a node that speaks another one is turned away by both numbers.
pub const PROTOCOL_VERSION: u8 = 2;

/// What marks a message as one of this fleet: guards against a node of another one at an address that was used before.
pub fn cluster_tag(fleet: &str) -> u32 {
    crc32fast::hash(fleet.as_bytes())
}
