//! Utilization reports. They cover the load of all nodes, so they take precedence over what this node's load suggests.

use crate::balancer::{Actions, Balancer};
use crate::state::server::{Server, UtilizationReport};
use crate::state::server_table::ServerSlot;
use crate::Timestamp;

/// Above this utilization, load is shed from the server.
const SHEDDING_UTILIZATION: f64 = 0.93;

impl Balancer {
    pub(crate) fn on_load_report(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        values: &[f64],
        actions: &mut Actions,
    ) {
        let field = self.settings.utilization_field;
        let Some(utilization) = field.and_then(|field| values.get(field)).copied() else {
            return;
        };
        // A report of no utilization from a server with connections dates from before those connections.
        let has_connections = |server: &Server| !server.connections.is_empty();
        if utilization <= 0.0 && self.fleet.servers.get(slot).is_some_and(has_connections) {
            return;
        }
        self.fleet.update(slot, |server| {
            server.report = Some(UtilizationReport {
                received_at: now,
                utilization,
                connections: server.connections.len(),
                load_since: 0.0,
            });
            let load = server.load;
            server.limit.apply_report(now, load, utilization);
        });
        if utilization > SHEDDING_UTILIZATION {
            self.shed_load(now, slot, actions);
        }
    }
}
