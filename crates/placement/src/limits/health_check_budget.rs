//! The budget for health checks.

/// Budget for health checks that each request adds, in points of the deployment's score. A check uses
/// [`Settings::health_check_cost`](crate::Settings::health_check_cost) points of it.
const BUDGET_PER_REQUEST: f64 = 0.0025;

/// The number of health checks that may be sent.
#[derive(Default)]
pub(crate) struct HealthCheckBudget {
    checks: f64,
}

impl HealthCheckBudget {
    /// Adds the budget for one request that has arrived. A check costs `check_cost` points.
    pub(crate) fn credit_request(&mut self, check_cost: f64) {
        self.checks += BUDGET_PER_REQUEST / check_cost.max(1e-9);
    }

    /// Lowers the budget to `max_checks` if it exceeds that.
    pub(crate) fn limit_to(&mut self, max_checks: f64) {
        self.checks = self.checks.min(max_checks);
    }

    /// Spends one check. Returns false if the budget does not allow it.
    pub(crate) fn spend(&mut self) -> bool {
        if self.checks < 1.0 {
            return false;
        }
        self.checks -= 1.0;
        true
    }
}
