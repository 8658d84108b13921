//! The servers that a request may be sent to at all, and their ranking.

use crate::balancer::Balancer;
use crate::hashing::rank_score;
use crate::limits::group_shards::RankingKeys;
use crate::state::ranking_index::{IndexedServer, RankedServer};
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Health, Timestamp};

/// Connections in mid-flow may go to a draining server for this part of the drain grace.
const DRAIN_GRACE_RATIO: f64 = 0.8;

/// A server that may be chosen.
pub(crate) struct Candidate<'a> {
    pub(crate) slot: ServerSlot,
    pub(crate) server: &'a Server,
}

impl Balancer {
    /// The permitted servers with the `count` highest scores, best first, without the first `skipped` of them.
    pub(crate) fn ranked_servers(
        &self,
        now: Timestamp,
        request: &RequestState,
        keys: RankingKeys,
        skipped: usize,
        count: usize,
    ) -> Vec<Candidate<'_>> {
        let ranked = if keys.is_divided() {
            self.best_by_divided_keys(now, request, keys, count)
        } else {
            let is_allowed = |slot| self.is_allowed_by_retry_rules(now, request, slot);
            self.best_by_key(now, request, keys.warm, count, is_allowed)
        };
        ranked
            .into_iter()
            .skip(skipped)
            .filter_map(|ranked| {
                let server = self.fleet.servers.get(ranked.slot)?;
                Some(Candidate {
                    slot: ranked.slot,
                    server,
                })
            })
            .collect()
    }

    /// Servers in slow start are ranked by the key of the group's shard, all others by the group's.
    fn best_by_divided_keys(
        &self,
        now: Timestamp,
        request: &RequestState,
        keys: RankingKeys,
        count: usize,
    ) -> Vec<RankedServer> {
        let is_allowed = |slot, is_warming| {
            let server = self.fleet.servers.get(slot);
            server.is_some_and(|server| server.slow_start.is_active == is_warming)
                && self.is_allowed_by_retry_rules(now, request, slot)
        };
        let is_warm = |slot| is_allowed(slot, false);
        let is_warming = |slot| is_allowed(slot, true);
        let mut ranked = self.best_by_key(now, request, keys.warm, count, is_warm);
        ranked.extend(self.best_by_key(now, request, keys.slow_start, count, is_warming));
        ranked.sort_unstable_by(|a, b| {
            let by_id = || {
                self.fleet
                    .servers
                    .id(a.slot)
                    .cmp(&self.fleet.servers.id(b.slot))
            };
            b.score.cmp(&a.score).then_with(by_id)
        });
        ranked.truncate(count);
        ranked
    }

    fn best_by_key(
        &self,
        now: Timestamp,
        request: &RequestState,
        key: u32,
        count: usize,
        is_allowed: impl Fn(ServerSlot) -> bool,
    ) -> Vec<RankedServer> {
        self.fleet.ranking_index.best(
            count,
            |hash| rank_score(hash, key),
            self.draining_servers(now, request),
            is_allowed,
            |a, b| self.precedes(a, b),
        )
    }

    /// Which of two servers with the same score comes first: the one with the lower id.
    pub(crate) fn precedes(&self, a: ServerSlot, b: ServerSlot) -> bool {
        self.fleet.servers.id(a) < self.fleet.servers.id(b)
    }

    /// The servers that the request may be sent to: ready ones within their slow-start budget, and draining ones for a
    /// request in mid-flow, less those that the retry rules and earlier attempts exclude. Servers that drain or were
    /// removed are not in the ranking index at all (see `Fleet::update`); ejections are looked at in admission.
    pub(crate) fn permitted_servers<'a>(
        &'a self,
        now: Timestamp,
        request: &'a RequestState,
    ) -> impl Iterator<Item = IndexedServer> + 'a {
        self.fleet
            .ranking_index
            .iter()
            .chain(self.draining_servers(now, request))
            .filter(move |indexed| self.is_allowed_by_retry_rules(now, request, indexed.slot))
    }

    /// Draining servers that may still get a connection in mid-flow.
    fn draining_servers<'a>(
        &'a self,
        now: Timestamp,
        request: &RequestState,
    ) -> impl Iterator<Item = IndexedServer> + 'a {
        let grace = self.settings.drain_grace.mul_f64(DRAIN_GRACE_RATIO);
        let is_mid_flow = request.is_first_mid_flow_attempt();
        self.fleet
            .upkeep_slots
            .iter()
            .take_while(move |_| is_mid_flow)
            .filter_map(move |slot| {
                let server = self.fleet.servers.get(*slot)?;
                let elapsed = now.saturating_duration_since(server.draining_since);
                let takes_mid_flow = server.health == Health::Draining
                    && elapsed < grace
                    && server.slow_start.has_token();
                takes_mid_flow.then_some(IndexedServer {
                    hash: server.hash,
                    slot: *slot,
                })
            })
    }

    /// Whether the retry rules and earlier attempts allow this server. Most requests have no earlier attempt, and no
    /// server is looked up for those.
    pub(crate) fn is_allowed_by_retry_rules(
        &self,
        now: Timestamp,
        request: &RequestState,
        slot: ServerSlot,
    ) -> bool {
        if request.tried_servers.contains(&slot) {
            return false;
        }
        request.possible_execution.is_none()
            || self
                .fleet
                .servers
                .get(slot)
                .is_some_and(|server| request.may_retry_on(now, server))
    }
}
