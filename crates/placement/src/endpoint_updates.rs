//! Changes of the endpoint list.

use crate::balancer::{Actions, Balancer};
use crate::hashing::server_hash;
use crate::state::fleet::Server;
use crate::state::server_table::{Slot, UNKNOWN};
use crate::{Endpoint, Health, Timestamp};
use std::collections::BTreeSet;

impl Balancer {
    pub(crate) fn list(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        cached: bool,
        actions: &mut Actions,
    ) {
        self.asking.record_answer(cached);
        let shown = self.by_hand.apply_endpoints(entries, whole);
        self.take_in(now, shown, whole, actions);
    }

    pub(crate) fn take_in(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        actions: &mut Actions,
    ) {
        let mut lost = 0.0;
        let named = entries
            .into_iter()
            .map(|entry| self.listed(now, entry, &mut lost));
        let named: BTreeSet<Slot> = named.collect();
        let known = if whole {
            self.fleet.servers.slots()
        } else {
            Vec::new()
        };
        for at in known.into_iter().filter(|at| !named.contains(at)) {
            self.fleet.change(at, |server| {
                lost += server.turn(now, Health::Gone);
            });
        }
        self.share_out(now, lost, actions);
        self.open_cold(now);
    }

    pub(crate) fn listed(&mut self, now: Timestamp, entry: Endpoint, lost: &mut f64) -> Slot {
        let saved = self.cold.saved(now, self.settings.node_count);
        let mut at = self.fleet.servers.slot(&entry.server);
        if at == UNKNOWN {
            let (hash, health, cap) = (server_hash(&entry.server), Health::Gone, f64::INFINITY);
            let fresh = Server {
                hash,
                health,
                cap,
                leaving_since: now,
                ..Server::default()
            };
            at = self.fleet.servers.insert(entry.server, fresh);
        }
        let (settings, budget) = (&self.settings, &mut self.cold);
        self.fleet.change(at, |server| {
            // A new start under the old id is a new process: evidence against the last one is void, and it
            // is cold.
            let back = server.health == Health::Gone && entry.health == Health::Ready;
            let fresh = entry.started_at > server.started || back;
            if fresh {
                server.started = entry.started_at.or(server.started);
                (
                    server.strikes,
                    server.bars,
                    server.barred_until,
                    server.crashed,
                ) = (0, 0, None, false);
                server.cut = false;
                server.cap = f64::INFINITY;
                (server.tokens, server.refilled, server.used) = (1.0, now, None);
                server.part = settings.initial_capacity_ratio;
            }
            *lost += server.turn(now, entry.health);
            server.zone = entry.zone;
            server.cell = entry.cell;
            server.kind = entry.machine_kind;
            server.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            let cold = server.is_cold(settings, now);
            let was_cold = std::mem::replace(&mut server.cold, cold);
            budget.add(if cold && (fresh || !was_cold) {
                saved
            } else {
                0.0
            });
        });
        at
    }
}
