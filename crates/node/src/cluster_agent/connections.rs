//! The connections to other nodes. At most one connection is kept for each incarnation, and those that are needed are
//! reopened after a failure.

use super::backoff::ReconnectBackoff;
use super::peer_connection::{PeerConnection, PeerError};
use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use lupincrank_cluster::message::{Handshake, Message};
use lupincrank_reactor::ComponentId;
use slog::{debug, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The number of connections allowed for unexpected nodes, in addition to two for each expected node.
const SPARE_CONNECTIONS: usize = 16;

/// A connection that failed and must be closed.
pub(super) struct FailedConnection {
    pub(super) id: ComponentId,
    pub(super) error: PeerError,
}

/// The connections to other nodes.
pub(super) struct PeerConnections {
    local_handshake: Handshake,
    open: BTreeMap<ComponentId, PeerConnection>,
    backoffs: BTreeMap<u64, ReconnectBackoff>,
    /// Closed connections whose components have not been notified.
    closed: Vec<ComponentId>,
    max_count: usize,
    jitter: f64,
    log: Logger,
}

impl PeerConnections {
    pub(super) fn new(
        local_handshake: Handshake,
        expected_node_count: usize,
        jitter: f64,
        log: Logger,
    ) -> PeerConnections {
        PeerConnections {
            local_handshake,
            open: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            closed: Vec::new(),
            max_count: 2 * expected_node_count + SPARE_CONNECTIONS,
            jitter,
            log,
        }
    }

    /// Returns true if another connection may be accepted.
    pub(super) fn has_room(&self) -> bool {
        self.open.len() < self.max_count
    }

    pub(super) fn is_open(&self, id: ComponentId) -> bool {
        self.open.contains_key(&id)
    }

    /// The number of connections whose peer has sent a valid handshake.
    pub(super) fn established_count(&self) -> usize {
        self.open
            .values()
            .filter(|peer| peer.peer_incarnation().is_some())
            .count()
    }

    pub(super) fn get_mut(&mut self, id: ComponentId) -> Option<&mut PeerConnection> {
        self.open.get_mut(&id)
    }

    /// Adds a connection and sends this node's handshake on it.
    ///
    /// # Errors
    /// If the handshake can't be sent. The connection is then dropped.
    pub(super) fn add(
        &mut self,
        id: ComponentId,
        mut connection: ClusterConnection,
        dialed_incarnation: Option<u64>,
    ) -> Result<(), ConnectionError> {
        connection.send(&Message::Handshake(self.local_handshake.clone()))?;
        let peer = PeerConnection::new(connection, dialed_incarnation);
        self.open.insert(id, peer);
        Ok(())
    }

    /// Drops a connection. If this node opened it and still needs it, it is reopened after a backoff.
    pub(super) fn close(&mut self, id: ComponentId, reason: &PeerError) {
        let Some(closed) = self.open.remove(&id) else {
            return;
        };
        let connection = closed.connection();
        let peer = connection.peer().map(|peer| peer.name.clone());
        debug!(self.log, "cluster connection closed"; "peer" => peer,
            "is_initiator" => connection.is_initiator(), "reason" => %reason);
        if let Some(incarnation) = closed.dialed_incarnation() {
            let previous = self.backoffs.get(&incarnation).copied();
            let backoff = ReconnectBackoff::after_failure(previous, self.jitter);
            self.backoffs.insert(incarnation, backoff);
        }
    }

    /// Drops all connections.
    pub(super) fn close_all(&mut self) {
        self.closed
            .extend(std::mem::take(&mut self.open).into_keys());
    }

    /// Removes and returns the closed connections whose components must be notified.
    pub(super) fn take_closed(&mut self) -> Vec<ComponentId> {
        std::mem::take(&mut self.closed)
    }

    /// Checks the peer's handshake. Of two connections between the same incarnations, the one opened by the greater
    /// incarnation is kept, so that both sides keep the same one.
    ///
    /// # Errors
    /// If the connection must be closed.
    pub(super) fn on_handshake(
        &mut self,
        id: ComponentId,
        handshake: Handshake,
    ) -> Result<(), PeerError> {
        if handshake.cluster_tag != self.local_handshake.cluster_tag {
            return Err(PeerError::ForeignCluster);
        }
        let Some(peer) = self.open.get(&id) else {
            return Ok(());
        };
        let incarnation = handshake.incarnation;
        let is_expected = peer
            .dialed_incarnation()
            .is_none_or(|dialed| dialed == incarnation);
        if incarnation == self.local_handshake.incarnation || !is_expected {
            return Err(PeerError::UnexpectedIncarnation);
        }
        let is_initiator = peer.connection().is_initiator();
        self.resolve_duplicate(id, incarnation, is_initiator)?;
        self.backoffs.remove(&incarnation);
        if let Some(peer) = self.open.get_mut(&id) {
            peer.connection_mut().set_peer(handshake);
        }
        Ok(())
    }

    /// Drops another connection to the same incarnation, or fails if the other connection takes precedence.
    fn resolve_duplicate(
        &mut self,
        id: ComponentId,
        incarnation: u64,
        is_initiator: bool,
    ) -> Result<(), PeerError> {
        let mut others = self.open.iter().filter(|(other, _)| **other != id);
        let duplicate = others.find(|(_, peer)| peer.peer_incarnation() == Some(incarnation));
        let Some((duplicate_id, duplicate)) = duplicate else {
            return Ok(());
        };
        let is_local_greater = self.local_handshake.incarnation > incarnation;
        let duplicate_is_preferred = duplicate.connection().is_initiator() == is_local_greater;
        let new_is_preferred = is_initiator == is_local_greater;
        if duplicate_is_preferred && !new_is_preferred {
            return Err(PeerError::Duplicate);
        }
        let duplicate_id = *duplicate_id;
        self.open.remove(&duplicate_id);
        self.closed.push(duplicate_id);
        Ok(())
    }

    /// Sends a message to an incarnation, if it is connected.
    pub(super) fn send_to(
        &mut self,
        incarnation: u64,
        message: &Message,
    ) -> Result<(), FailedConnection> {
        let mut all = self.open.iter_mut();
        let Some((id, peer)) = all.find(|(_, peer)| peer.peer_incarnation() == Some(incarnation))
        else {
            return Ok(());
        };
        peer.connection_mut()
            .send(message)
            .map_err(|error| FailedConnection {
                id: *id,
                error: error.into(),
            })
    }

    /// Returns true if a connection to the incarnation is established.
    pub(super) fn is_connected_to(&self, incarnation: u64) -> bool {
        self.open
            .values()
            .any(|peer| peer.peer_incarnation() == Some(incarnation))
    }

    /// Clears the failures of an incarnation, so that the next attempt to connect to it is not delayed.
    pub(super) fn reset_backoff(&mut self, incarnation: u64) {
        self.backoffs.remove(&incarnation);
    }

    /// Removes the failures of incarnations for which `is_known` returns false.
    pub(super) fn retain_backoffs(&mut self, is_known: impl Fn(u64) -> bool) {
        self.backoffs
            .retain(|incarnation, _| is_known(*incarnation));
    }

    /// Marks the connections that are needed, and returns the incarnations to connect to now.
    pub(super) fn missing_connections(&mut self, needed: BTreeSet<u64>) -> Vec<u64> {
        let now = Instant::now();
        for peer in self.open.values_mut() {
            let incarnation = peer.peer_incarnation().or(peer.dialed_incarnation());
            if incarnation.is_some_and(|incarnation| needed.contains(&incarnation)) {
                peer.mark_needed(now);
            }
        }
        let is_missing = |incarnation: &u64| {
            let mut all = self.open.values();
            let backoff = self.backoffs.get(incarnation);
            !all.any(|peer| peer.is_for_incarnation(*incarnation))
                && backoff.is_none_or(|backoff| backoff.may_retry(now))
        };
        needed.into_iter().filter(is_missing).collect()
    }

    /// Sends `Replaced` to the peers that were replaced. Their connections stay open, since their votes may be needed
    /// until they are removed from the control group.
    pub(super) fn notify_replaced(&mut self, is_replaced: impl Fn(&Handshake) -> bool) {
        for peer in self.open.values_mut() {
            let is_replaced = peer.connection().peer().is_some_and(&is_replaced);
            if is_replaced && peer.take_replaced_notice_due() {
                // A connection that can't send is closed later by `keep_alive`.
                let _ = peer.connection_mut().send(&Message::Replaced);
            }
        }
    }

    /// Sends due pings. Returns the connections that have failed or are not needed.
    pub(super) fn keep_alive(&mut self) -> Vec<FailedConnection> {
        let mut failed = Vec::new();
        for (id, peer) in &mut self.open {
            if let Err(error) = peer.keep_alive() {
                failed.push(FailedConnection { id: *id, error });
            }
        }
        failed
    }
}

#[cfg(test)]
mod tests;
