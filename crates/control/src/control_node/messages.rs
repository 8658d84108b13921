//! Dispatch of messages from other nodes.

use super::{ControlNode, ShutdownState};
use crate::member::{Bootstrap, ClusterId, MemberId};
use crate::message::ControlMessage;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;

impl ControlNode {
    /// Handles a message from another member or from this node.
    pub fn on_message(&mut self, now: Timestamp, from: MemberId, message: ControlMessage) {
        if self.is_disqualified() {
            return;
        }
        if self.is_fenced(&message) {
            self.on_fenced(from);
        } else if self.is_for_another_group(&message) {
            self.rejected.invalid += 1;
        } else {
            self.dispatch(now, from, message);
        }
        self.report_limit_change(now);
    }

    fn dispatch(&mut self, now: Timestamp, from: MemberId, message: ControlMessage) {
        match message {
            ControlMessage::ClusterQuery => self.on_cluster_query(from),
            ControlMessage::KnownCluster(known) => self.on_known_cluster(now, from, known),
            ControlMessage::Bootstrap(bootstrap) => self.on_bootstrap(now, from, &bootstrap),
            ControlMessage::Raft(cluster_id, bytes) => self.on_raft(now, from, cluster_id, &bytes),
            ControlMessage::LeaseRequest(_, request) => self.on_lease_request(from, request),
            ControlMessage::LeaseGranted {
                request_number,
                limit,
                ..
            } => self.on_lease_granted(now, from, request_number, limit),
            ControlMessage::Leaving(cluster_id) => self.on_leaving(now, from, cluster_id),
            ControlMessage::Removed(_) => self.on_removed(),
            ControlMessage::Capacity(_, capacity) => self.propose_capacity(now, capacity),
        }
    }

    fn cluster_id(&self) -> Option<ClusterId> {
        self.log().map(RaftLog::cluster_id)
    }

    /// Returns true if the sender belongs to a group that this node's group has replaced.
    fn is_fenced(&self, message: &ControlMessage) -> bool {
        match (message.cluster_id(), self.cluster_id()) {
            (Some(theirs), Some(ours)) => theirs < ours,
            _ => false,
        }
    }

    /// Returns true if the message is restricted to members of another group. Raft messages of a newer group are not
    /// restricted: the leader of that group has added this incarnation.
    fn is_for_another_group(&self, message: &ControlMessage) -> bool {
        let is_raft = matches!(message, ControlMessage::Raft(..));
        let theirs = message.cluster_id();
        !is_raft && theirs.is_some() && theirs != self.cluster_id()
    }

    fn on_fenced(&mut self, from: MemberId) {
        self.rejected.fenced += 1;
        self.on_cluster_query(from);
    }

    fn on_cluster_query(&mut self, from: MemberId) {
        let known = ControlMessage::KnownCluster(self.cluster_id());
        self.send(from, known);
    }

    fn on_known_cluster(&mut self, now: Timestamp, from: MemberId, known: Option<ClusterId>) {
        self.bootstrap_progress.on_answer(now, from, known);
    }

    /// Handles the announcement of a group. A group replaces all groups with a lower id. If the announced group is
    /// already replaced, the sender is informed of the current one.
    fn on_bootstrap(&mut self, now: Timestamp, from: MemberId, bootstrap: &Bootstrap) {
        let announced = Some(bootstrap.cluster_id);
        let ours = self.cluster_id();
        if announced > ours {
            self.join_bootstrap(now, bootstrap);
        } else if announced < ours {
            self.on_cluster_query(from);
        }
    }

    /// Handles the leader's confirmation that this node was removed from the group.
    fn on_removed(&mut self) {
        if self.shutdown_state == ShutdownState::Leaving {
            self.shutdown_state = ShutdownState::Removed;
        }
    }
}
