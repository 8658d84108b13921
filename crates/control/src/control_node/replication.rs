//! Drives the replicated log.
//!
//! The Raft library panics if a message contradicts its state. The panic must not terminate a node that serves
//! clients, so the log is dropped and this incarnation stops participating.

use super::{ControlNode, Participation};
use crate::durable::DurableState;
use crate::error::ControlError;
use crate::member::{ClusterId, MemberId};
use crate::message::LogEvent;
use crate::raft_log::{Durability, LogError, LogStorage, RaftLog, RaftLogStart};
use crate::state::ClusterState;
use lupincrank_placement::Timestamp;
use std::panic::{catch_unwind, AssertUnwindSafe};

impl ControlNode {
    /// Resumes participation in the group that an earlier process of this incarnation had joined, if any.
    pub(super) fn resume(&mut self, stored: &DurableState) -> Result<(), ControlError> {
        let Some(cluster_id) = stored.cluster_id else {
            return Ok(());
        };
        let local_id = self.local_member.id;
        let resumed = catch_unwind(AssertUnwindSafe(|| {
            resume_log(local_id, cluster_id, stored)
        }));
        let Ok(Ok(log)) = resumed else {
            return Err(ControlError::InconsistentStoredLog);
        };
        self.participation = Participation::Joined(Box::new(log));
        self.log_event(LogEvent::JoinedCluster(cluster_id));
        Ok(())
    }

    /// Handles the completion of all writes up to this one.
    pub fn on_write_completed(&mut self, now: Timestamp, sequence: u64) {
        if let Some(log) = self.log_mut() {
            log.on_write_completed(sequence);
        }
        self.disqualify_on_panic(now, |node| node.process_ready(now));
    }

    /// Handles the loss of stable storage: this incarnation stops participating.
    pub fn on_storage_lost(&mut self, now: Timestamp) {
        self.disqualify(now);
    }

    /// Advances the log by one tick, and performs the leader's duties if this node is the leader.
    pub(super) fn tick_log(&mut self, now: Timestamp) {
        self.disqualify_on_panic(now, |node| {
            if let Some(log) = node.log_mut() {
                log.tick();
            }
            node.process_ready(now);
            node.run_leader_tick(now);
            node.process_ready(now);
        });
    }

    /// Handles a Raft message of this group, or of a newer one that has added this incarnation.
    pub(super) fn on_raft(
        &mut self,
        now: Timestamp,
        from: MemberId,
        cluster_id: ClusterId,
        bytes: &[u8],
    ) {
        let local_id = self.local_member.id;
        let Some(message) = RaftLog::decode_message(bytes, local_id, from) else {
            self.rejected.invalid += 1;
            return;
        };
        if self.log().is_none_or(|log| log.cluster_id() < cluster_id) {
            // The leader of the new group sends a snapshot with the complete state.
            let storage = LogStorage::default();
            self.join_cluster(now, cluster_id, storage, ClusterState::default());
        }
        self.disqualify_on_panic(now, |node| {
            let is_accepted = node.log_mut().is_none_or(|log| log.step(message));
            if !is_accepted {
                node.rejected.invalid += 1;
            }
            node.process_ready(now);
        });
    }

    /// Processes everything that the log has ready.
    pub(super) fn process_ready(&mut self, now: Timestamp) {
        let Participation::Joined(log) = &mut self.participation else {
            return;
        };
        let was_leader = log.is_leader();
        let former_leader = log.leader();
        let result = log.process_ready(now, &mut self.actions);
        let is_leader = log.is_leader();
        let leader = log.leader();
        if is_leader != was_leader {
            self.lease_granter.clear();
        }
        if leader != former_leader {
            self.log_event(LogEvent::LeaderChanged(leader));
        }
        if result.is_err() {
            self.disqualify(now);
        }
    }

    /// Drops the log, which must not be used any more, and stops participating.
    fn disqualify(&mut self, now: Timestamp) {
        self.participation = Participation::Disqualified;
        self.lease_client.drop_lease(now);
        self.log_event(LogEvent::LogInconsistent);
    }

    /// Runs `work` and disqualifies this incarnation if `work` panics.
    pub(super) fn disqualify_on_panic(
        &mut self,
        now: Timestamp,
        work: impl FnOnce(&mut ControlNode),
    ) {
        if catch_unwind(AssertUnwindSafe(|| work(self))).is_err() {
            self.disqualify(now);
        }
    }
}

fn resume_log(
    local_id: MemberId,
    cluster_id: ClusterId,
    stored: &DurableState,
) -> Result<RaftLog, LogError> {
    let storage = LogStorage::resume(stored)?;
    let data = storage.snapshot_data();
    let state = if data.is_empty() {
        ClusterState::default()
    } else {
        postcard::from_bytes(&data)?
    };
    RaftLog::start(RaftLogStart {
        local_id,
        cluster_id,
        storage,
        state,
        former: None,
        durability: Durability::Persistent,
    })
}
