//! The timers that the balancer sets, and the handles by which they come back.

use crate::Action;
use std::time::Duration;

pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often queued requests are looked at when nothing else happens.
pub(crate) const QUEUE_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The next run of the upkeep.
    Upkeep,
    /// The next call for the endpoint list.
    EndpointWatch,
    /// The next look at queued requests.
    Queue,
    /// The next step of migrating connections off drained servers.
    DrainMigration,
}

impl Timer {
    const ALL: [Timer; 4] = [
        Timer::Upkeep,
        Timer::EndpointWatch,
        Timer::Queue,
        Timer::DrainMigration,
    ];

    const fn handle(self) -> u64 {
        match self {
            Timer::Upkeep => 1,
            Timer::EndpointWatch => 2,
            Timer::Queue => 3,
            Timer::DrainMigration => 4,
        }
    }

    pub(crate) fn from_handle(handle: u64) -> Option<Timer> {
        Timer::ALL
            .into_iter()
            .find(|timer| timer.handle() == handle)
    }

    pub(crate) fn set_after(self, after: Duration) -> Action {
        Action::SetTimer {
            after,
            handle: self.handle(),
        }
    }
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
        Some(self.timer.set_after(after))
    }

    pub(crate) fn on_fired(&mut self) {
        self.is_set = false;
    }
}
