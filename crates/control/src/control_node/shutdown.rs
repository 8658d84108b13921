//! Graceful shutdown: the node stops using its lease, hands leadership over, and waits until its vote is not needed.

use super::{ControlNode, ShutdownState, LEAVING_REPEAT_TICKS};
use crate::member::{ClusterId, MemberId};
use crate::message::ControlMessage;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;

/// With fewer members alive there is nobody who could confirm the removal.
const MIN_ALIVE_TO_CONFIRM: usize = 2;

impl ControlNode {
    /// Begins a graceful shutdown: this node uses nothing from now on, and repeats that it is leaving until the leader
    /// confirms it.
    pub fn begin_leaving(&mut self, now: Timestamp) {
        if self.shutdown_state != ShutdownState::Running {
            return;
        }
        self.shutdown_state = ShutdownState::Leaving;
        self.lease_client.retire(now);
        self.transfer_leadership(now);
        self.announce_leaving();
        self.report_limit_change(now);
    }

    /// Whether the shutdown is complete: nobody waits for this node's vote.
    pub fn has_left(&self) -> bool {
        match self.shutdown_state {
            ShutdownState::Running => false,
            ShutdownState::Leaving => {
                self.log().is_none() || self.alive.len() < MIN_ALIVE_TO_CONFIRM
            }
            ShutdownState::Removed => true,
        }
    }

    pub(super) fn continue_shutdown(&mut self, now: Timestamp) {
        if self.shutdown_state == ShutdownState::Running {
            return;
        }
        self.transfer_leadership(now);
        if self.tick_count.is_multiple_of(LEAVING_REPEAT_TICKS) {
            self.announce_leaving();
        }
    }

    /// Hands leadership to a voter that stays and has nearly all of the log, as soon as there is one.
    fn transfer_leadership(&mut self, now: Timestamp) {
        let Some(successor) = self.led_log().and_then(|log| self.successor(log)) else {
            return;
        };
        self.guarded(now, |node| {
            if let Some(log) = node.log_mut() {
                log.transfer_leadership(successor);
            }
            node.process_ready(now);
        });
    }

    /// The successor must have answered lately: a transfer to a voter that has just died holds back all proposals for
    /// the time of an election.
    fn successor(&self, log: &RaftLog) -> Option<MemberId> {
        let voters = log.configuration().voters;
        voters.into_iter().find(|id| {
            *id != self.local_member.id
                && self.alive.contains_key(id)
                && !self.member_tracker.is_leaving(*id)
                && log.is_caught_up(*id)
                && log.is_responsive(*id)
        })
    }

    fn announce_leaving(&mut self) {
        let Some(log) = self.log() else {
            return;
        };
        let leaving = ControlMessage::Leaving(log.cluster_id());
        for voter in log.configuration().voters {
            if voter != self.local_member.id {
                self.send(voter, leaving.clone());
            }
        }
    }

    /// A member is leaving; once it is removed the leader confirms it.
    pub(super) fn on_leaving(&mut self, now: Timestamp, from: MemberId, cluster_id: ClusterId) {
        self.member_tracker.on_leaving(now, from);
        let is_removed = self
            .led_log()
            .is_some_and(|log| !log.configuration().contains(from));
        if is_removed {
            self.send(from, ControlMessage::Removed(cluster_id));
        }
    }
}
