//! Changes of the endpoint list.

use crate::balancer::{Actions, Balancer};
use crate::hashing::server_hash;
use crate::state::fleet::Server;
use crate::state::server_table::{ServerSlot, UNKNOWN};
use crate::{Endpoint, Health, Timestamp};
use std::collections::BTreeSet;

impl Balancer {
    pub(crate) fn apply_endpoint_list(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        cached: bool,
        actions: &mut Actions,
    ) {
        self.poll_schedule.record_answer(cached);
        let shown = self.admin_drain.apply_endpoints(entries, whole);
        self.apply_endpoints(now, shown, whole, actions);
    }

    pub(crate) fn apply_endpoints(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        actions: &mut Actions,
    ) {
        let mut lost = 0.0;
        let named = entries
            .into_iter()
            .map(|entry| self.apply_endpoint(now, entry, &mut lost));
        let named: BTreeSet<ServerSlot> = named.collect();
        let known = if whole {
            self.fleet.servers.slots()
        } else {
            Vec::new()
        };
        for at in known.into_iter().filter(|at| !named.contains(at)) {
            self.fleet.update(at, |server| {
                lost += server.set_health(now, Health::Removed);
            });
        }
        self.redistribute_keys(now, lost, actions);
        self.refresh_slow_start(now);
    }

    pub(crate) fn apply_endpoint(
        &mut self,
        now: Timestamp,
        entry: Endpoint,
        lost: &mut f64,
    ) -> ServerSlot {
        let saved = self
            .slow_start_budget
            .saved_per_node(now, self.settings.node_count);
        let mut at = self.fleet.servers.slot(&entry.server);
        if at == UNKNOWN {
            let (hash, health, cap) = (server_hash(&entry.server), Health::Removed, f64::INFINITY);
            let fresh = Server {
                hash,
                health,
                concurrency_limit: cap,
                draining_since: now,
                ..Server::default()
            };
            at = self.fleet.servers.insert(entry.server, fresh);
        }
        let (settings, budget) = (&self.settings, &mut self.slow_start_budget);
        self.fleet.update(at, |server| {
            // A new start under the old id is a new process: evidence against the last one is void, and it
            // is cold.
            let back = server.health == Health::Removed && entry.health == Health::Ready;
            let fresh = entry.started_at > server.started_at || back;
            if fresh {
                server.started_at = entry.started_at.or(server.started_at);
                (
                    server.consecutive_failures,
                    server.ejection_count,
                    server.ejected_until,
                    server.restart_suspected,
                ) = (0, 0, None, false);
                server.zone_unreachable = false;
                server.concurrency_limit = f64::INFINITY;
                (
                    server.slow_start_tokens,
                    server.slow_start_refilled_at,
                    server.utilization,
                ) = (1.0, now, None);
                server.slow_start_ratio = settings.initial_capacity_ratio;
            }
            *lost += server.set_health(now, entry.health);
            server.zone = entry.zone;
            server.cell = entry.cell;
            server.machine_kind = entry.machine_kind;
            server.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            let cold = server.is_in_slow_start(settings, now);
            let was_cold = std::mem::replace(&mut server.is_warming_up, cold);
            budget.add(if cold && (fresh || !was_cold) {
                saved
            } else {
                0.0
            });
        });
        at
    }
}
