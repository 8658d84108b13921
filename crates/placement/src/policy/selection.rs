//! Server selection by rendezvous hashing: the highest-ranked server that admits the request.

use crate::balancer::Balancer;
use crate::hashing::{rank_score, unit_interval};
use crate::limits::concurrency_limit::OVERLOAD_MEMORY;
use crate::limits::slow_start_wave::SlowStartAdmission;
use crate::policy::admission::{AdmissionContext, FairLoad};
use crate::policy::candidates::Candidate;
use crate::state::candidate_scan::CandidateScan;
use crate::state::ranking_index::RankedServer;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::timer::UPKEEP_INTERVAL;
use crate::Timestamp;
use std::time::Duration;

/// Candidates that are ranked at first. More are seldom needed.
const FIRST_CANDIDATE_COUNT: usize = 4;
/// A server is assumed to be able to serve this multiple of its mean share of the requests; a larger group is split.
const GROUP_SPLIT_FACTOR: f64 = 2.0;
/// The fraction of keys that a machine kind declines, as a multiple of its excess overload rate.
const DECLINED_KEYS_PER_OVERLOAD: f64 = 3.0;
/// With this many nodes, each one may let a full server exceed its limit once per upkeep interval; with more nodes
/// the interval grows in proportion.
const NODES_PER_LIMIT_RAISE: f64 = 4.0;

/// The server selected for a request.
#[derive(Clone, Copy)]
pub(crate) struct Selection {
    pub(crate) slot: ServerSlot,
    /// The server is at its limit and accepts the connection anyway.
    pub(crate) exceeds_limit: bool,
}

impl Selection {
    pub(crate) fn within_limit(slot: ServerSlot) -> Selection {
        Selection {
            slot,
            exceeds_limit: false,
        }
    }

    fn beyond_limit(slot: ServerSlot) -> Selection {
        Selection {
            slot,
            exceeds_limit: true,
        }
    }
}

/// The preference among servers, best first.
#[derive(Clone, Copy)]
enum Tier {
    Admitted,
    /// The server admits the request, but its machine kind is overloaded more often than others.
    DeclinedByMachineKind,
    /// The server holds more than its fair share of the load.
    BeyondFairLoad,
    /// The server is at its concurrency limit, which may be out of date.
    BeyondLimit,
    /// Any server that accepts the key; used only if all servers are ejected.
    Any,
}

impl Tier {
    const COUNT: usize = 5;

    fn index(self) -> usize {
        self as usize
    }
}

impl Balancer {
    /// Selects a server for the request, if one accepts it.
    pub(crate) fn select_server(
        &self,
        now: Timestamp,
        request: &RequestState,
    ) -> Option<Selection> {
        let candidates = self.first_candidates(now, request);
        // A mid-flow connection can continue only on the server that holds it. That is the top-ranked one unless the
        // connection was not placed by rank.
        if request.is_first_mid_flow_attempt() {
            let current_server = candidates.first()?;
            return Some(Selection::within_limit(current_server.slot));
        }
        let context = self.admission_context(now, request);
        if let Some(slot) = self.preferred_in_slow_start(now, request, &context) {
            return Some(Selection::within_limit(slot));
        }
        let selection = self.select_by_ranking(now, request, &context, &candidates)?;
        Some(self.spread_over_slow_start(now, request, &context, selection))
    }

    /// Selects the first candidate that admits the request; if there is none, scans all servers.
    fn select_by_ranking(
        &self,
        now: Timestamp,
        request: &RequestState,
        context: &AdmissionContext,
        candidates: &[Candidate<'_>],
    ) -> Option<Selection> {
        let admitted = candidates.iter().find(|candidate| {
            self.is_accepted_by_machine_kind(request, candidate.server)
                && self.admits(now, request, candidate.server, context, FairLoad::Required)
        });
        if let Some(candidate) = admitted {
            return Some(Selection::within_limit(candidate.slot));
        }
        let start = candidates.first().map(|candidate| RankedServer {
            score: rank_score(candidate.server.hash, request.key),
            slot: candidate.slot,
        });
        self.scan_all_servers(now, request, context, start)
    }

    /// Returns the highest-ranked candidates. If the request's group would fill several servers, the ranking starts at
    /// one of these, chosen by the request's `split_position`.
    fn first_candidates(&self, now: Timestamp, request: &RequestState) -> Vec<Candidate<'_>> {
        let is_restricted = request.is_first_mid_flow_attempt()
            || !request.tried_servers.is_empty()
            || request.possible_execution.is_some();
        let server_count = if is_restricted {
            self.permitted_servers(now, request).count()
        } else {
            self.fleet.ranking_index.len()
        };
        let group_span = self.servers_for_group(request, server_count as f64);
        let start = (request.split_position * group_span) as usize;
        let start = start.min(server_count.saturating_sub(1));
        self.ranked_servers(now, request, start, start + FIRST_CANDIDATE_COUNT)
    }

