//! Admission control: whether a server may take a connection now.

use crate::balancer::Balancer;
use crate::limits::concurrency_limit::{MAX_UTILIZATION, OVERLOAD_MEMORY};
use crate::limits::health_checks::REPORT_MAX_AGE;
use crate::limits::slow_start_wave::{wave_key_ratio, SlowStartAdmission};
use crate::recovery::gossip::AVOID_SLOW_DURATION;
use crate::recovery::key_fitting::accepts_key_ratio;
use crate::state::elapsed::happened_within;
use crate::state::load_accounting::GROUP_OVERHEAD_RATIO;
use crate::state::load_estimates::DEFAULT_CONNECTIONS_PER_SERVER;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::timer::QUEUE_INTERVAL;
use crate::Timestamp;

/// A server may hold this multiple of its fair part of this node's load.
const FAIR_LOAD_HEADROOM: f64 = 1.25;
/// Connections of a group that the server already serves are admitted up to this multiple of that.
const KNOWN_GROUP_HEADROOM: f64 = 1.25;
/// A group that the server does not serve yet may fill only this part of its concurrency limit.
const NEW_GROUP_LIMIT_RATIO: f64 = 0.75;
/// A group that the server does not serve yet leaves this much utilization to those that it serves.
const NEW_GROUP_UTILIZATION_RESERVE: f64 = 0.2;
/// A tenant over its quota may fill only this part of a server's concurrency limit.
const OVER_QUOTA_LIMIT_RATIO: f64 = 0.8;

/// Key ratios are divided by this at the least.
const MIN_KEY_RATIO: f64 = 1e-9;

/// Whether a server that holds more than its fair part of the load may be admitted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FairLoad {
    Required,
    Ignored,
}

/// What all servers are compared with when one request is placed.
#[derive(Clone, Copy)]
pub(crate) struct AdmissionContext {
    /// This node's load for each unit of server weight.
    pub(crate) fair_load_per_weight: f64,
    request_load: f64,
    /// Load that the first connection of a group causes on a server.
    group_overhead: f64,
    is_tenant_over_quota: bool,
    /// Utilization that one unit of this node's load stands for, with the load of all other nodes.
    utilization_per_load: f64,
    pub(crate) slow_start: SlowStartAdmission,
}

impl AdmissionContext {
    /// The same for a request that goes to a server in slow start in any case.
    pub(crate) fn preferring_slow_start(self, max_key_ratio: f64) -> AdmissionContext {
        AdmissionContext {
            slow_start: SlowStartAdmission::Preferred { max_key_ratio },
            ..self
        }
    }
}

/// How far a server may be filled, which depends on whether it serves the request's group already.
struct FillLevel {
    /// Load that the request adds beside its own.
    group_overhead: f64,
    limit_ratio: f64,
    max_utilization: f64,
    fair_load_ratio: f64,
}

impl FillLevel {
    /// Guards against servers that fill up with the shared work of many groups, a little of each.
    fn new(serves_group: bool, context: &AdmissionContext) -> FillLevel {
        if serves_group {
            FillLevel {
                group_overhead: 0.0,
                limit_ratio: 1.0,
                max_utilization: MAX_UTILIZATION,
                fair_load_ratio: KNOWN_GROUP_HEADROOM,
            }
        } else {
            FillLevel {
                group_overhead: context.group_overhead,
                limit_ratio: NEW_GROUP_LIMIT_RATIO,
                max_utilization: MAX_UTILIZATION - NEW_GROUP_UTILIZATION_RESERVE,
                fair_load_ratio: 1.0,
            }
        }
    }
}

impl Balancer {
    pub(crate) fn admission_context(
        &self,
        now: Timestamp,
        request: &RequestState,
    ) -> AdmissionContext {
        let totals = &self.fleet.totals;
        let mean_load = self.load_estimates.mean();
        // A node that has just started holds next to nothing, so its own load says little.
        let reported_load = f64::max(
            totals.reported_load,
            totals.reporting * DEFAULT_CONNECTIONS_PER_SERVER * mean_load,
        );
        AdmissionContext {
            fair_load_per_weight: self.fair_load_per_weight(),
            request_load: self.load_of(request),
            group_overhead: GROUP_OVERHEAD_RATIO * mean_load,
            is_tenant_over_quota: self.is_tenant_over_quota(request),
            utilization_per_load: totals.utilization / reported_load.max(1e-9),
            slow_start: self.slow_start_admission(now, request),
        }
    }

