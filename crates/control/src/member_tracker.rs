//! What a node remembers of other members: since when they are unreachable, and which are shutting down.

use crate::member::{Member, MemberId};
use crate::membership::{GroupConfiguration, Liveness, MemberObservation};
use crate::raft_log::RaftLog;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Members that are unreachable or shutting down.
#[derive(Default)]
pub(crate) struct MemberTracker {
    /// Members of the group that are not alive, and since when; only kept by a leader.
    unreachable_since: BTreeMap<MemberId, Timestamp>,
    departures: BTreeMap<MemberId, Departure>,
}

/// A graceful shutdown of a member.
struct Departure {
    /// The member uses no lease since then, by this node's clock.
    announced_at: Timestamp,
    /// Whether membership has seen its end. If the member is alive again after that, another process goes on as the same
    /// incarnation.
    was_unreachable: bool,
}

/// The local node's view, which observations start from.
pub(crate) struct LocalView<'a> {
    pub(crate) now: Timestamp,
    pub(crate) local_id: MemberId,
    pub(crate) is_shutting_down: bool,
    /// The members that are alive as membership sees it.
    pub(crate) alive: &'a BTreeMap<MemberId, Member>,
    pub(crate) removal_delay: Duration,
}

impl MemberTracker {
    /// A member shuts down and uses no lease from now on. Every node remembers it, since any may become leader.
    pub(crate) fn on_leaving(&mut self, now: Timestamp, from: MemberId) {
        self.departures.entry(from).or_insert(Departure {
            announced_at: now,
            was_unreachable: false,
        });
    }

    pub(crate) fn is_leaving(&self, id: MemberId) -> bool {
        self.departures.contains_key(&id)
    }

    /// The members that have been leaving, and so used no lease, for at least this long.
    pub(crate) fn leaving_for_at_least(
        &self,
        now: Timestamp,
        span: Duration,
    ) -> impl Iterator<Item = MemberId> + '_ {
        self.departures
            .iter()
            .filter(move |(_, departure)| {
                now.saturating_duration_since(departure.announced_at) >= span
            })
            .map(|(id, _)| *id)
    }

    /// Forgets departures that are complete: the member was removed, or is back.
    pub(crate) fn update_departures(
        &mut self,
        alive: &BTreeMap<MemberId, Member>,
        members: &BTreeMap<MemberId, Member>,
    ) {
        self.departures.retain(|id, departure| {
            let is_alive = alive.contains_key(id);
            let is_back = departure.was_unreachable && is_alive;
            departure.was_unreachable |= !is_alive;
            !is_back && (is_alive || members.contains_key(id))
        });
    }

    /// Notes which members of the group are unreachable.
    pub(crate) fn update_unreachable(
        &mut self,
        now: Timestamp,
        configuration: &GroupConfiguration,
        alive: &BTreeMap<MemberId, Member>,
    ) {
        self.unreachable_since
            .retain(|id, _| !alive.contains_key(id) && configuration.contains(*id));
        for id in configuration.all().filter(|id| !alive.contains_key(id)) {
            self.unreachable_since.entry(id).or_insert(now);
        }
    }

    /// What the leader has observed of a member.
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
        let is_alive = is_local || local.alive.contains_key(&id);
        // Membership does not list a leaving incarnation that was replaced, but its vote may still be needed.
        if is_leaving && (is_alive || log.is_responsive(id)) {
            Liveness::Leaving
        } else if is_alive {
            Liveness::Alive
        } else {
            Liveness::Unreachable
        }
    }

    /// An unreachable member is removed after a delay, one that was leaving at once.
    fn is_removal_due(&self, id: MemberId, local: &LocalView) -> bool {
        let Some(since) = self.unreachable_since.get(&id) else {
            return false;
        };
        self.is_leaving(id) || local.now.saturating_duration_since(*since) >= local.removal_delay
    }
}