    /// Estimates from recent requests how many servers the request's group fills. Guards against a group too large
    /// for one server: each node holds few of its connections, so all nodes would place it on the same server.
    fn servers_for_group(&self, request: &RequestState, server_count: f64) -> f64 {
        let Some(group) = request.group else {
            return 1.0;
        };
        let request_ratio = self.group_frequency.other_request_ratio(group);
        (request_ratio * server_count / GROUP_SPLIT_FACTOR).max(1.0)
    }

    /// Scans all servers for the first one of the best tier, used if none of the first candidates admits the request.
    fn scan_all_servers(
        &self,
        now: Timestamp,
        request: &RequestState,
        context: &AdmissionContext,
        start: Option<RankedServer>,
    ) -> Option<Selection> {
        let interval_ratio = f64::from(self.settings.node_count) / NODES_PER_LIMIT_RAISE;
        let raise_interval = UPKEEP_INTERVAL.mul_f64(interval_ratio);
        let mut scan = CandidateScan::<{ Tier::COUNT }>::starting_at(start);
        let mut all_are_ejected = true;
        for indexed in self.permitted_servers(now, request) {
            let Some(server) = self.fleet.servers.get(indexed.slot) else {
                continue;
            };
            all_are_ejected &= server.ejection.until.is_some();
            let ranked = RankedServer {
                score: rank_score(indexed.hash, request.key),
                slot: indexed.slot,
            };
            let tier = self.admission_tier(now, request, server, context, raise_interval);
            let accepts_key = self.accepts_key_in_slow_start(now, request, server, context);
            for tier in tier.into_iter().chain(accepts_key.then_some(Tier::Any)) {
                scan.offer(tier.index(), ranked, |a, b| self.precedes(a, b));
            }
        }
        best_selection(&scan, all_are_ejected)
    }

    fn admission_tier(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        context: &AdmissionContext,
        raise_interval: Duration,
    ) -> Option<Tier> {
        if self.admits(now, request, server, context, FairLoad::Required) {
            let is_accepted = self.is_accepted_by_machine_kind(request, server);
            return Some(if is_accepted {
                Tier::Admitted
            } else {
                Tier::DeclinedByMachineKind
            });
        }
        // Beyond its fair load, a server accepts only groups that it serves. A server below its fair load accepts any
        // group; otherwise a fleet with almost no load would count as full.
        let serves_group = server.serves_group(request.group);
        let has_room = server.load <= context.fair_load_per_weight * server.weight;
        let accepts_group = serves_group || has_room;
        if accepts_group && self.admits(now, request, server, context, FairLoad::Ignored) {
            return Some(Tier::BeyondFairLoad);
        }
        let is_refused_by_wave =
            server.slow_start.is_active && context.slow_start == SlowStartAdmission::Refused;
        let may_exceed_limit = serves_group
            && server.may_exceed_limit(now, OVERLOAD_MEMORY, raise_interval)
            && !is_refused_by_wave
            && self.key_redistribution.accepts_key(server, request.key);
        may_exceed_limit.then_some(Tier::BeyondLimit)
    }

    /// Returns false if the key is in the fraction that a server declines because its machine kind is overloaded more
    /// often than others. Every node declines about the same keys; groups that the server already serves are never
    /// declined. Guards against machine kinds with less capacity than listed, if a node holds too few connections to
    /// judge each server.
    fn is_accepted_by_machine_kind(&self, request: &RequestState, server: &Server) -> bool {
        let excess_rate = self.machine_kinds.excess_overload_rate(server.machine_kind);
        let connections_per_server =
            self.fleet.totals.connections / self.fleet.servers.len().max(1) as f64;
        let unseen_ratio = 1.0 / (1.0 + connections_per_server);
        let declined_ratio = DECLINED_KEYS_PER_OVERLOAD * excess_rate * unseen_ratio;
        let is_declined = unit_interval(server.hash ^ request.key.rotate_left(16)) < declined_ratio;
        !is_declined || (request.group.is_some() && server.serves_group(request.group))
    }
}

/// Returns the first server of the best tier that the scan found. Ejections are ignored only if all servers are
/// ejected: if any other server is merely at its limit, ejected ones are not used.
fn best_selection(
    scan: &CandidateScan<{ Tier::COUNT }>,
    all_are_ejected: bool,
) -> Option<Selection> {
    let preferred = [
        Tier::Admitted,
        Tier::DeclinedByMachineKind,
        Tier::BeyondFairLoad,
    ];
    let fallback = scan
        .first(Tier::Any.index())
        .filter(|_| all_are_ejected)
        .map(Selection::within_limit);
    preferred
        .into_iter()
        .find_map(|tier| scan.first(tier.index()))
        .map(Selection::within_limit)
        .or(fallback)
        .or_else(|| {
            scan.first(Tier::BeyondLimit.index())
                .map(Selection::beyond_limit)
        })
}
