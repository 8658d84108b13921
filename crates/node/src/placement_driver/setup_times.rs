//! Setup times of connections, and detection of setups that had to queue at their server.

use std::collections::VecDeque;
use std::time::Duration;

/// A setup that takes longer than this multiple of the median is assumed to have queued.
const SLOW_SETUP_RATIO: u32 = 3;
/// The number of latest setups that the median is taken from.
const MAX_SETUPS: usize = 63;
/// With fewer setups than this there is no median yet.
const MIN_SETUPS: usize = 8;

/// The latest setup times, over all servers.
#[derive(Debug, Default)]
pub(super) struct SetupTimes {
    latest: VecDeque<Duration>,
}

impl SetupTimes {
    /// Records a setup time. Returns by how much it exceeded the median if it was far above it: the first line is a
    /// message too, and it has to queue even at a server that answers the lines of established connections at once.
    pub(super) fn record(&mut self, setup_duration: Duration) -> Option<Duration> {
        let median = self.median();
        self.latest.push_back(setup_duration);
        if self.latest.len() > MAX_SETUPS {
            self.latest.pop_front();
        }
        let median = median?;
        if setup_duration > median * SLOW_SETUP_RATIO {
            setup_duration.checked_sub(median)
        } else {
            None
        }
    }

    /// The median of the latest setup times; `None` if there are too few.
    fn median(&self) -> Option<Duration> {
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
