//! One connection to another node.

use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A connection that this node has opened and does not need any more is closed after this.
const UNNEEDED_TIMEOUT: Duration = Duration::from_secs(5);
/// How often an incarnation that was replaced is told so.
const REPLACED_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection to another node is closed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection broke, or a frame violated the protocol.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The connection was closed while its messages were handled.
    #[error("it is gone")]
    Removed,
    /// A second handshake came.
    #[error("it says hello twice")]
    RepeatedHandshake,
    /// Another message came before the handshake.
    #[error("it does not say hello first")]
    MissingHandshake,
    /// The peer belongs to another cluster.
    #[error("it belongs to another fleet")]
    ForeignCluster,
    /// The peer is this node itself, or not the incarnation that this node meant to reach.
    #[error("it is another life than the one that was looked for")]
    UnexpectedIncarnation,
    /// A connection to this incarnation exists and takes precedence.
    #[error("there is one already")]
    Duplicate,
    /// A payload is no message of the control group.
    #[error("a message of the council can't be read: {0}")]
    UndecodableControlMessage(postcard::Error),
    /// This node has opened the connection and needs it no more.
    #[error("it is needed no more")]
    Unneeded,
}

impl PeerError {
    /// Whether the peer did something that a node of this cluster does not do.
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
    /// The incarnation that this node meant to reach when it opened the connection.
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

    /// The incarnation of the peer, once its handshake has come.
    pub(super) fn peer_incarnation(&self) -> Option<u64> {
        self.connection.peer().map(|peer| peer.incarnation)
    }

    /// Whether this is, or is to become, a connection to that incarnation.
    pub(super) fn leads_to(&self, incarnation: u64) -> bool {
        self.dialed_incarnation == Some(incarnation) || self.peer_incarnation() == Some(incarnation)
    }

    /// Notes that the connection is needed now.
    pub(super) fn mark_needed(&mut self, now: Instant) {
        self.last_needed = now;
    }

    /// Whether a notice that the peer was replaced is due; it counts as sent then.
    pub(super) fn take_replaced_notice_due(&mut self) -> bool {
        let is_due = self
            .replaced_notice_sent_at
            .is_none_or(|sent_at| sent_at.elapsed() >= REPLACED_NOTICE_INTERVAL);
        if is_due {
            self.replaced_notice_sent_at = Some(Instant::now());
        }
        is_due
    }

    /// Keeps the connection alive.
    ///
    /// # Errors
    /// Where it is dead or not needed any more.
    pub(super) fn keep_alive(&mut self) -> Result<(), PeerError> {
        self.connection.keep_alive()?;
        if self.connection.is_initiator() && self.last_needed.elapsed() >= UNNEEDED_TIMEOUT {
            return Err(PeerError::Unneeded);
        }
        Ok(())
    }
}
