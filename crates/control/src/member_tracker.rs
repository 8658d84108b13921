//! Tracks which other members are unreachable, and since when, and which are shutting down.

use crate::member::{Member, MemberId};
use crate::membership::{GroupConfiguration, Liveness, MemberObservation};
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tracks members that are unreachable or shutting down.
#[derive(Default)]
pub(crate) struct MemberTracker {
    /// For each member of the group that is not live, the time since which it has not been live. Only maintained by a
    /// leader.
    unreachable_since: BTreeMap<MemberId, Timestamp>,
    departures: BTreeMap<MemberId, Departure>,
}

/// A graceful shutdown of a member.
struct Departure {
    /// The time of the announcement, by this node's clock. The member has used no lease since then.
    announced_at: Timestamp,
    /// Whether gossip membership has reported the member as unreachable since the announcement. If the member is live
    /// again after that, another process has resumed the same incarnation.
    was_unreachable: bool,
}

/// The local node's view, the input of observations.
pub(crate) struct LocalView<'a> {
    pub(crate) now: Timestamp,
    pub(crate) local_id: MemberId,
    pub(crate) is_shutting_down: bool,
    /// The members that gossip membership reports as live.
    pub(crate) live_members: &'a BTreeMap<MemberId, Member>,
    pub(crate) removal_delay: Duration,
}

impl MemberTracker {
    /// Records that a member is shutting down and uses no lease from now on. Every node records it, since any may
    /// become leader.
    pub(crate) fn on_leaving(&mut self, now: Timestamp, from: MemberId) {
        self.departures.entry(from).or_insert(Departure {
            announced_at: now,
            was_unreachable: false,
        });
    }

    pub(crate) fn is_leaving(&self, id: MemberId) -> bool {
        self.departures.contains_key(&id)
    }

    /// The members that have been leaving, and so have used no lease, for at least this duration.
    pub(crate) fn leaving_for_at_least(
        &self,
        now: Timestamp,
        min_duration: Duration,
    ) -> impl Iterator<Item = MemberId> + '_ {
        self.departures
            .iter()
            .filter(move |(_, departure)| {
                now.saturating_duration_since(departure.announced_at) >= min_duration
            })
            .map(|(id, _)| *id)
    }

    /// Drops departures that are complete: the member was removed, or is live again.
    pub(crate) fn update_departures(
        &mut self,
        live_members: &BTreeMap<MemberId, Member>,
        members: &BTreeMap<MemberId, Member>,
    ) {
        self.departures.retain(|id, departure| {
            let is_live = live_members.contains_key(id);
            let is_live_again = departure.was_unreachable && is_live;
            departure.was_unreachable |= !is_live;
            !is_live_again && (is_live || members.contains_key(id))
        });
    }

    /// Records which members of the group are unreachable.
    pub(crate) fn update_unreachable(
        &mut self,
        now: Timestamp,
        configuration: &GroupConfiguration,
        live_members: &BTreeMap<MemberId, Member>,
    ) {
        self.unreachable_since
            .retain(|id, _| !live_members.contains_key(id) && configuration.contains(*id));
        for id in configuration
            .all()
            .filter(|id| !live_members.contains_key(id))
        {
            self.unreachable_since.entry(id).or_insert(now);
        }
    }

    /// The leader's observation of a member.
    pub(crate) fn observe(
        &self,
        id: MemberId,
        log: &RaftLog,
        local: &LocalView,
    ) -> MemberObservation {
        let is_local = id == local.local_id;
        MemberObservation {
            liveness: self.liveness(id, log, local),
            is_removal_due: self.is_removal_due(id, local),
            is_caught_up: log.is_caught_up(id),
            is_responsive: is_local || log.is_responsive(id),
        }
    }

    fn liveness(&self, id: MemberId, log: &RaftLog, local: &LocalView) -> Liveness {
        let is_local = id == local.local_id;
        let is_leaving = (is_local && local.is_shutting_down) || self.is_leaving(id);
        let is_live = is_local || local.live_members.contains_key(&id);
        // Gossip membership does not list a leaving incarnation that was replaced, but its vote may still be needed.
        if is_leaving && (is_live || log.is_responsive(id)) {
            Liveness::Leaving
        } else if is_live {
            Liveness::Live
        } else {
            Liveness::Unreachable
        }
    }

    /// Returns true if the member is unreachable and its removal delay has passed. A leaving member has no removal
    /// delay.
    fn is_removal_due(&self, id: MemberId, local: &LocalView) -> bool {
        let Some(since) = self.unreachable_since.get(&id) else {
            return false;
        };
        self.is_leaving(id) || local.now.saturating_duration_since(*since) >= local.removal_delay
    }
}
