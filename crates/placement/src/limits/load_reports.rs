//! Reports of utilization. They count the load of all nodes, so they go before what this node's own load tells.

use crate::balancer::{Actions, Balancer};
use crate::state::server::{Server, UtilizationReport};
use crate::state::server_table::ServerSlot;
use crate::Timestamp;

/// Utilization from which a server sheds load.
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
        // With connections there that load it, no utilization tells of a time before they came.
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
