//! The timers that the balancer sets, and their intervals.

use crate::{Action, Timer};
use std::time::Duration;

pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often queued requests are looked at when nothing else happens.
pub(crate) const QUEUE_INTERVAL: Duration = Duration::from_millis(50);

/// The action that sets a timer.
pub(crate) fn set_timer(timer: Timer, after: Duration) -> Action {
    Action::SetTimer { after, timer }
}

/// A timer that is set again only after it has fired.
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

    /// Sets the timer, unless it is set.
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
