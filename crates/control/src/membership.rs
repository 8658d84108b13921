//! Which members of the control group vote, and the next change of its configuration.
//!
//! Changes are made one at a time: Raft accepts none before the one before it is applied.

use crate::member::{Member, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Removes an incarnation.
    Remove(MemberId),
    /// Adds an incarnation that receives the log and has no vote.
    AddLearner(Member),
    /// Gives a learner a vote.
    Promote(MemberId),
    /// Makes a voter a learner.
    Demote(MemberId),
}

/// The configuration of the control group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupConfiguration {
    pub(crate) voters: BTreeSet<MemberId>,
    pub(crate) learners: BTreeSet<MemberId>,
}

impl GroupConfiguration {
    /// Voters, then learners.
    pub(crate) fn all(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    pub(crate) fn contains(&self, id: MemberId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }
}

/// Whether a member can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    Alive,
    /// Alive, but shutting down.
    Leaving,
    Unreachable,
}

/// What the leader has observed of one member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberObservation {
    pub(crate) liveness: Liveness,
    /// Unreachable for long enough to be removed.
    pub(crate) is_removal_due: bool,
    /// Has nearly all of the log: promoting one that has not makes a majority that can't commit.
    pub(crate) is_caught_up: bool,
    /// Is the leader, or has answered it lately.
    pub(crate) is_responsive: bool,
}

/// What the next change is decided on.
pub(crate) struct MembershipView<'a> {
    /// The leader, which decides. It is neither removed nor demoted: there would be no leader to make the next change.
    pub(crate) leader: MemberId,
    pub(crate) configuration: &'a GroupConfiguration,
    /// The members as the replicated state has them.
    pub(crate) members: &'a BTreeMap<MemberId, Member>,
    /// The members that are alive as membership sees it.
    pub(crate) alive: &'a BTreeMap<MemberId, Member>,
    /// Of all that are in the configuration or alive.
    pub(crate) observations: &'a BTreeMap<MemberId, MemberObservation>,
}

/// The number of votes that a group with so many reliable members should have.
fn target_voter_count(alive_count: usize) -> usize {
    match alive_count {
        0..=2 => 1,
        3..=4 => 3,
        _ => 5,
    }
}

