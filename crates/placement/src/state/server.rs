//! A node's connections to one server and its state.

use crate::limits::concurrency_limit::ConcurrencyLimit;
use crate::recovery::ejection::Ejection;
use crate::state::elapsed::is_longer_ago;
use crate::{Endpoint, Health, RequestId, Settings, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Minimum reported utilization for an estimate of the connections at capacity.
const MIN_UTILIZATION_FOR_ESTIMATE: f64 = 0.1;
/// Minimum number of connections for an estimate of the connections at capacity.
const MIN_CONNECTIONS_FOR_ESTIMATE: usize = 2;
/// Weight of servers for which the endpoint list contains none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A server's load report.
#[derive(Clone, Copy)]
pub(crate) struct UtilizationReport {
    pub(crate) received_at: Timestamp,
    /// Load over capacity, of all nodes together.
    pub(crate) utilization: f64,
    /// This node's connections to the server when the report arrived.
    pub(crate) connections: usize,
    /// Net load that this node has added since.
    pub(crate) load_since: f64,
}

/// The last health check of a server.
#[derive(Clone, Copy)]
pub(crate) struct HealthCheck {
    pub(crate) sent_at: Timestamp,
    /// Whether the check is still unanswered.
    pub(crate) is_pending: bool,
}

/// Limits on what a server receives while it warms up.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Whether the server is in slow start, as of the last upkeep or endpoint list.
    pub(crate) is_active: bool,
    /// The fraction of keys that the server accepts: about the same keys at every node.
    pub(crate) key_ratio: f64,
    /// Attempts that may be started.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Timestamp,
}

impl SlowStart {
    /// Returns true if the server's own budget allows an attempt.
    pub(crate) fn has_token(&self) -> bool {
        !(self.is_active && self.tokens < 1.0)
    }
}

/// Records which indexes of the fleet contain a server.
#[derive(Default)]
pub(crate) struct IndexMembership {
    pub(crate) is_ranked: bool,
    pub(crate) needs_upkeep: bool,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) hash: u32,
    pub(crate) indexes: IndexMembership,
    pub(crate) health: Health,
    pub(crate) weight: f64,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) machine_kind: u32,
    /// When it last started: reported by the endpoint list, or inferred from its recovery after a crash.
    pub(crate) started_at: Option<Timestamp>,
    /// When this node learned that the server is draining or removed.
    pub(crate) draining_since: Timestamp,
    /// This node's connections to the server: established ones and attempts in progress.
    pub(crate) connections: BTreeSet<RequestId>,
    /// Load of these connections, in units of work per second.
    pub(crate) load: f64,
    /// The number of connections of each group.
    pub(crate) group_connections: HashMap<u32, u32>,
    pub(crate) limit: ConcurrencyLimit,
    /// When an established connection to it last broke.
    pub(crate) connection_dropped_at: Option<Timestamp>,
    pub(crate) report: Option<UtilizationReport>,
    /// When a node last reported slow messages at the server.
    pub(crate) slow_hint_at: Option<Timestamp>,
    pub(crate) health_check: Option<HealthCheck>,
    pub(crate) ejection: Ejection,
    /// Whether its established connections broke together or it refused connections: it probably restarted and will be
    /// warming up when it accepts connections again.
    pub(crate) restart_suspected: bool,
    pub(crate) slow_start: SlowStart,
    /// The fraction of lost servers' keys that it accepts while many servers are lost.
    pub(crate) redistribution_ratio: f64,
}

impl Server {
    /// Creates a server that the endpoint list does not contain yet.
    pub(crate) fn new(hash: u32, now: Timestamp) -> Server {
        Server {
            hash,
            health: Health::Removed,
            draining_since: now,
            ..Server::default()
        }
    }

