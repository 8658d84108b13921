//! The timers that the balancer sets, and their intervals.

use crate::{Action, Timer};
use std::time::Duration;

pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which queued requests are checked if no other event occurs.
pub(crate) const QUEUE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the action that sets a timer.
pub(crate) fn set_timer(timer: Timer, after: Duration) -> Action {
    Action::SetTimer { after, timer }
}

/// A timer that can be set again only after it has fired.
pub(crate) struct SingleTimer {
    timer: Timer,
    is_set: bool,
}

impl SingleTimer {
    pub(crate) fn new(timer: Timer) -> SingleTimer {
        SingleTimer {
            timer,
            is_set: false,
        }
    }

    /// Returns the action that sets the timer, unless it is already set.
    pub(crate) fn set_after(&mut self, after: Duration) -> Option<Action> {
        if self.is_set {
            return None;
        }
        self.is_set = true;
        Some(set_timer(self.timer, after))
    }

    pub(crate) fn on_fired(&mut self) {
        self.is_set = false;
    }
}

#[cfg(test)]
mod tests;
