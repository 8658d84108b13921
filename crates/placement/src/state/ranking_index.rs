//! The servers that may be ranked, as one tight row of hashes: a decision looks at each of them, at a cost of about a
//! nanosecond a server, and puts in order only as many as it was asked for.

use crate::state::server_table::ServerSlot;
use std::collections::HashMap;

/// So many hashes are scored and compared at a time, without a branch between them.
const BLOCK: usize = 16;

/// Servers by place, each with its hash.
#[derive(Default)]
pub(crate) struct RankingIndex {
    hashes: Vec<u32>,
    slots: Vec<ServerSlot>,
    places: HashMap<ServerSlot, u32>,
}

impl RankingIndex {
    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds a server that is not there. The order of adding means nothing.
    pub(crate) fn add(&mut self, hash: u32, slot: ServerSlot) {
        self.places.insert(slot, self.slots.len() as u32);
        self.hashes.push(hash);
        self.slots.push(slot);
    }

    /// Removes a server, if it is there, without a walk.
    pub(crate) fn remove(&mut self, slot: ServerSlot) {
        let Some(place) = self.places.remove(&slot) else {
            return;
        };
        self.hashes.swap_remove(place as usize);
        self.slots.swap_remove(place as usize);
        if let Some(moved) = self.slots.get(place as usize) {
            self.places.insert(*moved, place);
        }
    }

    /// All of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, ServerSlot)> + '_ {
        self.hashes.iter().copied().zip(self.slots.iter().copied())
    }

    /// The `count` highest scores among those that `keeps` leaves, best first; `before` decides between equal ones.
    /// `also` are servers that are not in the row. What `keeps` costs is paid only for those that come near the top.
    pub(crate) fn best(
        &self,
        count: usize,
        score: impl Fn(u32) -> u32,
        also: impl Iterator<Item = (u32, ServerSlot)>,
        keeps: impl Fn(ServerSlot) -> bool,
        before: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) -> Vec<(u32, ServerSlot)> {
        let mut best: Vec<(u32, ServerSlot)> = Vec::with_capacity(count.min(self.len()) + 2);
        let mut offer = |score: u32, slot: ServerSlot| -> u32 {
            let least = best.last().filter(|_| best.len() >= count).copied();
            let ahead = |a: (u32, ServerSlot), b: (u32, ServerSlot)| {
                a.0 > b.0 || (a.0 == b.0 && before(a.1, b.1))
            };
            if count > 0 && least.is_none_or(|least| ahead((score, slot), least)) && keeps(slot) {
                let place = best.partition_point(|other| ahead(*other, (score, slot)));
                best.insert(place, (score, slot));
                best.truncate(count);
            }
            if best.len() < count {
                0
            } else {
                best.last().map_or(u32::MAX, |last| last.0)
            }
        };
        let mut least = 0;
        for (block, slots) in self.hashes.chunks(BLOCK).zip(self.slots.chunks(BLOCK)) {
            let top = block.iter().map(|hash| score(*hash)).max().unwrap_or(0);
            if top >= least {
                for (hash, slot) in block.iter().zip(slots) {
                    let score = score(*hash);
                    if score >= least {
                        least = offer(score, *slot);
                    }
                }
            }
        }
        for (hash, slot) in also {
            offer(score(hash), slot);
        }
        best
    }
}

/// The first server of each sort that a walk by falling scores meets. It starts at a given server and comes round to
/// the higher scores at its end. Servers may be shown in any order, so none has to be sorted.
pub(crate) struct CandidateScan<const SORTS: usize> {
    start: Option<(u32, ServerSlot)>,
    met: [Option<(bool, u32, ServerSlot)>; SORTS],
}

impl<const SORTS: usize> CandidateScan<SORTS> {
    /// A walk that starts at this server, or at the top score.
    pub(crate) fn from(start: Option<(u32, ServerSlot)>) -> Self {
        CandidateScan {
            start,
            met: [None; SORTS],
        }
    }

    /// Shows a server of a sort; `before` decides between equal scores.
    pub(crate) fn meet(
        &mut self,
        sort: usize,
        score: u32,
        slot: ServerSlot,
        before: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) {
        let ahead = |a: (u32, ServerSlot), b: (u32, ServerSlot)| {
            a.0 > b.0 || (a.0 == b.0 && before(a.1, b.1))
        };
        let round = self.start.is_some_and(|start| ahead((score, slot), start));
        let Some(place) = self.met.get_mut(sort) else {
            return;
        };
        let first = place.is_none_or(|(other_round, other, at)| {
            (!round && other_round) || (round == other_round && ahead((score, slot), (other, at)))
        });
        if first {
            *place = Some((round, score, slot));
        }
    }

    /// The first one met of a sort.
    pub(crate) fn first(&self, sort: usize) -> Option<ServerSlot> {
        self.met
            .get(sort)
            .copied()
            .flatten()
            .map(|(_, _, slot)| slot)
    }
}

#[cfg(test)]
mod tests;
