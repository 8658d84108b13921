//! Slow start: servers that started lately are sent no more than would fill them over their warm-up.

use crate::balancer::Balancer;
use crate::limits::concurrency_limit::OVERLOAD_MEMORY;
use crate::limits::slow_start_budget::{SlowStartUsage, SAVED_ATTEMPTS};
use crate::state::server::Server;
use crate::{ServerId, Settings, Timestamp};

/// Part of the rate that overloads a warming server at which it may be sent attempts.
const SAFE_RATE_RATIO: f64 = 2.0 / 3.0;
/// Bound of that rate, relative to the one that fills a server over its warm-up.
const MAX_RATE_RATIO: f64 = 2.0;
/// A warm server is taken to hold one such part of what it could: services are run at half of it or so.
const SPARE_CAPACITY_RATIO: f64 = 1.75;
/// Connections that a warm server is taken to hold in any case, of all nodes together: a node that has just started
/// holds none.
pub(crate) const MIN_FLEET_CONNECTIONS: f64 = 15.0;
/// The budget refills with this multiple of what is due. It only bounds what the estimate of the demand, which keeps to
/// the budget over all nodes, may get wrong at one of them.
const DEMAND_ERROR_FACTOR: f64 = 3.0;

/// What holds for a server in slow start, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// The part of the keys that it takes, 0 to 1.
    pub key_ratio: f64,
    /// Attempts that this node may start there.
    pub tokens: f64,
    /// Attempts that this node may start on all servers in slow start together.
    pub budget: f64,
}

/// What one upkeep gives to servers in slow start.
pub(crate) struct SlowStartRefill {
    warm_servers: f64,
    warming_servers: f64,
    /// Requests a second at this node.
    demand: f64,
    warm_up_seconds: f64,
    overload_window_seconds: f64,
    /// Connections a second that fill a server with full capacity as far as warm ones are filled.
    fill_rate: f64,
    max_rate_ratio: f64,
    /// Attempts that are due to all servers.
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

    /// The part of the keys by which a server gets this many requests a second. What servers in slow start leave goes to
    /// the warm ones.
    fn key_ratio(&self, rate: f64) -> f64 {
        let remaining_demand = self.demand - rate * self.warming_servers;
        if remaining_demand > 0.0 {
            rate * self.warm_servers / remaining_demand
        } else {
            1.0
        }
    }

    /// Refills the budget of one server. What other nodes send there is not known: this one keeps to one attempt in an
    /// overload window, or to its part.
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
    /// Starts a refill with the totals as they are before the servers are looked at.
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

    /// Ranks servers in slow start as long as the budget for all of them allows an attempt.
    pub(crate) fn refresh_slow_start(&mut self, now: Timestamp) {
        let is_open = self.slow_start_budget.allows_attempt(now);
        self.fleet.set_admits_slow_start(is_open);
    }

    /// What holds for this server now, if it is in slow start.
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
