//! Whether servers in slow start are ranked.

use crate::balancer::Balancer;
use crate::Timestamp;

impl Balancer {
    /// Lets cold servers be ranked or not, as the budget for all of them has come to allow.
    pub(crate) fn refresh_slow_start(&mut self, now: Timestamp) {
        let open = self.slow_start_budget.is_open(now);
        if std::mem::replace(&mut self.fleet.slow_start_is_open, open) != open {
            self.fleet
                .upkeep_slots
                .clone()
                .into_iter()
                .for_each(|at| self.fleet.update(at, |_| ()));
        }
    }
}
