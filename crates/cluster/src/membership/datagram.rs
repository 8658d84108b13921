//! The header of a datagram: two letters that identify the protocol, the protocol version, and the cluster tag.

use crate::PROTOCOL_VERSION;
use serde::Serialize;

/// The length limit of a datagram, small enough to pass common networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The length of the marker, the protocol version and the cluster tag.
pub(super) const HEADER_BYTES: usize = 7;
const MARKER: [u8; 2] = *b"lc";

/// Counts of the datagrams that were rejected, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedDatagrams {
    /// From another cluster.
    pub foreign: u64,
    /// Of another version of the protocol.
    pub version: u64,
    /// Malformed or too long.
    pub unreadable: u64,
    /// From or for an incarnation that has ended.
    pub stale: u64,
}

/// Why a datagram's header was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeaderError {
    Malformed,
    VersionMismatch,
    ForeignCluster,
}

/// Prepends the header to a message of the membership protocol.
pub(super) fn encode(cluster_tag: u32, body: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
    datagram.extend_from_slice(&MARKER);
    datagram.push(PROTOCOL_VERSION);
    datagram.extend_from_slice(&cluster_tag.to_be_bytes());
    datagram.extend_from_slice(body);
    datagram
}

/// Checks the header and returns the body.
pub(super) fn decode(cluster_tag: u32, datagram: &[u8]) -> Result<&[u8], HeaderError> {
    let Some((header, body)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err(HeaderError::Malformed);
    };
    if header[..2] != MARKER || datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(HeaderError::Malformed);
    }
    if header[2] != PROTOCOL_VERSION {
        return Err(HeaderError::VersionMismatch);
    }
    if header[3..] != cluster_tag.to_be_bytes() {
        return Err(HeaderError::ForeignCluster);
    }
    Ok(body)
}
