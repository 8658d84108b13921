//! The servers that a request may be sent to at all, and their ranking.

use crate::balancer::Balancer;
use crate::hashing::rank_score;
use crate::state::ranking_index::IndexedServer;
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
        skipped: usize,
        count: usize,
    ) -> Vec<Candidate<'_>> {
        let ranked = self.fleet.ranking_index.best(
            count,
            |hash| rank_score(hash, request.key),
            self.draining_servers(now, request),
            |slot| self.is_allowed_by_retry_rules(now, request, slot),
            |a, b| self.precedes(a, b),
        );
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
