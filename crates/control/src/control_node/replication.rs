//! Driving the replicated log.
//!
//! The Raft library panics where a message contradicts what it holds. That must not end a node that serves clients: the
//! log is dropped, and this incarnation takes no further part.

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
    /// Goes on with the group that an earlier process of this incarnation was in, if any.
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

    /// All writes up to this one are completed.
    pub fn on_write_completed(&mut self, now: Timestamp, sequence: u64) {
        if let Some(log) = self.log_mut() {
            log.on_write_completed(sequence);
        }
        self.guarded(now, |node| node.process_ready(now));
    }

    /// Stable storage is lost: this incarnation takes no further part.
    pub fn on_storage_lost(&mut self, now: Timestamp) {
        self.disqualify(now);
    }

    /// Advances the log's time, and does what a leader does each tick.
    pub(super) fn tick_log(&mut self, now: Timestamp) {
        self.guarded(now, |node| {
            if let Some(log) = node.log_mut() {
                log.tick();
            }
            node.process_ready(now);
            node.run_leader_tick(now);
            node.process_ready(now);
        });
    }

    /// Takes in a Raft message of this group, or of a newer one that has added this incarnation.
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
            // The new group's leader sends a snapshot with all of the state.
            let storage = LogStorage::default();
            self.join_cluster(now, cluster_id, storage, ClusterState::default());
        }
        self.guarded(now, |node| {
            let is_accepted = node.log_mut().is_none_or(|log| log.step(message));
            if !is_accepted {
                node.rejected.invalid += 1;
            }
            node.process_ready(now);
        });
    }

    /// Carries out what the log has ready.
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

    /// The log can't be relied on any more: drops it, and takes no further part.
    fn disqualify(&mut self, now: Timestamp) {
        self.participation = Participation::Disqualified;
        self.lease_client.drop_lease(now);
        self.log_event(LogEvent::LogInconsistent);
    }

    /// Runs `work`, and disqualifies this incarnation if it panics.
    pub(super) fn guarded(&mut self, now: Timestamp, work: impl FnOnce(&mut ControlNode)) {
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
