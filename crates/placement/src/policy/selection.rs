//! Server selection: the highest score that takes the request.

use crate::balancer::Balancer;
use crate::hashing::{rank_score, unit_interval};
use crate::limits::overload::CALM;
use crate::policy::admission::AdmissionContext;
use crate::recovery::upkeep::TICK;
use crate::state::fleet::Server;
use crate::state::load_accounting::GROUP_COST;
use crate::state::ranking_index::CandidateScan;
use crate::state::request::{server_holds_group, RequestState};
use crate::state::server_table::ServerSlot;
use crate::{Health, Timestamp};

const SPLIT: f64 = 2.0; // a large group is split by this many fair parts
const LIKELY_HELD: f64 = 5.0; // what a gateway may hold on each server when it cannot tell yet
const FIRST_RANKS: usize = 4; // servers put in order at first: more are seldom looked at
/// A kind of machine that is crowded in more of its seconds than the best kind leaves this multiple of the
/// difference of the keys to others; so many seconds like the mean are taken to have been seen before.
const KIND_LEAVES: f64 = 3.0;
const KIND_BEFORE: f64 = 20.0;

impl Balancer {
    /// The highest score that the gate lets the request have, and whether a full server gave way for it.
    pub(crate) fn select_server(
        &self,
        now: Timestamp,
        request: &RequestState,
    ) -> Option<(ServerSlot, bool)> {
        let first_try = request.is_mid_flow && request.attempt_count == 0;
        let all = if first_try
            || !request.tried_servers.is_empty()
            || request.possible_execution.is_some()
        {
            self.permitted_servers(now, request).count()
        } else {
            self.fleet.ranking_index.len()
        };
        // A group larger than a server starts its walk at as many servers as it needs.
        let start = (request.split_position * self.servers_for_group(request, all as f64)) as usize;
        let start = start.min(all.saturating_sub(1));
        let first = self.ranked_servers(now, request, start, start + FIRST_RANKS);
        // In mid-flow it goes on only at its holder, which is the top score unless an exception placed it.
        if first_try {
            return first.first().map(|(at, _)| (*at, false));
        }
        let sums = &self.fleet.totals;
        // A gateway that has just started holds next to nothing; its own load says little then.
        let load = f64::max(
            sums.reported_load,
            sums.reporting * LIKELY_HELD * self.mean_load(),
        );
        let view = AdmissionContext {
            fair: self.fair_unit(),
            add: self.load_of(request),
            group_cost: GROUP_COST * self.mean_load(),
            over_share: self.over_share(request),
            used_per_load: sums.utilization / load.max(1e-9),
        };
        let lets = |server: &Server, firm| self.admits(now, request, server, &view, firm);
        if let Some((at, _)) = first
            .iter()
            .find(|(_, server)| self.machine_kind_accepts(request, server) && lets(server, false))
        {
            return Some((*at, false));
        }
        // None of the first takes it: one look at all, for the first of each sort.
        let pace = TICK.mul_f64(f64::from(self.settings.node_count) / 4.0);
        // Beyond its fair share a server takes only groups that it holds; one that has less takes any, or a
        // fleet that holds next to nothing would be full with it.
        let less = |server: &Server| server.load <= view.fair * server.weight;
        let start = first
            .first()
            .map(|(at, server)| (rank_score(server.hash, request.key), *at));
        let (mut walk, mut barred) = (CandidateScan::<6>::from(start), true);
        for (hash, at) in self.permitted_servers(now, request) {
            let Some(server) = self.fleet.servers.get(at) else {
                continue;
            };
            barred &= server.ejected_until.is_some();
            let sort = match server_holds_group(request, server) {
                _ if lets(server, false) => {
                    usize::from(!self.machine_kind_accepts(request, server))
                }
                there if (there || less(server)) && lets(server, true) => 2,
                true if server.may_exceed_limit(now, CALM, pace)
                    && self.key_redistribution.accepts_key(server, request.key) =>
                {
                    4
                }
                _ => 5,
            };
            for sort in [sort, 3] {
                walk.meet(sort, rank_score(hash, request.key), at, |a, b| {
                    self.precedes(a, b)
                });
            }
        }
        // With every server barred the evidence is not believed; with any at its cap the rest are no way out.
        let any = walk.first(3).filter(|_| barred);
        let chosen = (0..3).find_map(|sort| walk.first(sort)).or(any);
        chosen
            .map(|at| (at, false))
            .or_else(|| walk.first(4).map(|at| (at, true)))
    }

    /// Which of two servers with the same score goes first: the one with the lower id.
    pub(crate) fn precedes(&self, a: ServerSlot, b: ServerSlot) -> bool {
        self.fleet.servers.id(a) < self.fleet.servers.id(b)
    }

