//! Migration of established connections to other servers, by asking their clients to reconnect.

use crate::balancer::{Actions, Balancer};
use crate::state::server_table::ServerSlot;
use crate::{Action, RequestId};

/// The limit on migrations.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MigrationAllowance {
    /// Limited by the migration budget.
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

    /// Migrates the connections of a server that does not answer.
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

    /// Migrates a connection whose messages are unanswered, regardless of the budget: it is of no use to its client.
    pub(crate) fn on_connection_unresponsive(&mut self, id: RequestId, actions: &mut Actions) {
        self.migration_budget.allow_at_least(1.0);
        self.migrate(id, actions);
    }
}