    /// Whether a ready server may take this connection now.
    pub(crate) fn admits(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        context: &AdmissionContext,
        fair_load: FairLoad,
    ) -> bool {
        if is_unavailable(now, server) || !self.accepts_key(now, request, server, context) {
            return false;
        }
        let serves_group = server.serves_group(request.group);
        if !serves_group && happened_within(now, server.slow_hint_at, AVOID_SLOW_DURATION) {
            return false;
        }
        let level = FillLevel::new(serves_group, context);
        let added_load = f64::midpoint(context.request_load, level.group_overhead);
        has_utilization_for(now, server, added_load, context, &level)
            && is_within_limit(server, added_load, context, &level)
            && (fair_load == FairLoad::Ignored
                || server.connections.is_empty()
                || self.is_within_fair_load(now, server, added_load, context, &level))
    }

    /// Whether the server takes the request's key: all do unless they are warming up or keys are redistributed.
    fn accepts_key(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        context: &AdmissionContext,
    ) -> bool {
        self.accepts_key_in_slow_start(now, request, server, context)
            && (request.is_mid_flow || self.key_redistribution.accepts_key(server, request.key))
    }

    /// Whether the key is in the part that a server in slow start takes; others take each. In a wave the connection's own key
    /// decides: a large group would come to the server as a whole or not at all. Where one in slow start is chosen in any
    /// case, its group is spread over those that take its key.
    pub(crate) fn accepts_key_in_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        context: &AdmissionContext,
    ) -> bool {
        // Without a warm server nobody would take the keys that are left: the budget alone decides.
        let has_warm_servers = self.fleet.totals.warm >= 1.0;
        if !has_warm_servers || !server.slow_start.is_active {
            return true;
        }
        let wave_ratio = || wave_key_ratio(&self.settings, now, server);
        let (key, part) = match context.slow_start {
            SlowStartAdmission::ByRequestKey => (request.key, server.slow_start.key_ratio),
            SlowStartAdmission::ByConnectionKey => (request.connection_key, wave_ratio()),
            SlowStartAdmission::Preferred { max_key_ratio } => {
                (request.key, wave_ratio() / max_key_ratio.max(MIN_KEY_RATIO))
            }
            SlowStartAdmission::Refused => return false,
        };
        accepts_key_ratio(server.hash, key, part)
    }

    fn is_within_fair_load(
        &self,
        now: Timestamp,
        server: &Server,
        added_load: f64,
        context: &AdmissionContext,
        level: &FillLevel,
    ) -> bool {
        // Where other nodes hold most of a group, the few connections seen here say little. Room for one group's
        // overhead guards against every node splitting every group.
        let unseen_ratio = 1.0 - 1.0 / f64::from(self.settings.node_count.max(1));
        let capacity_ratio = server.capacity_ratio(&self.settings, now);
        let fair_load = context.fair_load_per_weight * server.weight * capacity_ratio;
        let max_load = fair_load * FAIR_LOAD_HEADROOM + context.group_overhead * unseen_ratio;
        server.load + added_load <= max_load * level.fair_load_ratio
    }
}

/// Whether the server is ejected, out of reach, or late with the answer to a health check.
pub(crate) fn is_unavailable(now: Timestamp, server: &Server) -> bool {
    let is_unanswered = server.health_check.is_some_and(|check| {
        let elapsed = now.saturating_duration_since(check.sent_at);
        check.is_pending && elapsed >= QUEUE_INTERVAL && elapsed < REPORT_MAX_AGE
    });
    server.ejection.blocks(now) || server.ejection.is_zone_unreachable || is_unanswered
}

/// The report covers the load of all nodes; what they added since is estimated from what this one added.
fn has_utilization_for(
    now: Timestamp,
    server: &Server,
    added_load: f64,
    context: &AdmissionContext,
    level: &FillLevel,
) -> bool {
    let Some(report) = server.recent_report(now, OVERLOAD_MEMORY) else {
        return true;
    };
    let added_utilization = (report.load_since + added_load) * context.utilization_per_load;
    let is_exceeded =
        report.utilization > 0.0 && report.utilization + added_utilization > level.max_utilization;
    !is_exceeded
}

fn is_within_limit(
    server: &Server,
    added_load: f64,
    context: &AdmissionContext,
    level: &FillLevel,
) -> bool {
    let quota_ratio = if context.is_tenant_over_quota {
        OVER_QUOTA_LIMIT_RATIO
    } else {
        1.0
    };
    let max_load = server.limit.max_load * level.limit_ratio * quota_ratio;
    server.load + added_load <= max_load
}