    /// The `count` highest scores among the servers that nothing but the gate keeps the request from, best
    /// first and the first `skipped` left out. Ties go to the lower id.
    pub(crate) fn ranked_servers(
        &self,
        now: Timestamp,
        request: &RequestState,
        skipped: usize,
        count: usize,
    ) -> Vec<(ServerSlot, &Server)> {
        let score = |hash| rank_score(hash, request.key);
        let keeps = |at| self.is_permitted(now, request, at);
        let leaving = self.draining_servers(now, request);
        let best = self
            .fleet
            .ranking_index
            .best(count, score, leaving, keeps, |a, b| self.precedes(a, b));
        best.into_iter()
            .skip(skipped)
            .filter_map(|(_, at)| Some((at, self.fleet.servers.get(at)?)))
            .collect()
    }

    /// Whether the key is among those that a server of this kind takes: about the same ones at every gateway.
    /// Guards against kinds that can do less than listed, where a gateway holds too little to know each one.
    pub(crate) fn machine_kind_accepts(&self, request: &RequestState, server: &Server) -> bool {
        let all = self
            .kinds
            .values()
            .fold((1.0, 0.0), |sum, kind| (sum.0 + kind.0, sum.1 + kind.1));
        let rate =
            |kind: &(f64, f64)| (kind.1 + all.1 / all.0 * KIND_BEFORE) / (kind.0 + KIND_BEFORE);
        let least = self.kinds.values().map(rate).fold(1.0, f64::min);
        let more = (self.kinds.get(&server.machine_kind).map_or(0.0, rate) - least).max(0.0);
        let unseen =
            1.0 / (1.0 + self.fleet.totals.connections / self.fleet.servers.len().max(1) as f64);
        let left =
            unit_interval(server.hash ^ request.key.rotate_left(16)) < KIND_LEAVES * more * unseen;
        !left || (request.group.is_some() && server_holds_group(request, server))
    }

    /// How many servers the request's group fills, as far as those seen lately tell; the request itself is
    /// left out, so that a small group met once is not taken for a large one. Guards against a group heavier
    /// than a server that every gateway, holding few of it, puts on the same one.
    pub(crate) fn servers_for_group(&self, request: &RequestState, servers: f64) -> f64 {
        let Some(group) = request.group else {
            return 1.0;
        };
        let others = self
            .seen_groups
            .get(&group)
            .map_or(0.0, |seen| seen - 1.0)
            .max(0.0);
        (others / (self.seen - 1.0).max(1.0) * servers / SPLIT).max(1.0)
    }

    /// The servers, with their hashes, that the list, the four rules and earlier attempts leave to the
    /// request; no evidence can change these.
    pub(crate) fn permitted_servers<'a>(
        &'a self,
        now: Timestamp,
        request: &'a RequestState,
    ) -> impl Iterator<Item = (u32, ServerSlot)> + 'a {
        let all = self
            .fleet
            .ranking_index
            .iter()
            .chain(self.draining_servers(now, request));
        all.filter(move |(_, at)| self.is_permitted(now, request, *at))
    }

    /// Draining servers that may still get a connection in mid-flow.
    pub(crate) fn draining_servers<'a>(
        &'a self,
        now: Timestamp,
        request: &RequestState,
    ) -> impl Iterator<Item = (u32, ServerSlot)> + 'a {
        let grace = self.settings.drain_grace.mul_f64(0.8);
        let mid_flow = request.is_mid_flow && request.attempt_count == 0;
        self.fleet
            .upkeep_slots
            .iter()
            .take_while(move |_| mid_flow)
            .filter_map(move |at| {
                let drains = |server: &&Server| {
                    let in_grace = now.saturating_duration_since(server.draining_since) < grace;
                    server.health == Health::Draining
                        && in_grace
                        && !(server.is_warming_up && server.slow_start_tokens < 1.0)
                };
                self.fleet
                    .servers
                    .get(*at)
                    .filter(drains)
                    .map(|server| (server.hash, *at))
            })
    }

    /// Whether the rules and earlier attempts leave this server to the request.
    pub(crate) fn is_permitted(
        &self,
        now: Timestamp,
        request: &RequestState,
        at: ServerSlot,
    ) -> bool {
        // Most requests have no try behind them, and no server need be looked up for those.
        let inside = || {
            self.fleet
                .servers
                .get(at)
                .is_some_and(|server| request.may_retry_on(now, server))
        };
        !request.tried_servers.contains(&at) && (request.possible_execution.is_none() || inside())
    }
}
