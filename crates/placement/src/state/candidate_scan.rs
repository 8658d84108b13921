//! A scan of servers in any order for the first one of each tier.

use crate::state::ranking_index::RankedServer;
use crate::state::server_table::ServerSlot;

/// A server that a scan was offered.
#[derive(Clone, Copy)]
struct ScannedServer {
    /// It ranks above the start, so the walk reaches it only after wrapping around.
    is_wrapped: bool,
    server: RankedServer,
}

/// The first server of each tier in a walk by falling scores. The walk starts at a given server and wraps around to the
/// higher scores at its end. Servers may be offered in any order, so none has to be sorted.
pub(crate) struct CandidateScan<const TIERS: usize> {
    start: Option<RankedServer>,
    first: [Option<ScannedServer>; TIERS],
}

impl<const TIERS: usize> CandidateScan<TIERS> {
    /// A scan that starts at this server, or at the top score.
    pub(crate) fn starting_at(start: Option<RankedServer>) -> Self {
        CandidateScan {
            start,
            first: [None; TIERS],
        }
    }

    /// Offers a server of a tier; `precedes` decides between equal scores.
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
