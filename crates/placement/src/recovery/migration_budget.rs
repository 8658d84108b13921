//! The budget for migrations, which bounds the number of clients that are asked to reconnect at once.

/// The allowed migrations per second, as a fraction of the connections.
const MIGRATED_RATIO_PER_SECOND: f64 = 0.15;
/// Unused migrations are saved up to this fraction of the connections.
const SAVED_RATIO: f64 = 0.3;

/// The migrations that are allowed.
#[derive(Default)]
pub(crate) struct MigrationBudget {
    migrations: f64,
}

impl MigrationBudget {
    /// Adds the migrations of one second for this number of connections.
    pub(crate) fn refill(&mut self, connections: f64) {
        let max_migrations = (SAVED_RATIO * connections).max(1.0);
        let refilled = self.migrations + MIGRATED_RATIO_PER_SECOND * connections;
        self.migrations = refilled.min(max_migrations);
    }

    /// Adds the share of one inherited connection, so that inherited connections may be migrated at once.
    pub(crate) fn credit_inherited(&mut self) {
        self.migrations += SAVED_RATIO;
    }

    /// Allows at least this number of migrations, whatever has been saved up.
    pub(crate) fn allow_at_least(&mut self, migrations: f64) {
        self.migrations = self.migrations.max(migrations);
    }

    /// Spends one migration, if one is available.
    pub(crate) fn spend(&mut self) -> bool {
        if self.migrations < 1.0 {
            return false;
        }
        self.migrations -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
