//! Chooses the next change of the control group's configuration: which members belong to it, and which of them vote.
//!
//! Changes are made one at a time: Raft rejects a change until the previous one is applied.

use crate::member::{Member, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Removes an incarnation.
    Remove(MemberId),
    /// Adds an incarnation that receives the log but has no vote.
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

/// The leader's view of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    Live,
    /// Live, but shutting down.
    Leaving,
    Unreachable,
}

/// The leader's observation of one member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberObservation {
    pub(crate) liveness: Liveness,
    /// Whether the member has been unreachable for long enough to be removed.
    pub(crate) is_removal_due: bool,
    /// Whether the member has nearly all of the log. Promoting a learner that lags behind could form a majority that
    /// can't commit.
    pub(crate) is_caught_up: bool,
    /// Whether the member is the leader, or has answered the leader recently.
    pub(crate) is_responsive: bool,
}

/// The input for choosing the next change.
pub(crate) struct MembershipView<'a> {
    /// The leader, which chooses the change. It is neither removed nor demoted, since no leader would be left to make
    /// the next change.
    pub(crate) leader: MemberId,
    pub(crate) configuration: &'a GroupConfiguration,
    /// The members in the replicated state.
    pub(crate) members: &'a BTreeMap<MemberId, Member>,
    /// The members that gossip membership reports as live.
    pub(crate) live_members: &'a BTreeMap<MemberId, Member>,
    /// Observations of all members that are in the configuration or live.
    pub(crate) observations: &'a BTreeMap<MemberId, MemberObservation>,
}

/// The number of voters for a group with this number of reliable members.
fn target_voter_count(reliable_count: usize) -> usize {
    match reliable_count {
        0..=2 => 1,
        3..=4 => 3,
        _ => 5,
    }
}

impl MembershipView<'_> {
    /// Returns the next change, if one is due.
    ///
    /// Changes that make a majority easier to reach come first, so unreachable voters are removed first. An
    /// incarnation is added only once no other incarnation of its name is in the configuration, so that a node never
    /// has two votes.
    pub(crate) fn next_change(&self) -> Option<MembershipChange> {
        self.remove_unreachable()
            .or_else(|| self.add_learner())
            .or_else(|| self.promote())
            // A leaving member that still answers counts towards the quorum that promotes its replacement, so it is
            // removed after that.
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
        self.live_members
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
        // Ordered by the number of votes in the zone, then by name, so that every leader chooses the same learner.
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

    /// Demotes a voter in the zone with the most votes if another zone has learners but no vote, so that a learner
    /// there can be promoted. The zone of the demoted voter must keep at least one vote.
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
        let can_spare_vote = self.votes_in_zone(self.zone(surplus)) > 1;
        (can_spare_vote && !self.zone(without_vote).is_empty() && self.is_removable(surplus))
            .then_some(MembershipChange::Demote(surplus))
    }

    fn liveness(&self, id: MemberId) -> Liveness {
        self.observations
            .get(&id)
            .map_or(Liveness::Unreachable, |observation| observation.liveness)
    }

    /// Returns true if the member is live and not leaving.
    fn is_reliable(&self, id: MemberId) -> bool {
        self.liveness(id) == Liveness::Live
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

    /// Returns true if the group can still commit without this member's vote.
    fn is_removable(&self, id: MemberId) -> bool {
        let others = self.configuration.voters.iter().copied();
        id != self.leader && self.has_responsive_majority(others.filter(|other| *other != id))
    }

    /// Returns true if the responsive members are a majority of these voters. A change must not leave a group that
    /// can't commit the next one, for example if a leaving member is removed just after another member failed, which
    /// gossip membership has not detected yet.
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
