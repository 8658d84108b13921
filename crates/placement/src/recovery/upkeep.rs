//! The periodic upkeep, run once a second. Its cost depends on the node's connections, not on the size of the fleet.

use crate::balancer::{Actions, Balancer};
use crate::limits::slow_start::SlowStartRefill;
use crate::state::elapsed::happened_within;
use crate::state::load_accounting::GROUP_OVERHEAD_RATIO;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::timer::{set_timer, UPKEEP_INTERVAL};
use crate::{Health, Timer, Timestamp};
use std::time::Duration;

/// Removed servers are kept for this long.
const REMOVED_SERVER_RETENTION: Duration = Duration::from_secs(60);
/// A server that was overloaded within this time counts as overloaded for its machine kind.
const OVERLOAD_COUNT_WINDOW: Duration = Duration::from_millis(1500);

/// The mean loads used for all servers of one upkeep, computed before any server is updated.
struct LoadBasis {
    mean_load: f64,
    group_overhead: f64,
    fair_load_per_weight: f64,
}

impl Balancer {
    /// Schedules the first upkeep at a random time, so that nodes that start together do not run it together.
    pub(crate) fn schedule_first_upkeep(&mut self, actions: &mut Actions) {
        let after = UPKEEP_INTERVAL.mul_f64(0.5 + self.jitter());
        actions.push(set_timer(Timer::Upkeep, after));
    }

    pub(crate) fn run_upkeep(&mut self, now: Timestamp, actions: &mut Actions) {
        actions.push(set_timer(Timer::Upkeep, UPKEEP_INTERVAL));
        self.migration_budget.refill(self.fleet.totals.connections);
        self.health_check_budget
            .limit_to(self.fleet.servers.len() as f64);
        self.group_frequency.decay();
        self.machine_kinds.decay();
        self.maintain_servers(now);
        self.check_unreachable_zones(now, actions);
        self.key_redistribution.decay(&self.fleet.totals);
        self.redistribute_keys(now, 0.0, actions);
        self.refresh_slow_start(now);
    }

    fn maintain_servers(&mut self, now: Timestamp) {
        let mut refill = self.begin_slow_start_refill(now);
        let mean_load = self.load_estimates.mean();
        let basis = LoadBasis {
            mean_load,
            group_overhead: GROUP_OVERHEAD_RATIO * mean_load,
            fair_load_per_weight: self.fair_load_per_weight(),
        };
        for slot in std::mem::take(&mut self.fleet.upkeep_slots) {
            let Some(server) = self.fleet.servers.get(slot) else {
                continue;
            };
            if is_expired(now, server) {
                self.fleet.remove(slot);
                continue;
            }
            if is_in_use(server) {
                let overloaded_at = server.limit.overloaded_at;
                let is_overloaded = happened_within(now, overloaded_at, OVERLOAD_COUNT_WINDOW);
                self.machine_kinds
                    .record(server.machine_kind, is_overloaded);
            }
            self.maintain_server(now, slot, &basis, &mut refill);
        }
        self.end_slow_start_refill(&refill);
    }

    fn maintain_server(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        basis: &LoadBasis,
        refill: &mut SlowStartRefill,
    ) {
        let load = self.recompute_load(slot, basis);
        let settings = &self.settings;
        self.fleet.update(slot, |server| {
            server.load = load;
            server.slow_start.is_active = server.is_in_slow_start(settings, now);
            if server.slow_start.is_active {
                refill.refill(settings, now, server);
            }
            server.limit.recover(now, basis.fair_load_per_weight);
            server.indexes.needs_upkeep = false; // set again by the update, if it is still needed
        });
    }

    /// Recomputes the load of the server's connections, with the present means for unknown loads.
    fn recompute_load(&mut self, slot: ServerSlot, basis: &LoadBasis) -> f64 {
        let Some(server) = self.fleet.servers.get(slot) else {
            return 0.0;
        };
        let mut load = server.group_connections.len() as f64 * basis.group_overhead;
        for id in &server.connections {
            let Some(request) = self.requests.get_mut(id) else {
                continue;
            };
            let load_estimates = &self.load_estimates;
            request.accounted_load = request
                .load
                .or_else(|| load_estimates.class_mean(request.class))
                .unwrap_or(basis.mean_load);
            load += request.accounted_load;
        }
        load
    }
}

/// Returns true if a removed server may be dropped. It is kept for a while; otherwise a server that is listed again
/// as draining would get a second drain grace.
fn is_expired(now: Timestamp, server: &Server) -> bool {
    server.health == Health::Removed
        && server.connections.is_empty()
        && now.saturating_duration_since(server.draining_since) >= REMOVED_SERVER_RETENTION
}

/// Returns true if the server's load is representative of its machine kind.
fn is_in_use(server: &Server) -> bool {
    !server.connections.is_empty()
        && !server.slow_start.is_active
        && server.ejection.until.is_none()
}
