//! The printed status.

use super::ControlNode;
use crate::member::{Member, MemberId};
use crate::raft_log::RaftLog;
use crate::state::{ActiveLease, ClusterState};
use crate::status::{Participant, Status};
use lupincrank_placement::Timestamp;

/// The printed name of an expected node that was never present.
const ABSENT_NAME: &str = "(expected)";

impl ControlNode {
    /// The status of this node, and of the group as known to this node.
    pub fn status(&self, now: Timestamp) -> Status {
        let usage_limit = self.lease_limit(now);
        let remaining = usage_limit
            .expires_at
            .map(|expires_at| expires_at.saturating_duration_since(now));
        let log = self.log();
        let state = log.map(RaftLog::state);
        Status {
            local_member: self.local_member.clone(),
            cluster_id: log.map(RaftLog::cluster_id),
            epoch: state.map_or(0, |state| state.applied_entries),
            term: log.map_or(0, RaftLog::term),
            index: log.map_or(0, RaftLog::applied_index),
            leader: log.and_then(|log| self.leader_name(log)),
            capacity: state.map_or(self.config.capacity, |state| state.capacity),
            granted: state.map_or(0, ClusterState::total_granted),
            lease_limit: usage_limit.limit,
            lease_ms: remaining.map(|remaining| remaining.as_millis() as u64),
            rejected: self.rejected,
            participants: log.map(|log| self.participants(log)).unwrap_or_default(),
        }
    }

    fn leader_name(&self, log: &RaftLog) -> Option<String> {
        let leader = log.leader()?;
        let known = log.state().members.get(&leader);
        known
            .or_else(|| self.live_members.get(&leader))
            .map(|member| member.name.clone())
    }

    fn participants(&self, log: &RaftLog) -> Vec<Participant> {
        let configuration = log.raft_configuration();
        let voters = configuration
            .get_voters()
            .iter()
            .map(|id| self.participant(log, *id, "voter"));
        let learners = configuration
            .get_learners()
            .iter()
            .map(|id| self.participant(log, *id, "learner"));
        voters.chain(learners).collect()
    }

    fn participant(&self, log: &RaftLog, id: MemberId, role: &'static str) -> Participant {
        let state = log.state();
        let member = state.members.get(&id).cloned();
        let is_leader = log.leader() == Some(id);
        Participant {
            member: member.unwrap_or_else(|| absent_member(id)),
            role: if is_leader { "leader" } else { role },
            alive: self.live_members.contains_key(&id),
            lease: state.leases.get(&id).map_or(0, ActiveLease::charged),
        }
    }
}

fn absent_member(id: MemberId) -> Member {
    Member {
        id,
        name: ABSENT_NAME.to_owned(),
        zone: String::new(),
        region: String::new(),
        build: String::new(),
    }
}
