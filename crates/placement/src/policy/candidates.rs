//! The permitted servers of a request, and their ranking.

use crate::balancer::Balancer;
use crate::hashing::rank_score;
use crate::state::ranking_index::IndexedServer;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Health, Timestamp};

/// Mid-flow connections may be sent to a draining server for this fraction of the drain grace.
const DRAIN_GRACE_RATIO: f64 = 0.8;

/// A server that may be selected.
pub(crate) struct Candidate<'a> {
    pub(crate) slot: ServerSlot,
    pub(crate) server: &'a Server,
}

impl Balancer {
    /// Returns the permitted servers with the `count` highest scores, best first, without the first `skipped` of
    /// them.
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

    /// Returns true if `a` comes before `b` among servers with the same score: the lower id comes first.
    pub(crate) fn precedes(&self, a: ServerSlot, b: ServerSlot) -> bool {
        self.fleet.servers.id(a) < self.fleet.servers.id(b)
    }

    /// Returns the servers that the request may be sent to: ready servers within their slow-start budget, and
    /// draining ones for a mid-flow request, except those that the retry rules and earlier attempts exclude. The
    /// ranking index contains no draining or removed servers (see `Fleet::update`); ejections are checked at
    /// admission.
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

    /// Returns the draining servers that may still receive a mid-flow connection.
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
                let accepts_mid_flow = server.health == Health::Draining
                    && elapsed < grace
                    && server.slow_start.has_token();
                accepts_mid_flow.then_some(IndexedServer {
                    hash: server.hash,
                    slot: *slot,
                })
            })
    }

    /// Returns true if the retry rules and earlier attempts allow this server. Most requests have no earlier attempt,
    /// and for those no server is looked up.
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
