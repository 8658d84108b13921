//! The endpoint list: its watch at service discovery, and the application of its changes.

use crate::balancer::{Actions, Balancer};
use crate::hashing::{random_fraction, server_hash};
use crate::state::server::Server;
use crate::state::server_table::{ServerSlot, UNKNOWN};
use crate::timer::set_timer;
use crate::{Action, Endpoint, Health, ServerId, Timer, Timestamp};
use std::collections::BTreeSet;

/// The effect of an endpoint list or of changes to it.
#[derive(Default)]
struct AppliedEndpoints {
    listed: BTreeSet<ServerSlot>,
    /// Weight of the servers that were removed without having drained.
    lost_weight: f64,
}

impl Balancer {
    /// Starts the endpoint watch, at once or after an initial delay, if discovery requires a watch.
    pub(crate) fn start_endpoint_watch(&mut self, actions: &mut Actions) {
        if !self.settings.requires_endpoint_watch {
            return;
        }
        let random = random_fraction(&mut self.fleet_rng);
        let delay = self.poll_schedule.initial_delay(random);
        if delay.is_zero() {
            actions.push(Action::WatchEndpoints);
        } else {
            actions.push(set_timer(Timer::EndpointWatch, delay));
        }
    }

    pub(crate) fn on_endpoint_watch_stalled(&mut self, actions: &mut Actions) {
        if self.settings.requires_endpoint_watch {
            let random = random_fraction(&mut self.fleet_rng);
            let delay = self.poll_schedule.stalled_watch_delay(random);
            actions.push(set_timer(Timer::EndpointWatch, delay));
        }
    }

    pub(crate) fn on_endpoint_watch_failed(&mut self, actions: &mut Actions) {
        if self.settings.requires_endpoint_watch {
            let random = random_fraction(&mut self.fleet_rng);
            let delay = self.poll_schedule.retry_delay(random);
            actions.push(set_timer(Timer::EndpointWatch, delay));
        }
    }

    /// Applies a complete list: servers that it does not contain are removed.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        is_cached: bool,
        actions: &mut Actions,
    ) {
        self.poll_schedule.record_answer(is_cached);
        let entries = self.admin_drain.apply_endpoints(entries, true);
        let mut applied = self.apply_entries(now, entries);
        for slot in self.fleet.servers.slots() {
            if !applied.listed.contains(&slot) {
                self.fleet.update(slot, |server| {
                    applied.lost_weight += server.set_health(now, Health::Removed);
                });
            }
        }
        self.finish_endpoint_update(now, applied.lost_weight, actions);
    }

    pub(crate) fn on_endpoint_changes(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        self.poll_schedule.record_answer(false);
        let entries = self.admin_drain.apply_endpoints(entries, false);
        self.apply_endpoint_changes(now, entries, actions);
    }

    /// Applies changed entries, in which the drains by an administrator are already included.
    pub(crate) fn apply_endpoint_changes(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        let applied = self.apply_entries(now, entries);
        self.finish_endpoint_update(now, applied.lost_weight, actions);
    }

    fn apply_entries(&mut self, now: Timestamp, entries: Vec<Endpoint>) -> AppliedEndpoints {
        let mut applied = AppliedEndpoints::default();
        for entry in entries {
            let slot = self.slot_or_insert(now, &entry.server);
            applied.lost_weight += self.apply_entry(now, slot, &entry);
            applied.listed.insert(slot);
        }
        applied
    }

    fn slot_or_insert(&mut self, now: Timestamp, id: &ServerId) -> ServerSlot {
        let slot = self.fleet.servers.slot(id);
        if slot != UNKNOWN {
            return slot;
        }
        let server = Server::new(server_hash(id), now);
        self.fleet.servers.insert(id.clone(), server)
    }

    /// Applies one entry and returns the server's weight if the server is lost. A server that begins slow start adds
    /// its share to the slow-start budget.
    fn apply_entry(&mut self, now: Timestamp, slot: ServerSlot, entry: &Endpoint) -> f64 {
        let settings = &self.settings;
        let mut lost_weight = 0.0;
        let mut begins_slow_start = false;
        self.fleet.update(slot, |server| {
            let effect = server.apply_endpoint(settings, now, entry);
            lost_weight = effect.lost_weight;
            begins_slow_start = effect.begins_slow_start;
        });
        if begins_slow_start {
            let saved = self
                .slow_start_budget
                .saved_per_node(now, settings.node_count);
            self.slow_start_budget.add(saved);
        }
        lost_weight
    }

    fn finish_endpoint_update(&mut self, now: Timestamp, lost_weight: f64, actions: &mut Actions) {
        self.redistribute_keys(now, lost_weight, actions);
        self.refresh_slow_start(now);
    }
}
