//! Spreading of groups over servers in slow start.
//!
//! A server in slow start has capacity for few requests from all nodes together, and no node sees how many requests
//! of a group the other nodes receive. Placed by the group's key alone, all requests of a large group would go to the
//! server in slow start that ranks first for it. So a group is spread over the first such servers of its ranking;
//! their number depends on the group's expected fraction of the requests. All nodes use the first servers of the same
//! ranking, since the group's overhead arises anew on each server that holds any of its connections.

use crate::balancer::Balancer;
use crate::hashing::{murmur, rank_score, unit_interval};
use crate::limits::slow_start_wave::SlowStartAdmission;
use crate::policy::admission::{is_unavailable, AdmissionContext, FairLoad};
use crate::policy::selection::Selection;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::Timestamp;

/// A group is spread over this multiple of the number of servers in slow start that its requests would fill.
const SPREAD_FACTOR: f64 = 3.0;
/// The hash seed for a connection's rank within its group, so that the rank is independent of whether a server
/// accepts the connection's key.
const SPREAD_SEED: u32 = 310_571;

impl Balancer {
    /// Returns the server in slow start for a request that prefers such servers, if one admits it.
    pub(crate) fn preferred_in_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        context: &AdmissionContext,
    ) -> Option<ServerSlot> {
        if !matches!(context.slow_start, SlowStartAdmission::Preferred { .. }) {
            return None;
        }
        self.admitted_in_slow_start(now, request, context, FairLoad::Required)
    }

    /// For a request of a group, replaces a selected server in slow start by the one that the spread of its group
    /// assigns. Selections of other servers, and of servers that exceed their limit, stay unchanged.
    pub(crate) fn spread_over_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        context: &AdmissionContext,
        selection: Selection,
    ) -> Selection {
        let selected = self.fleet.servers.get(selection.slot);
        let Some(selected) = selected.filter(|server| server.slow_start.is_active) else {
            return selection;
        };
        if request.group.is_none() || selection.exceeds_limit {
            return selection;
        }
        let context = context.preferring_slow_start(self.max_wave_key_ratio(now));
        let slot = if is_unavailable(now, selected) {
            // An unavailable server is selected only if all servers are ejected; ejections are then ignored.
            self.ranked_in_slow_start(now, request, |server| {
                self.accepts_key_in_slow_start(now, request, server, &context)
            })
        } else {
            self.admitted_in_slow_start(now, request, &context, FairLoad::Required)
                .or_else(|| self.admitted_in_slow_start(now, request, &context, FairLoad::Ignored))
        };
        slot.map_or(selection, Selection::within_limit)
    }

    /// Returns the server at the request's rank among the servers in slow start that admit it.
    fn admitted_in_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        context: &AdmissionContext,
        fair_load: FairLoad,
    ) -> Option<ServerSlot> {
        self.ranked_in_slow_start(now, request, |server| {
            self.admits(now, request, server, context, fair_load)
        })
    }

    /// Returns the server at the request's rank among the servers in slow start for which `accepts` holds. The rank
    /// wraps around if there are fewer such servers.
    fn ranked_in_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        accepts: impl Fn(&Server) -> bool,
    ) -> Option<ServerSlot> {
        let is_candidate = |slot: ServerSlot| {
            self.fleet.servers.get(slot).is_some_and(|server| {
                server.slow_start.is_active
                    && self.is_allowed_by_retry_rules(now, request, slot)
                    && accepts(server)
            })
        };
        let rank = self.rank_in_slow_start(request);
        let ranked = self.fleet.ranking_index.best(
            rank + 1,
            |hash| rank_score(hash, request.key),
            std::iter::empty(),
            is_candidate,
            |a, b| self.precedes(a, b),
        );
        let rank = rank.checked_rem(ranked.len())?;
        ranked.get(rank).map(|ranked| ranked.slot)
    }

    /// Returns the rank, from 0, of the server in slow start for a request of a group. The connection's own key
    /// selects it among the servers that the group is spread over. Their number follows from the expected fraction of
    /// requests, as a node that has seen few requests cannot tell a small group from a large one.
    fn rank_in_slow_start(&self, request: &RequestState) -> usize {
        let Some(group) = request.group else {
            return 0;
        };
        let totals = &self.fleet.totals;
        let warming_servers = totals.ready - totals.warm;
        let filled_servers = self.group_frequency.expected_request_ratio(group) * warming_servers;
        let spread = (SPREAD_FACTOR * filled_servers).max(1.0);
        let position = unit_interval(murmur(&request.connection_key.to_le_bytes(), SPREAD_SEED));
        (position * spread) as usize
    }
}
