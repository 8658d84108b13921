//! Migration of connections off servers that an administrator drains.
//!
//! Connections are migrated in steps, so that the other servers do not receive all of them at once, and within a
//! fixed time, so that a restart of the drained server does not break them.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::{RequestId, ServerId, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time in which all connections of a drained server are migrated.
const DRAIN_DURATION: Duration = Duration::from_millis(1500);
const STEP_INTERVAL: Duration = Duration::from_millis(100);

impl Balancer {
    /// Replaces the set of drained servers.
    pub(crate) fn on_admin_drain(
        &mut self,
        now: Timestamp,
        servers: BTreeSet<ServerId>,
        actions: &mut Actions,
    ) {
        let changed_entries = self.admin_drain.set_drained_servers(now, servers);
        self.apply_endpoint_changes(now, changed_entries, actions);
        self.migrate_drained(now, actions);
    }

    pub(crate) fn on_drain_timer(&mut self, now: Timestamp, actions: &mut Actions) {
        self.drain_timer.on_fired();
        self.migrate_drained(now, actions);
    }

    /// Migrates the next share of the connections that are established on drained servers, including those that are
    /// established after the drain began.
    fn migrate_drained(&mut self, now: Timestamp, actions: &mut Actions) {
        let drained = self
            .admin_drain
            .progress(now, DRAIN_DURATION, STEP_INTERVAL);
        for progress in drained {
            let connections = self.established_on(&progress.server);
            let due = connections.len().div_ceil(progress.remaining_steps);
            self.migration_budget.allow_at_least(due as f64);
            for id in connections.into_iter().take(due) {
                self.migrate(id, actions);
            }
        }
        if !self.admin_drain.drained().is_empty() {
            actions.extend(self.drain_timer.set_after(STEP_INTERVAL));
        }
    }

    fn established_on(&self, server: &ServerId) -> Vec<RequestId> {
        let slot = self.fleet.servers.slot(server);
        let Some(server) = self.fleet.servers.get(slot) else {
            return Vec::new();
        };
        let is_established = |id: &&RequestId| {
            self.requests
                .get(id)
                .is_some_and(RequestState::is_established)
        };
        server
            .connections
            .iter()
            .filter(is_established)
            .copied()
            .collect()
    }
}
