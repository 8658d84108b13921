//! A sample of bounded size of the delays that were observed in a period.

use std::time::Duration;

/// Delays that a sample holds at most: enough for a median, and more than a server's clients cause by sound behaviour.
const MAX_DELAYS: usize = 256;

/// Every n-th delay of a period. The interval n is one for as long as all delays fit, and doubles each time that the
/// sample is full. Guards against a client whose lines are answered at full speed.
#[derive(Debug)]
pub(super) struct DelaySample {
    delays: Vec<Duration>,
    interval: u64,
    /// Delays since the one that was added last.
    skipped: u64,
}

impl Default for DelaySample {
    fn default() -> DelaySample {
        DelaySample {
            delays: Vec::new(),
            interval: 1,
            skipped: 0,
        }
    }
}

impl DelaySample {
    /// Records a delay.
    pub(super) fn record(&mut self, delay: Duration) {
        self.skipped += 1;
        if self.skipped < self.interval {
            return;
        }
        self.skipped = 0;
        if self.delays.len() == MAX_DELAYS {
            self.drop_every_second();
        }
        self.delays.push(delay);
    }

    fn drop_every_second(&mut self) {
        let mut is_kept = false;
        self.delays.retain(|_| {
            is_kept = !is_kept;
            is_kept
        });
        self.interval *= 2;
    }

    /// Returns the sample and begins the next period.
    pub(super) fn take(&mut self) -> Vec<Duration> {
        std::mem::take(self).delays
    }
}

/// The median of these durations; `None` if there are none.
pub(super) fn median(durations: &mut [Duration]) -> Option<Duration> {
    durations.sort_unstable();
    durations.get(durations.len() / 2).copied()
}

#[cfg(test)]
mod tests;
