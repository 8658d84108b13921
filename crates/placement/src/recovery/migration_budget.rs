//! The budget for migrations, which bounds what clients are asked to reconnect at once.

/// At most this part of the connections held may be migrated a second ...
const MIGRATED_RATIO_PER_SECOND: f64 = 0.15;
/// ... and up to this part is saved up.
const SAVED_RATIO: f64 = 0.3;

/// Migrations that may be made.
#[derive(Default)]
pub(crate) struct MigrationBudget {
    migrations: f64,
}

impl MigrationBudget {
    /// A second has passed with so many connections.
    pub(crate) fn refill(&mut self, connections: f64) {
        let max_migrations = (SAVED_RATIO * connections).max(1.0);
        let refilled = self.migrations + MIGRATED_RATIO_PER_SECOND * connections;
        self.migrations = refilled.min(max_migrations);
    }

    /// An inherited connection brings its part of the migrations allowed: it may be migrated at once.
    pub(crate) fn credit_inherited(&mut self) {
        self.migrations += SAVED_RATIO;
    }

    /// Allows so many migrations whatever has been saved up.
    pub(crate) fn allow_at_least(&mut self, migrations: f64) {
        self.migrations = self.migrations.max(migrations);
    }

    /// Spends one migration, if there is one.
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
