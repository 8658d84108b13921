//! What a gateway has used of what the fleet divides.

use crate::balancer::Balancer;

impl Balancer {
    /// Sends to cold servers since the last call: the most in any window, and whether a request came when only the slice
    /// stood against one more.
    pub fn take_slow_start_usage(&mut self) -> (u32, bool) {
        self.slow_start_budget.take_usage()
    }
}
