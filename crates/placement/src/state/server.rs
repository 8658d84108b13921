//! What a node holds on one server and has learned of it.

use crate::limits::concurrency_limit::ConcurrencyLimit;
use crate::recovery::ejection::Ejection;
use crate::state::elapsed::is_longer_ago;
use crate::{Endpoint, Health, RequestId, Settings, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A report tells how many connections fill a server from this utilization on.
const MIN_UTILIZATION_FOR_ESTIMATE: f64 = 0.1;
/// A report tells how many connections fill a server from so many connections on.
const MIN_CONNECTIONS_FOR_ESTIMATE: usize = 2;
/// Weight of servers for which none is listed.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A server's load report.
#[derive(Clone, Copy)]
pub(crate) struct UtilizationReport {
    pub(crate) received_at: Timestamp,
    /// Load over capacity, of all nodes together.
    pub(crate) utilization: f64,
    /// This node's connections there when the report came.
    pub(crate) connections: usize,
    /// Load that this node has added since.
    pub(crate) load_since: f64,
}

/// The last health check of a server.
#[derive(Clone, Copy)]
pub(crate) struct HealthCheck {
    pub(crate) sent_at: Timestamp,
    /// No answer has come yet.
    pub(crate) is_pending: bool,
}

/// What a server may be sent while it warms up.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// The server started lately, as of the last upkeep or endpoint list.
    pub(crate) is_active: bool,
    /// The part of the keys that it gets: about the same ones at every node.
    pub(crate) key_ratio: f64,
    /// Attempts that may be started.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Timestamp,
}

impl SlowStart {
    /// Whether an attempt may be started as far as this server's own budget tells.
    pub(crate) fn has_token(&self) -> bool {
        !(self.is_active && self.tokens < 1.0)
    }
}

/// The indexes of the fleet that a server is in.
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
    /// When it last started, as listed or as inferred from its return after a crash.
    pub(crate) started_at: Option<Timestamp>,
    /// When this node was told that it drains or is gone.
    pub(crate) draining_since: Timestamp,
    /// This node's connections there: established ones and attempts in progress.
    pub(crate) connections: BTreeSet<RequestId>,
    /// Load of those, in units of work a second.
    pub(crate) load: f64,
    /// The number of connections of each group.
    pub(crate) group_connections: HashMap<u32, u32>,
    pub(crate) limit: ConcurrencyLimit,
    /// When it last dropped an established connection.
    pub(crate) connection_dropped_at: Option<Timestamp>,
    pub(crate) report: Option<UtilizationReport>,
    /// When a node last told that messages take long there.
    pub(crate) slow_hint_at: Option<Timestamp>,
    pub(crate) health_check: Option<HealthCheck>,
    pub(crate) ejection: Ejection,
    /// Its established connections broke together or it refused connections: it will come back warming up.
    pub(crate) restart_suspected: bool,
    pub(crate) slow_start: SlowStart,
    /// The part of other servers' keys that it takes while many of those servers are lost.
    pub(crate) redistribution_ratio: f64,
}

impl Server {
    /// A server that has not been listed yet.
    pub(crate) fn new(hash: u32, now: Timestamp) -> Server {
        Server {
            hash,
            health: Health::Removed,
            draining_since: now,
            ..Server::default()
        }
    }

    /// Whether it started lately.
    pub(crate) fn is_in_slow_start(&self, settings: &Settings, now: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| now < started.saturating_add(settings.slow_start_duration))
    }

    /// The part of its full capacity that it has at the least.
    pub(crate) fn capacity_ratio(&self, settings: &Settings, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let elapsed = now.saturating_duration_since(started_at).as_secs_f64();
        let progress = elapsed / settings.slow_start_duration.as_secs_f64().max(1e-9);
        let initial_ratio = settings.initial_capacity_ratio;
        (initial_ratio + (1.0 - initial_ratio) * progress).min(1.0)
    }

    /// Whether it does the shared work of the group already, or there is none to do.
    pub(crate) fn serves_group(&self, group: Option<u32>) -> bool {
        group.is_none_or(|group| self.group_connections.contains_key(&group))
    }

    /// Whether it may take one more connection though it is full: it has not been overloaded for `calm_duration`, so its
    /// limit may be out of date, and the limit was not raised within `raise_interval`. Only connections of groups that it
    /// serves are admitted so: guards against a fleet that rejects requests and fills up with shared work, one more
    /// group at a time at every server.
    pub(crate) fn may_exceed_limit(
        &self,
        now: Timestamp,
        calm_duration: Duration,
        raise_interval: Duration,
    ) -> bool {
        self.ejection.until.is_none()
            && is_longer_ago(now, self.limit.overloaded_at, calm_duration)
            && is_longer_ago(now, self.limit.raised_at, raise_interval)
    }

    /// The report, if it is younger than `max_age`.
    pub(crate) fn recent_report(
        &self,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<UtilizationReport> {
        self.report
            .filter(|report| now.saturating_duration_since(report.received_at) < max_age)
    }

    /// The number of this node's connections that would fill the server as it is now, where its report is younger than
    /// `max_age`: other nodes are taken to hold there what this one does. The report includes the shared work of groups,
    /// so the estimate errs to fewer.
    pub(crate) fn connections_at_capacity(&self, now: Timestamp, max_age: Duration) -> Option<f64> {
        let report = self.recent_report(now, max_age)?;
        let is_significant = report.utilization >= MIN_UTILIZATION_FOR_ESTIMATE
            && report.connections >= MIN_CONNECTIONS_FOR_ESTIMATE;
        is_significant.then(|| report.connections as f64 / report.utilization)
    }

    /// Applies a listed entry. A new start under the old id is a new process.
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

    /// Evidence against the previous process is void, and the new one warms up.
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

    /// Changes its listed state. Gives its weight if it is lost: gone without having drained.
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

    /// A connection was established. The list may not tell for seconds that a process is a new one; it warms up all
    /// the same.
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

    /// Accounts for a connection; the first one of its group adds `group_overhead`.
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

    /// Undoes [`Server::add_connection`]; the last one of its group removes `group_overhead`.
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
            report.load_since -= load; // or the server would be full with what has long gone
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

/// What a listed entry changed beside the server itself.
pub(crate) struct EndpointEffect {
    /// Weight of a server that is gone without having drained.
    pub(crate) lost_weight: f64,
    pub(crate) begins_slow_start: bool,
}

#[cfg(test)]
mod tests;
