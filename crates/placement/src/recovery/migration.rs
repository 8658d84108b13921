//! Migration of established connections to other servers: their clients are asked to reconnect.

use crate::balancer::{Actions, Balancer};
use crate::state::server_table::ServerSlot;
use crate::{Action, RequestId};

/// How many connections may be migrated at once.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MigrationAllowance {
    /// As many as the budget has.
    Budget,
    Unlimited,
}

impl Balancer {
    /// Migrates an established connection, if the budget allows it.
    pub(crate) fn migrate(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_established() && self.migration_budget.spend() {
            request.is_finished = true;
            if let Some(attempt) = request.in_flight.as_mut() {
                attempt.is_migrated = true;
            }
            actions.push(Action::Migrate(id));
        }
    }

    /// Migrates all connections of a server on which nobody is served.
    pub(crate) fn migrate_all(
        &mut self,
        slot: ServerSlot,
        allowance: MigrationAllowance,
        actions: &mut Actions,
    ) {
        let Some(server) = self.fleet.servers.get(slot) else {
            return;
        };
        let connections: Vec<RequestId> = server.connections.iter().copied().collect();
        if allowance == MigrationAllowance::Unlimited {
            self.migration_budget
                .allow_at_least(connections.len() as f64);
        }
        for id in connections {
            self.migrate(id, actions);
        }
    }

    /// A connection's messages go unanswered: it is migrated whatever the budget, for nobody is served on it.
    pub(crate) fn on_connection_unresponsive(&mut self, id: RequestId, actions: &mut Actions) {
        self.migration_budget.allow_at_least(1.0);
        self.migrate(id, actions);
    }
}
