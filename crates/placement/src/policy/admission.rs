//! Admission control: the conditions for a server to accept a connection.

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

/// A server may hold this multiple of its fair share of this node's load.
const FAIR_LOAD_HEADROOM: f64 = 1.25;
/// Connections of a group that the server already serves are admitted up to this multiple of that bound.
const KNOWN_GROUP_HEADROOM: f64 = 1.25;
/// A group that the server does not serve yet may fill only this fraction of its concurrency limit.
const NEW_GROUP_LIMIT_RATIO: f64 = 0.75;
/// Utilization that is reserved for groups that the server already serves.
const NEW_GROUP_UTILIZATION_RESERVE: f64 = 0.2;
/// A tenant over its quota may fill only this fraction of a server's concurrency limit.
const OVER_QUOTA_LIMIT_RATIO: f64 = 0.8;

/// Lower bound of the divisor of key ratios.
const MIN_KEY_RATIO: f64 = 1e-9;

/// Whether a server must stay within its fair share of the load to be admitted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FairLoad {
    Required,
    Ignored,
}

/// The values that all servers are compared with when one request is placed.
#[derive(Clone, Copy)]
pub(crate) struct AdmissionContext {
    /// This node's load per unit of server weight.
    pub(crate) fair_load_per_weight: f64,
    request_load: f64,
    /// Load that the first connection of a group adds to a server.
    group_overhead: f64,
    is_tenant_over_quota: bool,
    /// Mean utilization, which all nodes together cause, per unit of this node's load.
    utilization_per_load: f64,
    pub(crate) slow_start: SlowStartAdmission,
}

impl AdmissionContext {
    /// Returns the same context with servers in slow start preferred. `max_key_ratio` is their largest key ratio.
    pub(crate) fn preferring_slow_start(self, max_key_ratio: f64) -> AdmissionContext {
        AdmissionContext {
            slow_start: SlowStartAdmission::Preferred { max_key_ratio },
            ..self
        }
    }
}

/// The limits up to which a server may be filled. They depend on whether it already serves the request's group.
struct FillLimits {
    /// Load that the request adds on top of its own.
    group_overhead: f64,
    limit_ratio: f64,
    max_utilization: f64,
    fair_load_ratio: f64,
}

impl FillLimits {
    /// Returns tighter limits for new groups. Guards against servers that fill up with the overhead of many groups
    /// while they hold few connections of each.
    fn new(serves_group: bool, context: &AdmissionContext) -> FillLimits {
        if serves_group {
            FillLimits {
                group_overhead: 0.0,
                limit_ratio: 1.0,
                max_utilization: MAX_UTILIZATION,
                fair_load_ratio: KNOWN_GROUP_HEADROOM,
            }
        } else {
            FillLimits {
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
        // A node that has just started holds almost no load. Divided by that load, the utilization per unit would be
        // far too high, so a minimum load per reporting server is assumed.
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

    /// Returns true if a ready server may accept this connection.
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
        let fill_limits = FillLimits::new(serves_group, context);
        let added_load = f64::midpoint(context.request_load, fill_limits.group_overhead);
        has_utilization_for(now, server, added_load, context, &fill_limits)
            && is_within_limit(server, added_load, context, &fill_limits)
            && (fair_load == FairLoad::Ignored
                || server.connections.is_empty()
                || self.is_within_fair_load(now, server, added_load, context, &fill_limits))
    }

    /// Returns true if the server accepts the request's key: every server does unless it is warming up or keys are
    /// redistributed.
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

    /// Returns true if the key is in the fraction that a server in slow start accepts; other servers accept every
    /// key. In a reconnect wave the connection's own key decides: if the group's key did, a large group would go to the
    /// server as a whole or not at all. For a request that prefers servers in slow start, the request's key decides,
    /// and its group is spread over the servers that accept the key.
    pub(crate) fn accepts_key_in_slow_start(
        &self,
        now: Timestamp,
        request: &RequestState,
        server: &Server,
        context: &AdmissionContext,
    ) -> bool {
        // Without a warm server, no server would accept the remaining keys, so the budget alone limits attempts.
        let has_warm_servers = self.fleet.totals.warm >= 1.0;
        if !has_warm_servers || !server.slow_start.is_active {
            return true;
        }
        let wave_ratio = || wave_key_ratio(&self.settings, now, server);
        let (key, ratio) = match context.slow_start {
            SlowStartAdmission::ByRequestKey => (request.key, server.slow_start.key_ratio),
            SlowStartAdmission::ByConnectionKey => (request.connection_key, wave_ratio()),
            SlowStartAdmission::Preferred { max_key_ratio } => {
                (request.key, wave_ratio() / max_key_ratio.max(MIN_KEY_RATIO))
            }
            SlowStartAdmission::Refused => return false,
        };
        accepts_key_ratio(server.hash, key, ratio)
    }

    fn is_within_fair_load(
        &self,
        now: Timestamp,
        server: &Server,
        added_load: f64,
        context: &AdmissionContext,
        fill_limits: &FillLimits,
    ) -> bool {
        // If other nodes hold most of a group, the few connections of this node tell little about its size. The
        // allowance for the overhead of one group keeps the nodes from all splitting every group.
        let unseen_ratio = 1.0 - 1.0 / f64::from(self.settings.node_count.max(1));
        let capacity_ratio = server.capacity_ratio(&self.settings, now);
        let fair_load = context.fair_load_per_weight * server.weight * capacity_ratio;
        let max_load = fair_load * FAIR_LOAD_HEADROOM + context.group_overhead * unseen_ratio;
        server.load + added_load <= max_load * fill_limits.fair_load_ratio
    }
}

/// Returns true if the server is ejected or unreachable, or its answer to a health check is overdue.
pub(crate) fn is_unavailable(now: Timestamp, server: &Server) -> bool {
    let is_unanswered = server.health_check.is_some_and(|check| {
        let elapsed = now.saturating_duration_since(check.sent_at);
        check.is_pending && elapsed >= QUEUE_INTERVAL && elapsed < REPORT_MAX_AGE
    });
    server.ejection.blocks(now) || server.ejection.is_zone_unreachable || is_unanswered
}

/// Returns true if the server's utilization leaves room for the added load. The report covers the load of all nodes;
/// the load added since then is estimated from the load that this node added.
fn has_utilization_for(
    now: Timestamp,
    server: &Server,
    added_load: f64,
    context: &AdmissionContext,
    fill_limits: &FillLimits,
) -> bool {
    let Some(report) = server.recent_report(now, OVERLOAD_MEMORY) else {
        return true;
    };
    let added_utilization = (report.load_since + added_load) * context.utilization_per_load;
    let is_exceeded = report.utilization > 0.0
        && report.utilization + added_utilization > fill_limits.max_utilization;
    !is_exceeded
}

fn is_within_limit(
    server: &Server,
    added_load: f64,
    context: &AdmissionContext,
    fill_limits: &FillLimits,
) -> bool {
    let quota_ratio = if context.is_tenant_over_quota {
        OVER_QUOTA_LIMIT_RATIO
    } else {
        1.0
    };
    let max_load = server.limit.max_load * fill_limits.limit_ratio * quota_ratio;
    server.load + added_load <= max_load
}
