//! Servers that recently stopped being ready, from which a node estimates how many clients will reconnect to all nodes.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Clients of a departed server reconnect within this many overload windows.
pub(crate) const RECONNECT_WINDOWS: u32 = 2;
/// Maximum number of departures remembered; departures at the same time count as one.
const MAX_DEPARTURES: usize = 64;

/// Servers that stopped being ready at the same time.
struct Departure {
    time: Timestamp,
    weight: f64,
}

/// Servers that recently stopped being ready, oldest first.
#[derive(Default)]
pub(crate) struct Departures {
    recent: VecDeque<Departure>,
}

impl Departures {
    /// Records that a server stopped being ready. `time` must not decrease.
    pub(crate) fn record(&mut self, time: Timestamp, weight: f64) {
        match self.recent.back_mut() {
            Some(last) if last.time == time => last.weight += weight,
            _ => self.recent.push_back(Departure { time, weight }),
        }
        if self.recent.len() > MAX_DEPARTURES {
            self.recent.pop_front();
        }
    }

    /// The maximum weight that departed within any one window, among departures whose clients may still reconnect.
    pub(crate) fn max_weight_within(&self, now: Timestamp, window: Duration) -> f64 {
        let may_reconnect = |departure: &&Departure| {
            now.saturating_duration_since(departure.time) < RECONNECT_WINDOWS * window
        };
        let window_ends = self.recent.iter().filter(may_reconnect);
        let weights = window_ends.map(|last| self.weight_until(last.time, window));
        weights.fold(0.0, f64::max)
    }

    fn weight_until(&self, end: Timestamp, window: Duration) -> f64 {
        let is_in_window = |departure: &&Departure| {
            departure.time <= end && end.saturating_duration_since(departure.time) < window
        };
        let departures = self.recent.iter().filter(is_in_window);
        departures.map(|departure| departure.weight).sum()
    }
}

#[cfg(test)]
mod tests;
