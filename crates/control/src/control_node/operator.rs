//! Operators' requests: recovery of a lost quorum, and changes of the capacity.

use super::ControlNode;
use crate::entry::Entry;
use crate::error::ControlError;
use crate::lease_granter::GrantContext;
use crate::member::{Bootstrap, ClusterId, Member, MemberId};
use crate::message::ControlMessage;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;

/// Printed in place of the leader's name if the leader is unknown.
const UNKNOWN_LEADER_NAME: &str = "nobody";

impl ControlNode {
    /// Forms a new group of all live members. Its higher epoch fences the group whose majority is permanently lost.
    /// `bootstrap_id` must be a random number.
    ///
    /// # Errors
    /// [`ControlError::Disqualified`], or [`ControlError::LeaderPresent`] if the quorum is not lost.
    pub fn recover_quorum(
        &mut self,
        now: Timestamp,
        bootstrap_id: u64,
    ) -> Result<ClusterId, ControlError> {
        if self.is_disqualified() {
            return Err(ControlError::Disqualified);
        }
        if self.known_leader().is_some() {
            return Err(ControlError::LeaderPresent);
        }
        let former_epoch = self.log().map_or(0, |log| log.cluster_id().epoch);
        let cluster_id = ClusterId {
            epoch: former_epoch + 1,
            bootstrap_id,
        };
        let members: Vec<Member> = self.live_members.values().cloned().collect();
        let bootstrap = Bootstrap {
            cluster_id,
            voters: members.iter().map(|member| member.id).collect(),
            members,
            capacity: self.config.capacity,
        };
        self.form_cluster(now, bootstrap);
        Ok(cluster_id)
    }

    /// Requests that the leader change the capacity. The change takes effect once its entry is applied, and limits
    /// follow as leases are renewed. Returns the epoch of the state before the change.
    ///
    /// # Errors
    /// [`ControlError::NotJoined`] or [`ControlError::NoLeader`].
    pub fn set_capacity(&mut self, now: Timestamp, capacity: u32) -> Result<u64, ControlError> {
        let log = self.log().ok_or(ControlError::NotJoined)?;
        let leader = log.leader().ok_or(ControlError::NoLeader)?;
        let cluster_id = log.cluster_id();
        let epoch = log.state().applied_entries;
        if leader == self.local_member.id {
            self.propose_capacity(now, capacity);
        } else {
            self.send(leader, ControlMessage::Capacity(cluster_id, capacity));
        }
        Ok(epoch)
    }

    /// Proposes a change of the capacity, if this node is the leader.
    pub(super) fn propose_capacity(&mut self, now: Timestamp, capacity: u32) {
        self.disqualify_on_panic(now, |node| {
            if let Some(log) = node.log_mut().filter(|log| log.is_leader()) {
                log.propose(&Entry::CapacityChanged(capacity));
            }
            node.process_ready(now);
        });
    }

    /// The limits that would be granted with this capacity at the next renewal, by node name. Only the leader knows
    /// the demands.
    ///
    /// # Errors
    /// [`ControlError::NotJoined`] or [`ControlError::NotLeader`].
    pub fn preview_capacity(
        &self,
        now: Timestamp,
        capacity: u32,
    ) -> Result<BTreeMap<String, u32>, ControlError> {
        let log = self.log().ok_or(ControlError::NotJoined)?;
        if !log.is_leader() {
            return Err(not_leader(log));
        }
        let context = GrantContext {
            now,
            terms: &self.config.lease_terms,
            live_members: &self.live_members,
            tracker: &self.member_tracker,
        };
        let limits = self
            .lease_granter
            .divide_capacity(log.state(), capacity, &context);
        Ok(limits
            .into_iter()
            .map(|(id, limit)| (member_name(log, id).unwrap_or_default().to_owned(), limit))
            .collect())
    }
}

fn member_name(log: &RaftLog, id: MemberId) -> Option<&str> {
    let member = log.state().members.get(&id)?;
    Some(member.name.as_str())
}

fn not_leader(log: &RaftLog) -> ControlError {
    let name = log.leader().and_then(|leader| member_name(log, leader));
    ControlError::NotLeader {
        leader: name.unwrap_or(UNKNOWN_LEADER_NAME).to_owned(),
    }
}
