//! The servers that left lately, by which a node knows how many clients are about to return to all nodes.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Clients of a server that leaves return within this many overload windows.
pub(crate) const RETURN_WINDOWS: u32 = 2;
/// Departures at different moments that are remembered.
const MAX_DEPARTURES: usize = 64;

/// Servers that were told to leave at the same moment.
struct Departure {
    at: Timestamp,
    weight: f64,
}

/// Servers that stopped being ready lately, the oldest first.
#[derive(Default)]
pub(crate) struct Departures {
    recent: VecDeque<Departure>,
}

impl Departures {
    /// A server stops being ready. `at` must not run backwards.
    pub(crate) fn record(&mut self, at: Timestamp, weight: f64) {
        match self.recent.back_mut() {
            Some(last) if last.at == at => last.weight += weight,
            _ => self.recent.push_back(Departure { at, weight }),
        }
        if self.recent.len() > MAX_DEPARTURES {
            self.recent.pop_front();
        }
    }

    /// The most weight that left within any one window, of those whose clients may still return.
    pub(crate) fn max_weight_within(&self, now: Timestamp, window: Duration) -> f64 {
        let may_return = |departure: &&Departure| {
            now.saturating_duration_since(departure.at) < RETURN_WINDOWS * window
        };
        let last_ones = self.recent.iter().filter(may_return);
        let weights = last_ones.map(|last| self.weight_until(last.at, window));
        weights.fold(0.0, f64::max)
    }

    fn weight_until(&self, end: Timestamp, window: Duration) -> f64 {
        let is_in_window = |departure: &&Departure| {
            departure.at <= end && end.saturating_duration_since(departure.at) < window
        };
        let departures = self.recent.iter().filter(is_in_window);
        departures.map(|departure| departure.weight).sum()
    }
}

#[cfg(test)]
mod tests;
