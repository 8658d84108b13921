//! How many set-ups may be under way at once.

use crate::balancer::Balancer;
use crate::policy::queue::QUEUE_TICK;
use crate::{Settings, Timestamp};
use std::time::Duration;

/// Set-ups under way at once, over all gateways: at the start and at the least. Quick successes widen it,
/// slow ones and failures at several servers shrink it; slow is this multiple of the quickest that was usual.
const FIRST_WINDOW: f64 = 24.0;
const LEAST_WINDOW: f64 = 6.0;

/// How many set-ups of one gateway may be under way where nothing tells of fewer.
pub(crate) fn initial_setup_window(settings: &Settings) -> f64 {
    (FIRST_WINDOW / f64::from(settings.node_count.max(1))).max(1.0)
}

impl Balancer {
    /// Set-ups go wrong wherever they are sent: let fewer run at once.
    pub(crate) fn shrink_setup_window(&mut self, now: Timestamp) {
        if now.saturating_duration_since(self.window_cut) > QUEUE_TICK * 2 {
            let least = (LEAST_WINDOW / f64::from(self.settings.node_count.max(1))).max(0.05);
            self.window = (self.window.min(self.in_setup as f64 + 1.0) * 0.7).max(least);
            self.window_cut = now;
            // A window of half a set-up is one at a time with a pause as long after it.
            let pause =
                self.setup_mean.max(QUEUE_TICK.as_secs_f64()) * (1.0 / self.window - 1.0).max(0.0);
            self.pause_until =
                now.saturating_add(Duration::from_secs_f64(pause * (0.5 + self.jitter())));
        }
    }
}