    /// Returns true if the server started within the slow-start duration.
    pub(crate) fn is_in_slow_start(&self, settings: &Settings, now: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| now < started.saturating_add(settings.slow_start_duration))
    }

    /// The lower bound of the server's present capacity, as a fraction of its full capacity.
    pub(crate) fn capacity_ratio(&self, settings: &Settings, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let elapsed = now.saturating_duration_since(started_at).as_secs_f64();
        let progress = elapsed / settings.slow_start_duration.as_secs_f64().max(1e-9);
        let initial_ratio = settings.initial_capacity_ratio;
        (initial_ratio + (1.0 - initial_ratio) * progress).min(1.0)
    }

    /// Returns true if the request would add no group overhead to the server: the server already has a connection of
    /// the group, or there is no group.
    pub(crate) fn serves_group(&self, group: Option<u32>) -> bool {
        group.is_none_or(|group| self.group_connections.contains_key(&group))
    }

    /// Returns true if the server may accept one more connection beyond its limit: it has not been overloaded for
    /// `min_overload_age`, so the limit may be out of date, and the limit was not raised within `raise_interval`. The
    /// caller admits only connections of groups that the server already serves: otherwise a fleet that rejects
    /// requests would fill up with group overhead, as every server would add one group after another.
    pub(crate) fn may_exceed_limit(
        &self,
        now: Timestamp,
        min_overload_age: Duration,
        raise_interval: Duration,
    ) -> bool {
        self.ejection.until.is_none()
            && is_longer_ago(now, self.limit.overloaded_at, min_overload_age)
            && is_longer_ago(now, self.limit.raised_at, raise_interval)
    }

    /// The last report, if it is younger than `max_age`.
    pub(crate) fn recent_report(
        &self,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<UtilizationReport> {
        self.report
            .filter(|report| now.saturating_duration_since(report.received_at) < max_age)
    }

    /// The number of this node's connections that would use the server's present capacity, if its report is younger
    /// than `max_age`. Assumes that the other nodes have as many connections to the server as this one. The reported
    /// utilization includes the overhead of groups, so the estimate errs on the low side.
    pub(crate) fn connections_at_capacity(&self, now: Timestamp, max_age: Duration) -> Option<f64> {
        let report = self.recent_report(now, max_age)?;
        let is_significant = report.utilization >= MIN_UTILIZATION_FOR_ESTIMATE
            && report.connections >= MIN_CONNECTIONS_FOR_ESTIMATE;
        is_significant.then(|| report.connections as f64 / report.utilization)
    }

    /// Applies an entry of the endpoint list. A later start under the same id means a new process.
    pub(crate) fn apply_endpoint(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        entry: &Endpoint,
    ) -> EndpointEffect {
        let has_returned = self.health == Health::Removed && entry.health == Health::Ready;
        let is_new_process = entry.started_at > self.started_at || has_returned;
        if is_new_process {
            self.reset_for_new_process(settings, now, entry.started_at);
        }
        let lost_weight = self.set_health(now, entry.health);
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.machine_kind = entry.machine_kind;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
        let was_warming_up = self.slow_start.is_active;
        self.slow_start.is_active = self.is_in_slow_start(settings, now);
        EndpointEffect {
            lost_weight,
            begins_slow_start: self.slow_start.is_active && (is_new_process || !was_warming_up),
        }
    }

    /// Drops the evidence against the previous process. The new one warms up.
    fn reset_for_new_process(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        started_at: Option<Timestamp>,
    ) {
        self.started_at = started_at.or(self.started_at);
        self.ejection.reset_for_new_process();
        self.restart_suspected = false;
        self.limit.remove();
        self.report = None;
        self.slow_start.tokens = 1.0;
        self.slow_start.refilled_at = now;
        self.slow_start.key_ratio = settings.initial_capacity_ratio;
    }

    /// Sets the health reported by the endpoint list. Returns the server's weight if it is lost, that is, removed
    /// without draining first; otherwise zero.
    pub(crate) fn set_health(&mut self, now: Timestamp, health: Health) -> f64 {
        let was_ready = self.health == Health::Ready;
        if was_ready && health != Health::Ready {
            self.draining_since = now;
        }
        self.health = health;
        if was_ready && health == Health::Removed {
            self.weight
        } else {
            0.0
        }
    }

    /// Records that a connection was established. If a restart is suspected, slow start begins: the endpoint list may
    /// report the new process only seconds later.
    pub(crate) fn record_success(&mut self, settings: &Settings, now: Timestamp) {
        self.ejection.record_success();
        if self.restart_suspected {
            self.restart_suspected = false;
            self.started_at = self.started_at.max(Some(now));
            self.report = None;
            self.slow_start.tokens = 0.0;
            self.slow_start.refilled_at = now;
            self.slow_start.is_active = self.is_in_slow_start(settings, now);
        }
    }

    /// Accounts for a connection. The first one of a group adds `group_overhead`.
    pub(crate) fn add_connection(
        &mut self,
        id: RequestId,
        load: f64,
        group: Option<u32>,
        group_overhead: f64,
    ) {
        self.connections.insert(id);
        self.load += load;
        if let Some(report) = &mut self.report {
            report.load_since += load;
        }
        if let Some(group) = group {
            let count = self.group_connections.entry(group).or_default();
            *count += 1;
            if *count == 1 {
                self.load += group_overhead;
            }
        }
    }

    /// Undoes [`Server::add_connection`]. The last one of a group removes `group_overhead`.
    pub(crate) fn remove_connection(
        &mut self,
        id: RequestId,
        load: f64,
        group: Option<u32>,
        group_overhead: f64,
    ) {
        if !self.connections.remove(&id) {
            return;
        }
        self.load -= load;
        if let Some(report) = &mut self.report {
            report.load_since -= load; // otherwise closed connections would count toward the server's utilization
        }
        if let Some(group) = group {
            self.remove_from_group(group, group_overhead);
        }
        self.load = if self.connections.is_empty() {
            0.0
        } else {
            self.load.max(0.0)
        };
    }

    fn remove_from_group(&mut self, group: u32, group_overhead: f64) {
        let count = self.group_connections.entry(group).or_insert(1);
        *count -= 1;
        if *count == 0 {
            self.group_connections.remove(&group);
            self.load -= group_overhead;
        }
    }
}

/// Effects of an endpoint list entry beyond the server itself.
pub(crate) struct EndpointEffect {
    /// Weight of the server if it was removed without draining first.
    pub(crate) lost_weight: f64,
    pub(crate) begins_slow_start: bool,
}

#[cfg(test)]
mod tests;
