//! The servers that may be ranked, as one dense array of hashes. A decision scores all of them, at about one nanosecond
//! per server, and sorts only as many as it requests.

use crate::state::server_table::ServerSlot;
use std::collections::HashMap;

/// Number of hashes that are scored and compared at a time, without branches in between.
const BLOCK_LENGTH: usize = 16;

/// A server with its hash.
#[derive(Clone, Copy)]
pub(crate) struct IndexedServer {
    pub(crate) hash: u32,
    pub(crate) slot: ServerSlot,
}

/// A server with its score for one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RankedServer {
    pub(crate) score: u32,
    pub(crate) slot: ServerSlot,
}

impl RankedServer {
    /// Returns true if the server ranks above the other. `precedes` orders servers with equal scores.
    pub(crate) fn is_above(
        self,
        other: RankedServer,
        precedes: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) -> bool {
        self.score > other.score || (self.score == other.score && precedes(self.slot, other.slot))
    }
}

/// The `count` servers with the highest scores so far, best first.
struct TopRanked {
    count: usize,
    servers: Vec<RankedServer>,
}

impl TopRanked {
    fn offer(
        &mut self,
        server: RankedServer,
        accepts: impl Fn(ServerSlot) -> bool,
        precedes: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) {
        let last = if self.is_full() {
            self.servers.last().copied()
        } else {
            None
        };
        let is_among_top = last.is_none_or(|last| server.is_above(last, &precedes));
        if self.count > 0 && is_among_top && accepts(server.slot) {
            let position = self
                .servers
                .partition_point(|other| other.is_above(server, &precedes));
            self.servers.insert(position, server);
            self.servers.truncate(self.count);
        }
    }

    /// The lowest score with which a server may still be among the top.
    fn min_score(&self) -> u32 {
        if self.is_full() {
            self.servers.last().map_or(u32::MAX, |last| last.score)
        } else {
            0
        }
    }

    fn is_full(&self) -> bool {
        self.servers.len() >= self.count
    }
}

/// The servers with their hashes, in no particular order, and the position of each.
#[derive(Default)]
pub(crate) struct RankingIndex {
    hashes: Vec<u32>,
    slots: Vec<ServerSlot>,
    positions: HashMap<ServerSlot, u32>,
}

impl RankingIndex {
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds a server that is not in the index. The order of additions does not affect rankings.
    pub(crate) fn add(&mut self, hash: u32, slot: ServerSlot) {
        self.positions.insert(slot, self.slots.len() as u32);
        self.hashes.push(hash);
        self.slots.push(slot);
    }

    /// Removes a server in constant time, if it is in the index.
    pub(crate) fn remove(&mut self, slot: ServerSlot) {
        let Some(position) = self.positions.remove(&slot) else {
            return;
        };
        self.hashes.swap_remove(position as usize);
        self.slots.swap_remove(position as usize);
        if let Some(moved) = self.slots.get(position as usize) {
            self.positions.insert(*moved, position);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = IndexedServer> + '_ {
        self.hashes
            .iter()
            .zip(&self.slots)
            .map(|(hash, slot)| IndexedServer {
                hash: *hash,
                slot: *slot,
            })
    }

    /// The servers with the `count` highest scores among those for which `accepts` returns true, best first. `precedes`
    /// orders servers with equal scores. `others` are servers that are not in the index. `accepts` is called only for
    /// servers whose score may be among the highest.
    pub(crate) fn best(
        &self,
        count: usize,
        score: impl Fn(u32) -> u32,
        others: impl Iterator<Item = IndexedServer>,
        accepts: impl Fn(ServerSlot) -> bool,
        precedes: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) -> Vec<RankedServer> {
        let mut top = TopRanked {
            count,
            servers: Vec::with_capacity(count.min(self.len()) + 2),
        };
        let mut min_score = 0;
        let blocks = self.hashes.chunks(BLOCK_LENGTH);
        for (hashes, slots) in blocks.zip(self.slots.chunks(BLOCK_LENGTH)) {
            let highest = hashes.iter().map(|hash| score(*hash)).max().unwrap_or(0);
            if highest < min_score {
                continue;
            }
            for (hash, slot) in hashes.iter().zip(slots) {
                let score = score(*hash);
                if score >= min_score {
                    top.offer(RankedServer { score, slot: *slot }, &accepts, &precedes);
                    min_score = top.min_score();
                }
            }
        }
        for other in others {
            let score = score(other.hash);
            let slot = other.slot;
            top.offer(RankedServer { score, slot }, &accepts, &precedes);
        }
        top.servers
    }
}

#[cfg(test)]
mod tests;
