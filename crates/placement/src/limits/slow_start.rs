//! Whether servers in slow start are ranked.

use crate::balancer::Balancer;
use crate::Timestamp;

impl Balancer {
    /// Lets cold servers be ranked or not, as the budget for all of them has come to allow.
    pub(crate) fn open_cold(&mut self, now: Timestamp) {
        let open = self.cold.open(now);
        if std::mem::replace(&mut self.fleet.cold_open, open) != open {
            self.fleet
                .kept_up
                .clone()
                .into_iter()
                .for_each(|at| self.fleet.change(at, |_| ()));
        }
    }
}
