//! The leader's duties at each tick: membership changes and lease grants.

use super::{ControlNode, Participation, ShutdownState};
use crate::lease_granter::GrantContext;
use crate::member::MemberId;
use crate::member_tracker::LocalView;
use crate::membership::{GroupConfiguration, MembershipChange, MembershipView};
use crate::message::LogEvent;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;

/// The number of ticks between two grant entries. Each entry grants all pending requests.
const GRANT_INTERVAL_TICKS: u64 = 2;
/// The number of ticks after which an unacknowledged snapshot is resent.
const SNAPSHOT_RETRY_TICKS: u64 = 10;

impl ControlNode {
    pub(super) fn run_leader_tick(&mut self, now: Timestamp) {
        if !self.is_leader() {
            return;
        }
        self.resend_snapshots();
        let change = self.change_membership(now);
        self.grant_leases(now);
        if let Some(change) = change {
            self.log_event(LogEvent::ChangingMembership(change));
        }
    }

    fn resend_snapshots(&mut self) {
        if !self.tick_count.is_multiple_of(SNAPSHOT_RETRY_TICKS) {
            return;
        }
        if let Some(log) = self.log_mut() {
            log.resend_snapshots();
        }
    }

    /// Proposes the next membership change, if one is due. Returns it if Raft accepted the proposal.
    fn change_membership(&mut self, now: Timestamp) -> Option<MembershipChange> {
        let configuration = self.log()?.configuration();
        self.member_tracker
            .update_unreachable(now, &configuration, &self.live_members);
        if self.log()?.has_pending_change() {
            return None;
        }
        let change = self.next_change(now, &configuration)?;
        self.log_mut()?.propose_change(&change).then_some(change)
    }

    fn next_change(
        &self,
        now: Timestamp,
        configuration: &GroupConfiguration,
    ) -> Option<MembershipChange> {
        let log = self.log()?;
        let local = LocalView {
            now,
            local_id: self.local_member.id,
            is_shutting_down: self.shutdown_state != ShutdownState::Running,
            live_members: &self.live_members,
            removal_delay: self.config.member_removal_delay,
        };
        let observations: BTreeMap<MemberId, _> = configuration
            .all()
            .chain(self.live_members.keys().copied())
            .map(|id| (id, self.member_tracker.observe(id, log, &local)))
            .collect();
        let view = MembershipView {
            leader: self.local_member.id,
            configuration,
            members: &log.state().members,
            live_members: &self.live_members,
            observations: &observations,
        };
        view.next_change()
    }

    fn grant_leases(&mut self, now: Timestamp) {
        let is_due = self.tick_count.is_multiple_of(GRANT_INTERVAL_TICKS);
        if !is_due
            || self
                .log_if_leader()
                .is_none_or(|log| self.must_delay_grants(now, log))
        {
            return;
        }
        let Participation::Joined(log) = &mut self.participation else {
            return;
        };
        let context = GrantContext {
            now,
            terms: &self.config.lease_terms,
            live_members: &self.live_members,
            tracker: &self.member_tracker,
        };
        self.lease_granter.propose(log, &context);
    }

    /// Returns true if leases of an earlier group may still be in use. A group that has granted nothing does not know
    /// of such leases.
    fn must_delay_grants(&self, now: Timestamp, log: &RaftLog) -> bool {
        let Some(leader_since) = log.leader_since() else {
            return true;
        };
        log.state().grant_count == 0
            && now.saturating_duration_since(leader_since) < self.config.lease_terms.safe_expiry()
    }
}
