//! Finds the first server of each tier in ranking order from servers offered in any order.

use crate::state::ranking_index::RankedServer;
use crate::state::server_table::ServerSlot;

/// A server offered to a scan.
#[derive(Clone, Copy)]
struct ScannedServer {
    /// Whether the server ranks above the start of the walk, which therefore reaches it only after wrapping around.
    is_wrapped: bool,
    server: RankedServer,
}

/// The first server of each tier in a walk in order of falling scores, which starts at a given server and wraps around
/// to the higher scores. Servers may be offered in any order, so they need not be sorted.
pub(crate) struct CandidateScan<const TIERS: usize> {
    start: Option<RankedServer>,
    first: [Option<ScannedServer>; TIERS],
}

impl<const TIERS: usize> CandidateScan<TIERS> {
    /// Creates a scan that starts at the given server, or at the highest score if there is none.
    pub(crate) fn starting_at(start: Option<RankedServer>) -> Self {
        CandidateScan {
            start,
            first: [None; TIERS],
        }
    }

    /// Offers a server of a tier. `precedes` orders servers with equal scores.
    pub(crate) fn offer(
        &mut self,
        tier: usize,
        server: RankedServer,
        precedes: impl Fn(ServerSlot, ServerSlot) -> bool,
    ) {
        let is_wrapped = self
            .start
            .is_some_and(|start| server.is_above(start, &precedes));
        let Some(first) = self.first.get_mut(tier) else {
            return;
        };
        let is_earlier = first.is_none_or(|first| {
            if is_wrapped == first.is_wrapped {
                server.is_above(first.server, &precedes)
            } else {
                first.is_wrapped
            }
        });
        if is_earlier {
            *first = Some(ScannedServer { is_wrapped, server });
        }
    }

    /// The first server of a tier.
    pub(crate) fn first(&self, tier: usize) -> Option<ServerSlot> {
        let first = self.first.get(tier).copied().flatten()?;
        Some(first.server.slot)
    }
}

#[cfg(test)]
mod tests;
