//! Slow start: limits the rate of attempts on recently started servers to one that fills them over their warm-up.

use crate::balancer::Balancer;
use crate::limits::concurrency_limit::OVERLOAD_MEMORY;
use crate::limits::slow_start_budget::{SlowStartUsage, SAVED_ATTEMPTS};
use crate::state::server::Server;
use crate::{ServerId, Settings, Timestamp};

/// Maximum rate of attempts on a server in slow start, as a fraction of the rate that overloads it.
const SAFE_RATE_RATIO: f64 = 2.0 / 3.0;
/// Upper bound of that rate, relative to the rate that fills a server over its warm-up.
const MAX_RATE_RATIO: f64 = 2.0;
/// Assumed capacity of a warm server, as a multiple of its connections: services run at about half of their capacity.
const SPARE_CAPACITY_RATIO: f64 = 1.75;
/// Minimum number of connections, from all nodes together, that a warm server is assumed to have: a node that has just
/// started has none.
pub(crate) const MIN_FLEET_CONNECTIONS: f64 = 15.0;
/// The budget is refilled with this multiple of the attempts due. Key ratios, which follow from the estimated demand,
/// keep all nodes together within the attempts due; the budget only bounds the error of the estimate at a single node.
const DEMAND_ERROR_FACTOR: f64 = 3.0;

/// The slow-start limits of one server, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// The fraction of the keys that the server accepts, 0 to 1.
    pub key_ratio: f64,
    /// Attempts that this node may start on the server.
    pub tokens: f64,
    /// Attempts that this node may start on all servers in slow start together.
    pub budget: f64,
}

/// The refill of all slow-start budgets in one upkeep.
pub(crate) struct SlowStartRefill {
    warm_servers: f64,
    warming_servers: f64,
    /// Requests per second at this node.
    demand: f64,
    warm_up_seconds: f64,
    overload_window_seconds: f64,
    /// Connections per second that fill a server of full capacity to the level of warm servers over its warm-up.
    fill_rate: f64,
    max_rate_ratio: f64,
    /// Attempts added to the budget of all servers together.
    total: f64,
}

impl SlowStartRefill {
    fn attempts_due(&self, settings: &Settings, now: Timestamp, server: &Server) -> f64 {
        let elapsed = now.saturating_duration_since(server.slow_start.refilled_at);
        let capacity_ratio = server.capacity_ratio(settings, now);
        let estimated_rate = self.fill_rate * capacity_ratio * SPARE_CAPACITY_RATIO;
        let connections = server.connections_at_capacity(now, OVERLOAD_MEMORY);
        let reported_rate = connections.unwrap_or(0.0) / self.warm_up_seconds;
        let rate = estimated_rate.max(reported_rate);
        elapsed.as_secs_f64() * self.max_rate_ratio * rate
    }

    /// The fraction of the keys that brings a server `rate` requests per second, if the warm servers accept all
    /// requests that servers in slow start do not.
    fn key_ratio(&self, rate: f64) -> f64 {
        let remaining_demand = self.demand - rate * self.warming_servers;
        if remaining_demand > 0.0 {
            rate * self.warm_servers / remaining_demand
        } else {
            1.0
        }
    }

    /// Refills the budget of one server. The attempts of other nodes are unknown, so this node starts no more than its
    /// share of the attempts due, or one per overload window if that is more.
    pub(crate) fn refill(&mut self, settings: &Settings, now: Timestamp, server: &mut Server) {
        let attempts_due = self.attempts_due(settings, now, server);
        let factor = if self.warm_servers >= 1.0 {
            DEMAND_ERROR_FACTOR
        } else {
            1.0
        };
        self.total += attempts_due * factor;
        let elapsed = now.saturating_duration_since(server.slow_start.refilled_at);
        let elapsed_seconds = elapsed.as_secs_f64();
        let rate_due = attempts_due / elapsed_seconds.max(1e-9);
        let token_rate = rate_due.max(1.0 / self.overload_window_seconds);
        let max_tokens = (token_rate * self.overload_window_seconds).max(1.0);
        let slow_start = &mut server.slow_start;
        slow_start.key_ratio = self.key_ratio(rate_due);
        slow_start.tokens = (slow_start.tokens + elapsed_seconds * token_rate).min(max_tokens);
        slow_start.refilled_at = now;
    }

    fn max_budget(&self) -> f64 {
        if self.total > 0.0 {
            (self.total * self.overload_window_seconds).max(1.0)
        } else {
            0.0
        }
    }
}

impl Balancer {
    /// Starts a refill with the totals as they are before any server is updated.
    pub(crate) fn begin_slow_start_refill(&mut self, now: Timestamp) -> SlowStartRefill {
        self.request_rate.decay();
        let settings = &self.settings;
        let totals = &self.fleet.totals;
        let saved = self
            .slow_start_budget
            .saved_per_node(now, settings.node_count);
        let warm_up_seconds = settings.slow_start_duration.as_secs_f64().max(1.0);
        let min_fill_rate = saved / SAVED_ATTEMPTS * MIN_FLEET_CONNECTIONS / warm_up_seconds;
        let fill_rate = totals.warm_connections / totals.warm.max(1.0) / warm_up_seconds;
        SlowStartRefill {
            warm_servers: totals.warm,
            warming_servers: totals.ready - totals.warm,
            demand: self.request_rate.per_second(),
            warm_up_seconds,
            overload_window_seconds: settings.overload_window.as_secs_f64().max(0.1),
            fill_rate: fill_rate.max(min_fill_rate),
            max_rate_ratio: (settings.overload_factor * SAFE_RATE_RATIO).min(MAX_RATE_RATIO),
            total: 0.0,
        }
    }

    pub(crate) fn end_slow_start_refill(&mut self, refill: &SlowStartRefill) {
        self.slow_start_budget
            .refill(refill.total, refill.max_budget());
    }

    /// Includes servers in slow start in the ranking if their common budget allows an attempt, else excludes them.
    pub(crate) fn refresh_slow_start(&mut self, now: Timestamp) {
        let is_open = self.slow_start_budget.allows_attempt(now);
        self.fleet.set_admits_slow_start(is_open);
    }

    /// The present slow-start limits of the server, or `None` if it is not in slow start.
    pub fn slow_start_status(&self, server: &ServerId) -> Option<SlowStartStatus> {
        let slot = self.fleet.servers.slot(server);
        let slow_start = &self.fleet.servers.get(slot)?.slow_start;
        slow_start.is_active.then(|| SlowStartStatus {
            key_ratio: slow_start.key_ratio,
            tokens: slow_start.tokens,
            budget: self.slow_start_budget.attempts(),
        })
    }

    /// This node's attempts on servers in slow start since the last call.
    pub fn take_slow_start_usage(&mut self) -> SlowStartUsage {
        self.slow_start_budget.take_usage()
    }
}
