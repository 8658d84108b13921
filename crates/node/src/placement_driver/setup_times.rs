//! How long connections take to be established, and which of them had to wait for others.

use std::collections::VecDeque;
use std::time::Duration;

/// A set-up that takes this multiple of the usual time has waited.
const SLOW_SETUP_RATIO: u32 = 3;
/// How many of the latest set-ups the usual time is taken from.
const MAX_SETUPS: usize = 63;
/// With fewer set-ups than this none is usual yet.
const MIN_SETUPS: usize = 8;

/// The latest set-up times, at whatever server.
#[derive(Debug, Default)]
pub(super) struct SetupTimes {
    latest: VecDeque<Duration>,
}

impl SetupTimes {
    /// Records a set-up, and gives what it waited for others if it took much longer than usual: its first line is a
    /// message too, and the one that waits its turn even where a server returns the lines of established connections
    /// at once.
    pub(super) fn record(&mut self, took: Duration) -> Option<Duration> {
        let usual = self.usual();
        self.latest.push_back(took);
        if self.latest.len() > MAX_SETUPS {
            self.latest.pop_front();
        }
        let usual = usual?;
        if took > usual * SLOW_SETUP_RATIO {
            took.checked_sub(usual)
        } else {
            None
        }
    }

    /// The median of the latest set-ups; `None` while there are few.
    fn usual(&self) -> Option<Duration> {
        if self.latest.len() < MIN_SETUPS {
            return None;
        }
        let mut sorted: Vec<Duration> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied()
    }
}

#[cfg(test)]
mod tests;