impl MembershipView<'_> {
    /// The next change, if one is due.
    ///
    /// Each step comes after those that make a majority easier to reach: unreachable voters go first. An incarnation is
    /// added only once no other incarnation of its name is in the configuration, which keeps their votes apart.
    pub(crate) fn next_change(&self) -> Option<MembershipChange> {
        self.remove_unreachable()
            .or_else(|| self.add_learner())
            .or_else(|| self.promote())
            // A leaving member that still answers helps to give its own vote to another, so it is removed after that.
            .or_else(|| self.remove_leaving())
            .or_else(|| self.demote_surplus())
            .or_else(|| self.demote_for_zone_balance())
    }

    fn remove_unreachable(&self) -> Option<MembershipChange> {
        let is_due = |id: MemberId| {
            self.liveness(id) == Liveness::Unreachable
                && self
                    .observations
                    .get(&id)
                    .is_some_and(|observation| observation.is_removal_due)
        };
        self.configuration
            .all()
            .find(|id| is_due(*id) && self.is_removable(*id))
            .map(MembershipChange::Remove)
    }

    fn add_learner(&self) -> Option<MembershipChange> {
        let names_in_use: BTreeSet<&str> = self
            .configuration
            .all()
            .filter_map(|id| self.members.get(&id))
            .map(|member| member.name.as_str())
            .collect();
        self.alive
            .values()
            .find(|member| {
                !self.configuration.contains(member.id)
                    && !names_in_use.contains(member.name.as_str())
                    && self.is_reliable(member.id)
            })
            .map(|member| MembershipChange::AddLearner(member.clone()))
    }

    fn promote(&self) -> Option<MembershipChange> {
        if self.reliable_voters().count() >= self.target_voter_count() {
            return None;
        }
        let is_caught_up = |id: MemberId| {
            self.observations
                .get(&id)
                .is_some_and(|observation| observation.is_caught_up)
        };
        // The zone with the fewest votes first, then by name: every leader would choose the same.
        let candidate = self
            .reliable_learners()
            .filter(|id| is_caught_up(*id))
            .min_by_key(|id| (self.votes_in_zone(self.zone(*id)), self.name(*id)))?;
        let voters = self.configuration.voters.iter().copied();
        self.has_responsive_majority(voters.chain([candidate]))
            .then_some(MembershipChange::Promote(candidate))
    }

    fn remove_leaving(&self) -> Option<MembershipChange> {
        self.configuration
            .all()
            .find(|id| self.liveness(*id) == Liveness::Leaving && self.is_removable(*id))
            .map(MembershipChange::Remove)
    }

    fn demote_surplus(&self) -> Option<MembershipChange> {
        if !self.are_all_voters_reliable()
            || self.reliable_voters().count() <= self.target_voter_count()
        {
            return None;
        }
        self.reliable_voters()
            .filter(|id| self.is_removable(*id))
            .max_by_key(|id| (self.votes_in_zone(self.zone(*id)), *id))
            .map(MembershipChange::Demote)
    }

    /// A zone without a vote gets one from the zone that has the most, which must keep one.
    fn demote_for_zone_balance(&self) -> Option<MembershipChange> {
        if !self.are_all_voters_reliable() || self.target_voter_count() <= 1 {
            return None;
        }
        let without_vote = self
            .reliable_learners()
            .find(|id| self.votes_in_zone(self.zone(*id)) == 0)?;
        let surplus = self
            .reliable_voters()
            .filter(|id| *id != self.leader)
            .max_by_key(|id| (self.votes_in_zone(self.zone(*id)), *id))?;
        let is_spare = self.votes_in_zone(self.zone(surplus)) > 1;
        (is_spare && !self.zone(without_vote).is_empty() && self.is_removable(surplus))
            .then_some(MembershipChange::Demote(surplus))
    }

    fn liveness(&self, id: MemberId) -> Liveness {
        self.observations
            .get(&id)
            .map_or(Liveness::Unreachable, |observation| observation.liveness)
    }

    fn is_reliable(&self, id: MemberId) -> bool {
        self.liveness(id) == Liveness::Alive
    }

    fn reliable_voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        let voters = self.configuration.voters.iter().copied();
        voters.filter(|id| self.is_reliable(*id))
    }

    fn reliable_learners(&self) -> impl Iterator<Item = MemberId> + '_ {
        let learners = self.configuration.learners.iter().copied();
        learners.filter(|id| self.is_reliable(*id))
    }

    fn are_all_voters_reliable(&self) -> bool {
        self.reliable_voters().count() == self.configuration.voters.len()
    }

    fn target_voter_count(&self) -> usize {
        let reliable = self.configuration.all().filter(|id| self.is_reliable(*id));
        target_voter_count(reliable.count())
    }

    fn zone(&self, id: MemberId) -> &str {
        self.members
            .get(&id)
            .map_or("", |member| member.zone.as_str())
    }

    fn name(&self, id: MemberId) -> &str {
        self.members
            .get(&id)
            .map_or("", |member| member.name.as_str())
    }

    fn votes_in_zone(&self, zone: &str) -> usize {
        self.reliable_voters()
            .filter(|id| self.zone(*id) == zone)
            .count()
    }

    /// Whether the group can go on without this member's vote.
    fn is_removable(&self, id: MemberId) -> bool {
        let others = self.configuration.voters.iter().copied();
        id != self.leader && self.has_responsive_majority(others.filter(|other| *other != id))
    }

    /// Whether the responsive ones are a majority of these voters. A change must not leave a group that can't commit the
    /// next one: a leaving member is removed while another has just died and membership does not know it yet.
    fn has_responsive_majority(&self, voters: impl Iterator<Item = MemberId>) -> bool {
        let voters: Vec<MemberId> = voters.collect();
        let is_responsive = |id: &&MemberId| {
            self.observations
                .get(id)
                .is_some_and(|observation| observation.is_responsive)
        };
        let responsive_count = voters.iter().filter(is_responsive).count();
        responsive_count * 2 > voters.len()
    }
}

#[cfg(test)]
mod tests;
