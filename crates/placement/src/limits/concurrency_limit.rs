//! How much of this node's load a server may hold, by the overload that it has shown.

use crate::state::elapsed::is_longer_ago;
use crate::timer::UPKEEP_INTERVAL;
use crate::Timestamp;
use std::time::Duration;

/// Utilization to which servers may be filled, where they report it.
pub(crate) const MAX_UTILIZATION: f64 = 0.85;
/// For so long an overload, or a report of utilization, tells something of a server.
pub(crate) const OVERLOAD_MEMORY: Duration = Duration::from_secs(4);
/// A limit falls to this part of the fair load at the least.
const MIN_LIMIT_RATIO: f64 = 0.1;
/// A limit rises by this part of the fair load a second ...
const LIMIT_RISE_PER_SECOND: f64 = 0.01;
/// ... times this while the last overload is remembered ...
const CAUTIOUS_RISE_FACTOR: f64 = 0.5;
/// ... or times this once it is not.
const CALM_RISE_FACTOR: f64 = 2.0;
/// A limit does not rise while an overload is this many upkeep intervals old, or younger.
const RISE_DELAY_INTERVALS: u32 = 2;
/// The limit on one server.
pub(crate) struct ConcurrencyLimit {
    /// The most load of this node's that the server may hold; infinite until it was overloaded once.
    pub(crate) max_load: f64,
    pub(crate) overloaded_at: Option<Timestamp>,
    /// When the limit last gave way to one connection more.
    pub(crate) raised_at: Option<Timestamp>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            max_load: f64::INFINITY,
            overloaded_at: None,
            raised_at: None,
        }
    }
}

impl ConcurrencyLimit {
    pub(crate) fn remove(&mut self) {
        self.max_load = f64::INFINITY;
    }

    /// Lets the server hold what it holds.
    pub(crate) fn raise_to(&mut self, now: Timestamp, load: f64) {
        self.raised_at = Some(now);
        self.max_load = self.max_load.max(load);
    }

    /// The server reported its utilization: that tells the limit, if there is one.
    pub(crate) fn apply_report(&mut self, now: Timestamp, load: f64, utilization: f64) {
        if utilization > MAX_UTILIZATION {
            self.max_load = load * MAX_UTILIZATION / utilization;
            self.overloaded_at = Some(now);
        } else {
            self.remove();
        }
    }

    /// The server is overloaded: it may hold only this part of what it holds.
    pub(crate) fn apply_overload(
        &mut self,
        now: Timestamp,
        load: f64,
        retained_ratio: f64,
        fair_load: f64,
    ) {
        let max_load = (load * retained_ratio).max(fair_load * MIN_LIMIT_RATIO);
        self.overloaded_at = Some(now);
        self.max_load = self.max_load.min(max_load);
    }

    /// A second has passed.
    pub(crate) fn recover(&mut self, now: Timestamp, fair_load: f64) {
        let rise_delay = UPKEEP_INTERVAL * RISE_DELAY_INTERVALS;
        if !is_longer_ago(now, self.overloaded_at, rise_delay) {
            return;
        }
        let factor = if is_longer_ago(now, self.overloaded_at, OVERLOAD_MEMORY) {
            CALM_RISE_FACTOR
        } else {
            CAUTIOUS_RISE_FACTOR
        };
        self.max_load += fair_load * LIMIT_RISE_PER_SECOND * factor;
    }
}

#[cfg(test)]
mod tests;
