//! Which members vote, and what is changed next. One change at a time: the log takes no second before the first stands.

use crate::member::Member;
use std::collections::{BTreeMap, BTreeSet};

/// One change of who takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This incarnation is out.
    Remove(u64),
    /// It learns the log and has no vote.
    Learn(Member),
    /// A learner gets a vote.
    Vote(u64),
    /// A voter becomes a learner.
    Unvote(u64),
}

/// Who takes part now.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// With a vote.
    pub voters: BTreeSet<u64>,
    /// Without.
    pub learners: BTreeSet<u64>,
}

/// How an incarnation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It is there.
    Stays,
    /// It is there and answers, but not for long.
    Leaves,
    /// It is not heard.
    No,
}

/// What a leader knows of the others.
pub struct View<'a> {
    /// How each stands.
    pub liveness: &'a dyn Fn(u64) -> Liveness,
    /// Dead for long enough to be taken out.
    pub gone: &'a dyn Fn(u64) -> bool,
    /// Has nearly all of the log: a vote without it makes a majority that can't go on.
    pub caught: &'a dyn Fn(u64) -> bool,
    /// Has answered the leader lately, or is the leader.
    pub hears: &'a dyn Fn(u64) -> bool,
}

impl View<'_> {
    /// Whether those that answer are a majority of these voters. Guards against a change that can be made and nothing after
    /// it: one that ends is taken out while another one has just died and membership does not know it yet.
    fn can_go_on(&self, voters: impl Iterator<Item = u64>) -> bool {
        let (all, heard) = voters.fold((0, 0), |(all, heard), id| {
            (all + 1, heard + usize::from((self.hears)(id)))
        });
        heard * 2 > all
    }
}

/// How many votes there should be among so many that live.
pub fn wanted(alive: usize) -> usize {
    match alive {
        0..=2 => 1,
        3..=4 => 3,
        _ => 5,
    }
}

/// The next change, if one is due. `members` are those that the log knows and `alive` those that membership does.
///
/// The rule that keeps votes apart: an incarnation is let in only once no other incarnation of its name takes part. `me` leads and is
/// neither removed nor unvoted, or there would be no leader to make the next change.
pub fn next(
    me: u64,
    parts: &Parts,
    members: &BTreeMap<u64, Member>,
    alive: &BTreeMap<u64, Member>,
    view: &View,
) -> Option<Change> {
    let liveness = view.liveness;
    let stays = |id: &u64| liveness(*id) == Liveness::Stays;
    let without = |out: u64| view.can_go_on(parts.voters.iter().copied().filter(|id| *id != out));
    let all = || parts.voters.iter().chain(&parts.learners);
    // Votes first: each that can't be given makes a majority harder to reach.
    if let Some(dead) = all().find(|id| {
        **id != me && liveness(**id) == Liveness::No && (view.gone)(**id) && without(**id)
    }) {
        return Some(Change::Remove(*dead));
    }
    let taken: BTreeSet<&str> = all()
        .filter_map(|id| members.get(id))
        .map(|member| member.name.as_str())
        .collect();
    // Another incarnation of a name that still takes part waits until the old one is out.
    let fresh = alive.values().find(|member| {
        !parts.voters.contains(&member.id)
            && !parts.learners.contains(&member.id)
            && !taken.contains(member.name.as_str())
            && stays(&member.id)
    });
    if let Some(member) = fresh {
        return Some(Change::Learn(member.clone()));
    }
    let votes: Vec<u64> = parts.voters.iter().copied().filter(stays).collect();
    let able = all().filter(|id| stays(id)).count();
    let wanted = wanted(able);
    let zone = |id: &u64| members.get(id).map_or("", |member| member.zone.as_str());
    let in_zone = |at: &str| votes.iter().filter(|id| zone(id) == at).count();
    if votes.len() < wanted {
        // The zone with the fewest votes first, then by name: every leader would choose the same.
        let name = |id: &u64| members.get(id).map_or("", |member| member.name.as_str());
        let next = parts
            .learners
            .iter()
            .filter(|id| stays(id) && (view.caught)(**id));
        let next = next.min_by_key(|id| (in_zone(zone(id)), name(id)));
        let with = |next: u64| view.can_go_on(parts.voters.iter().copied().chain([next]));
        if let Some(next) = next.filter(|next| with(**next)) {
            return Some(Change::Vote(*next));
        }
    }
    // One that ends and still answers helps to give its own vote to another, so it goes after that.
    if let Some(leaving) =
        all().find(|id| **id != me && liveness(**id) == Liveness::Leaves && without(**id))
    {
        return Some(Change::Remove(*leaving));
    }
    if votes.len() > wanted && votes.len() == parts.voters.len() {
        let extra = votes.iter().filter(|id| **id != me && without(**id));
        return extra
            .max_by_key(|id| (in_zone(zone(id)), **id))
            .map(|id| Change::Unvote(*id));
    }
    // A zone without a vote gets one from the zone that has the most, once there is one to spare.
    if votes.len() == parts.voters.len() && wanted > 1 {
        let missing = parts
            .learners
            .iter()
            .filter(|id| stays(id))
            .find(|id| in_zone(zone(id)) == 0)?;
        let crowded = votes
            .iter()
            .filter(|id| **id != me)
            .max_by_key(|id| (in_zone(zone(id)), **id))?;
        if in_zone(zone(crowded)) > 1 && !zone(missing).is_empty() && without(*crowded) {
            return Some(Change::Unvote(*crowded));
        }
    }
    None
}
