//! Shards of a group in slow start: a large group is divided, and each part is placed as if it were a group of its own.
//!
//! A server in slow start bears few requests from all nodes together, and no node sees how many of a group come to the others.
//! Placed by the group's key alone, all of a large group would come to the one such server that ranks first for it.

use crate::balancer::Balancer;
use crate::hashing::{murmur, rank_score, unit_interval};
use crate::state::request::RequestState;
use crate::state::server::Server;

/// Shards for each server in slow start that the group's part of the requests would fill.
const SHARDS_PER_FILLED_SERVER: f64 = 2.0;

/// The keys by which servers are ranked for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankingKeys {
    pub(crate) warm: u32,
    pub(crate) slow_start: u32,
}

impl RankingKeys {
    /// The same key for all servers.
    fn undivided(key: u32) -> RankingKeys {
        RankingKeys {
            warm: key,
            slow_start: key,
        }
    }

    /// Whether servers in slow start are ranked by another key than warm ones.
    pub(crate) fn is_divided(self) -> bool {
        self.warm != self.slow_start
    }

    pub(crate) fn key_for(self, server: &Server) -> u32 {
        if server.slow_start.is_active {
            self.slow_start
        } else {
            self.warm
        }
    }

    pub(crate) fn score(self, server: &Server) -> u32 {
        rank_score(server.hash, self.key_for(server))
    }
}

impl Balancer {
    /// The keys by which servers are ranked for the request. A connection in mid-flow is looked for by its group's own key.
    pub(crate) fn ranking_keys(&self, request: &RequestState) -> RankingKeys {
        let mut keys = RankingKeys::undivided(request.key);
        if request.is_first_mid_flow_attempt() {
            return keys;
        }
        if let Some(group) = request.group {
            let shards = self.slow_start_shards(group);
            let shard = (unit_interval(request.connection_key) * shards) as u32;
            keys.slow_start = shard_key(group, shard);
        }
        keys
    }

    /// Into how many shards the group is divided, at least 1: by its expected part of the requests, as a node that has seen few
    /// cannot tell a small group from a large one.
    fn slow_start_shards(&self, group: u32) -> f64 {
        let totals = &self.fleet.totals;
        let warming_servers = totals.ready - totals.warm;
        let filled_servers = self.group_frequency.expected_request_ratio(group) * warming_servers;
        (SHARDS_PER_FILLED_SERVER * filled_servers).max(1.0)
    }
}

/// The key of a shard; the first one has the group's own.
fn shard_key(group: u32, shard: u32) -> u32 {
    if shard == 0 {
        group
    } else {
        murmur(&shard.to_le_bytes(), group)
    }
}

#[cfg(test)]
mod tests;
