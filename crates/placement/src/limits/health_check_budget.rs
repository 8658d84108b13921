//! The budget for health checks.

/// What may be spent on health checks for each request, in points of the result.
const BUDGET_PER_REQUEST: f64 = 0.0025;

/// Health checks that may be sent.
#[derive(Default)]
pub(crate) struct HealthCheckBudget {
    checks: f64,
}

impl HealthCheckBudget {
    /// A request has arrived; a check costs `check_cost`.
    pub(crate) fn earn(&mut self, check_cost: f64) {
        self.checks += BUDGET_PER_REQUEST / check_cost.max(1e-9);
    }

    /// Bounds what is saved up.
    pub(crate) fn limit_to(&mut self, max_checks: f64) {
        self.checks = self.checks.min(max_checks);
    }

    /// Spends one check, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        if self.checks < 1.0 {
            return false;
        }
        self.checks -= 1.0;
        true
    }
}
