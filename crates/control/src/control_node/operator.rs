//! Requests of operators: recovery of a lost quorum, and changes of the capacity.

use super::ControlNode;
use crate::entry::Entry;
use crate::error::ControlError;
use crate::lease_granter::GrantContext;
use crate::member::{Bootstrap, ClusterId, Member, MemberId};
use crate::message::ControlMessage;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;

/// What is printed for the leader's name if it is not known.
const UNKNOWN_LEADER_NAME: &str = "nobody";

impl ControlNode {
    /// Forms a new group of all members that are alive, in a higher epoch that fences off the group whose majority is
    /// lost for good. `bootstrap_id` is drawn at random.
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
        let members: Vec<Member> = self.alive.values().cloned().collect();
        let bootstrap = Bootstrap {
            cluster_id,
            voters: members.iter().map(|member| member.id).collect(),
            members,
            capacity: self.config.capacity,
        };
        self.form_cluster(now, bootstrap);
        Ok(cluster_id)
    }

    /// Asks the leader for another capacity. It holds once the entry is applied; leases follow as they are renewed.
    /// Returns the epoch of the state before.
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

    /// Proposes another capacity, if this node is the leader.
    pub(super) fn propose_capacity(&mut self, now: Timestamp, capacity: u32) {
        self.guarded(now, |node| {
            if let Some(log) = node.log_mut().filter(|log| log.is_leader()) {
                log.propose(&Entry::CapacityChanged(capacity));
            }
            node.process_ready(now);
        });
    }

    /// The limits that would be granted out of this capacity at the next renewal, by node name. Only the leader knows
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
            alive: &self.alive,
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
