//! Graceful shutdown: the node stops using its lease, transfers leadership, and waits until its vote is not needed.

use super::{ControlNode, ShutdownState, LEAVING_REPEAT_TICKS};
use crate::member::{ClusterId, MemberId};
use crate::message::ControlMessage;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;

/// With fewer live members than this, no other member could confirm the removal.
const MIN_LIVE_MEMBERS_TO_CONFIRM: usize = 2;

impl ControlNode {
    /// Begins a graceful shutdown: the node stops using its lease and its floor, and announces that it is leaving
    /// until the leader confirms its removal.
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

    /// Returns true if the shutdown is complete: no other member needs this node's vote.
    pub fn has_left(&self) -> bool {
        match self.shutdown_state {
            ShutdownState::Running => false,
            ShutdownState::Leaving => {
                self.log().is_none() || self.live_members.len() < MIN_LIVE_MEMBERS_TO_CONFIRM
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

    /// Transfers leadership to a suitable voter, as soon as there is one.
    fn transfer_leadership(&mut self, now: Timestamp) {
        let Some(successor) = self.log_if_leader().and_then(|log| self.successor(log)) else {
            return;
        };
        self.disqualify_on_panic(now, |node| {
            if let Some(log) = node.log_mut() {
                log.transfer_leadership(successor);
            }
            node.process_ready(now);
        });
    }

    /// Returns a voter that is not leaving and has nearly all of the log. The voter must have answered recently: a
    /// transfer to a voter that has just failed would block all proposals for the duration of an election.
    fn successor(&self, log: &RaftLog) -> Option<MemberId> {
        let voters = log.configuration().voters;
        voters.into_iter().find(|id| {
            *id != self.local_member.id
                && self.live_members.contains_key(id)
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

    /// Records that a member is leaving. Once the member is removed, the leader confirms the removal.
    pub(super) fn on_leaving(&mut self, now: Timestamp, from: MemberId, cluster_id: ClusterId) {
        self.member_tracker.on_leaving(now, from);
        let is_removed = self
            .log_if_leader()
            .is_some_and(|log| !log.configuration().contains(from));
        if is_removed {
            self.send(from, ControlMessage::Removed(cluster_id));
        }
    }
}
