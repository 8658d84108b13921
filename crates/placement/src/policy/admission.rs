//! Whether a server takes a connection now.

use crate::balancer::Balancer;
use crate::limits::health_checks::REPORT_FRESH;
use crate::limits::overload::{CALM, FULL};
use crate::policy::queue::QUEUE_TICK;
use crate::recovery::gossip::HEARD;
use crate::recovery::key_redistribution;
use crate::state::fleet::Server;
use crate::state::request::{server_holds_group, RequestState};
use crate::Timestamp;

/// A server may hold this multiple of its fair part of this gateway's load before the gate turns new groups
/// away.
const HEADROOM: f64 = 1.25;
/// A group that a server does not hold yet finds it full at this part of its cap, or at a utilisation lower
/// by this: what is left is for the groups that are there.
const NEW_GROUP_CAP: f64 = 0.75;
const NEW_GROUP_FULL: f64 = 0.2;
const OVER_SHARE_CAP: f64 = 0.8; // a tenant over its share finds servers full at this part of their cap
const HELD_GROUP: f64 = 1.25; // a group that is there is let in up to this multiple of what a new one is

/// What the gate compares a server with.
pub(crate) struct AdmissionContext {
    pub(crate) fair: f64,
    pub(crate) add: f64,
    pub(crate) group_cost: f64,
    pub(crate) over_share: bool,
    /// Utilisation that one unit of this gateway's load stands for, all gateways together.
    pub(crate) used_per_load: f64,
}

impl Balancer {
    /// Whether a ready server takes this connection now. `firm` leaves out the comparison with other servers.
    pub(crate) fn admits(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        view: &AdmissionContext,
        firm: bool,
    ) -> bool {
        if server
            .ejected_until
            .is_some_and(|until| now < until || server.half_open)
        {
            return false;
        }
        if server.zone_unreachable {
            return false; // a probe tells when its zone is within reach
        }
        let silent = |at| {
            now.saturating_duration_since(at) >= QUEUE_TICK
                && now.saturating_duration_since(at) < REPORT_FRESH
        };
        if server
            .health_check
            .is_some_and(|(at, out)| out && silent(at))
        {
            return false; // it answers no probe in good time
        }
        // With no warm server the keys that it leaves would have nowhere to go: the budget alone decides.
        let others = self.fleet.totals.warm >= 1.0;
        if others
            && server.is_warming_up
            && !key_redistribution::accepts_key_part(
                server.hash,
                request.key,
                server.slow_start_ratio,
            )
        {
            return false;
        }
        if !request.is_mid_flow && !self.key_redistribution.accepts_key(server, request.key) {
            return false;
        }
        let held = server_holds_group(request, server);
        if !held
            && server
                .slow_hint_at
                .is_some_and(|at| now.saturating_duration_since(at) < HEARD * 3 / 2)
        {
            return false;
        }
        // Guards against servers that fill up with the shared work of many groups, a little of each.
        let (shared, cap_part, full, slack) = if held {
            (0.0, 1.0, FULL, HELD_GROUP)
        } else {
            (view.group_cost, NEW_GROUP_CAP, FULL - NEW_GROUP_FULL, 1.0)
        };
        let add = f64::midpoint(view.add, shared);
        let used = server
            .utilization
            .filter(|(at, _)| now.saturating_duration_since(*at) < CALM)
            .map_or(0.0, |(_, used)| used);
        // Others' load was counted when the report was made; what all added since is guessed from one's own.
        if used > 0.0 && used + (server.load_since_report + add) * view.used_per_load > full {
            return false;
        }
        let (after, cap) = (
            server.load + add,
            server.concurrency_limit
                * cap_part
                * if view.over_share { OVER_SHARE_CAP } else { 1.0 },
        );
        // Where others hold most of a group, the few connections seen here say little: room for one group's
        // shared work guards against every gateway splitting every group.
        let unseen = 1.0 - 1.0 / f64::from(self.settings.node_count.max(1));
        let part = view.fair * server.weight * server.capacity_ratio(&self.settings, now);
        let allowed = (part * HEADROOM + view.group_cost * unseen) * slack;
        after <= cap && (firm || server.connections.is_empty() || after <= allowed)
    }
}
