//! Groups in slow start: which of the servers in slow start takes a request of a group.
//!
//! A server in slow start bears few requests from all nodes together, and no node sees how many of a group come to the others.
//! Placed by the group's key alone, all of a large group would come to the server in slow start that ranks first for it. So a
//! group is spread over the first such servers of its ranking, as many as its expected part of the requests fills. They are
//! the first ones of the same ranking at all nodes: each server that holds any connection of a group does the group's shared
//! work once more.

use crate::balancer::Balancer;
use crate::hashing::{murmur, rank_score, unit_interval};
use crate::limits::slow_start_wave::SlowStartAdmission;
use crate::policy::admission::{is_unavailable, AdmissionContext, FairLoad};
use crate::policy::selection::Selection;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::Timestamp;

/// A group is spread over this many times the servers in slow start that its part of the requests would fill.
const SPREAD_FACTOR: f64 = 3.0;
/// The seed for the rank of a connection within its group, drawn apart from whether a server accepts the connection's key.
const SPREAD_SEED: u32 = 310_571;

impl Balancer {
    /// The server in slow start that takes a request for which such servers come first.
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

    /// The server that a request is sent to where this one was selected. Whether it goes to a server in slow start stays as it
    /// was; which one, the spread of its group decides.
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
            // All servers are ejected, which is ignored then.
            self.ranked_in_slow_start(now, request, |server| {
                self.accepts_key_in_slow_start(now, request, server, &context)
            })
        } else {
            self.admitted_in_slow_start(now, request, &context, FairLoad::Required)
                .or_else(|| self.admitted_in_slow_start(now, request, &context, FairLoad::Ignored))
        };
        slot.map_or(selection, Selection::within_limit)
    }

    /// The server in slow start that takes the request, of those that admit it.
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

    /// The server at the request's rank among those in slow start that `accepts` leaves. Where they are fewer, their ranks are
    /// counted over again.
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

    /// The rank, from 0 on, of the server in slow start that a request of a group goes to: drawn by the connection's own key
    /// among as many as the group is spread over. A node that has seen few requests cannot tell a small group from a large one.
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
