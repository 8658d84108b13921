//! One connection to another node.

use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A connection that this node opened is closed after it has not been needed for this time.
const UNNEEDED_TIMEOUT: Duration = Duration::from_secs(5);
/// The shortest time between two `Replaced` messages to an incarnation that was replaced.
const REPLACED_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection to another node is closed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection broke, or a frame violated the protocol.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The connection was closed while its messages were handled.
    #[error("connection is already closed")]
    Removed,
    /// The peer sent a second handshake.
    #[error("peer sent a second handshake")]
    RepeatedHandshake,
    /// The peer sent another message before its handshake.
    #[error("peer sent a message before its handshake")]
    MissingHandshake,
    /// The peer belongs to another cluster.
    #[error("peer belongs to another cluster")]
    ForeignCluster,
    /// The peer is this node itself, or not the incarnation that this node dialed.
    #[error("unexpected incarnation of the peer")]
    UnexpectedIncarnation,
    /// Another connection to this incarnation takes precedence.
    #[error("another connection to the peer takes precedence")]
    Duplicate,
    /// A payload is not a message of the control group.
    #[error("undecodable control message: {0}")]
    UndecodableControlMessage(postcard::Error),
    /// This node opened the connection and does not need it.
    #[error("connection is not needed")]
    Unneeded,
}

impl PeerError {
    /// Returns true if the error counts as rejected traffic: any error, unless the connection broke, was closed or is
    /// not needed.
    pub(super) fn is_violation(&self) -> bool {
        !matches!(
            self,
            PeerError::Connection(ConnectionError::Closed(_))
                | PeerError::Removed
                | PeerError::Unneeded
        )
    }
}

/// One connection to another node.
pub(super) struct PeerConnection {
    connection: ClusterConnection,
    /// The incarnation that this node dialed, if it opened the connection.
    dialed_incarnation: Option<u64>,
    last_needed: Instant,
    replaced_notice_sent_at: Option<Instant>,
}

impl PeerConnection {
    pub(super) fn new(connection: ClusterConnection, dialed_incarnation: Option<u64>) -> Self {
        PeerConnection {
            connection,
            dialed_incarnation,
            last_needed: Instant::now(),
            replaced_notice_sent_at: None,
        }
    }

    pub(super) fn connection(&self) -> &ClusterConnection {
        &self.connection
    }

    pub(super) fn connection_mut(&mut self) -> &mut ClusterConnection {
        &mut self.connection
    }

    pub(super) fn dialed_incarnation(&self) -> Option<u64> {
        self.dialed_incarnation
    }

    /// The incarnation of the peer, once its handshake was accepted.
    pub(super) fn peer_incarnation(&self) -> Option<u64> {
        self.connection.peer().map(|peer| peer.incarnation)
    }

    /// Returns true if this connection is established with, or dialed to, the incarnation.
    pub(super) fn is_for_incarnation(&self, incarnation: u64) -> bool {
        self.dialed_incarnation == Some(incarnation) || self.peer_incarnation() == Some(incarnation)
    }

    /// Records that the connection is needed now.
    pub(super) fn mark_needed(&mut self, now: Instant) {
        self.last_needed = now;
    }

    /// Returns true if a `Replaced` message to the peer is due, and records it as sent.
    pub(super) fn take_replaced_notice_due(&mut self) -> bool {
        let is_due = self
            .replaced_notice_sent_at
            .is_none_or(|sent_at| sent_at.elapsed() >= REPLACED_NOTICE_INTERVAL);
        if is_due {
            self.replaced_notice_sent_at = Some(Instant::now());
        }
        is_due
    }

    /// Sends a ping if one is due.
    ///
    /// # Errors
    /// If the connection has failed or has not been needed for [`UNNEEDED_TIMEOUT`].
    pub(super) fn keep_alive(&mut self) -> Result<(), PeerError> {
        self.connection.keep_alive()?;
        if self.connection.is_initiator() && self.last_needed.elapsed() >= UNNEEDED_TIMEOUT {
            return Err(PeerError::Unneeded);
        }
        Ok(())
    }
}
