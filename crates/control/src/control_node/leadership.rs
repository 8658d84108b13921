//! What a leader does each tick: changes of the membership, and grants.

use super::{ControlNode, Participation, ShutdownState};
use crate::lease_granter::GrantContext;
use crate::member::MemberId;
use crate::member_tracker::LocalView;
use crate::membership::{GroupConfiguration, MembershipChange, MembershipView};
use crate::message::LogEvent;
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;

/// Requests are granted together, in one entry every so many ticks.
const GRANT_INTERVAL_TICKS: u64 = 2;
/// A snapshot that was not acknowledged is sent again every so many ticks.
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

    /// Proposes the next change of the membership, if one is due.
    fn change_membership(&mut self, now: Timestamp) -> Option<MembershipChange> {
        let configuration = self.log()?.configuration();
        self.member_tracker
            .update_unreachable(now, &configuration, &self.alive);
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
            alive: &self.alive,
            removal_delay: self.config.member_removal_delay,
        };
        let observations: BTreeMap<MemberId, _> = configuration
            .all()
            .chain(self.alive.keys().copied())
            .map(|id| (id, self.member_tracker.observe(id, log, &local)))
            .collect();
        let view = MembershipView {
            leader: self.local_member.id,
            configuration,
            members: &log.state().members,
            alive: &self.alive,
            observations: &observations,
        };
        view.next_change()
    }

    fn grant_leases(&mut self, now: Timestamp) {
        let is_due = self.tick_count.is_multiple_of(GRANT_INTERVAL_TICKS);
        if !is_due || self.led_log().is_none_or(|log| self.must_wait(now, log)) {
            return;
        }
        let Participation::Joined(log) = &mut self.participation else {
            return;
        };
        let context = GrantContext {
            now,
            terms: &self.config.lease_terms,
            alive: &self.alive,
            tracker: &self.member_tracker,
        };
        self.lease_granter.propose(log, &context);
    }

    /// Whether leases of an earlier group may still be in use: a group that has granted nothing can't know of them.
    fn must_wait(&self, now: Timestamp, log: &RaftLog) -> bool {
        let Some(leader_since) = log.leader_since() else {
            return true;
        };
        log.state().grant_count == 0
            && now.saturating_duration_since(leader_since) < self.config.lease_terms.safe_expiry()
    }
}
