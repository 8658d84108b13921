//! The limit on this node's load on a server, lowered when the server is overloaded and raised afterwards.

use crate::state::elapsed::is_longer_ago;
use crate::timer::UPKEEP_INTERVAL;
use crate::Timestamp;
use std::time::Duration;

/// Maximum utilization of servers that report theirs.
pub(crate) const MAX_UTILIZATION: f64 = 0.85;
/// Time for which an overload or a utilization report is taken into account.
pub(crate) const OVERLOAD_MEMORY: Duration = Duration::from_secs(4);
/// Lower bound of a limit, as a fraction of the fair load.
const MIN_LIMIT_RATIO: f64 = 0.1;
/// A limit rises by this fraction of the fair load per second, times one of the two factors below.
const LIMIT_RISE_PER_SECOND: f64 = 0.01;
/// The factor within [`OVERLOAD_MEMORY`] of the last overload.
const RECENT_OVERLOAD_RISE_FACTOR: f64 = 0.5;
/// The factor at other times.
const DEFAULT_RISE_FACTOR: f64 = 2.0;
/// A limit does not rise until the last overload is more than this many upkeep intervals old.
const RISE_DELAY_INTERVALS: u32 = 2;

/// The concurrency limit of one server.
pub(crate) struct ConcurrencyLimit {
    /// The maximum load from this node on the server; infinite until an overload sets a limit.
    pub(crate) max_load: f64,
    pub(crate) overloaded_at: Option<Timestamp>,
    /// The last time that the limit was raised to accept one more connection.
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

    /// Raises the limit to `load`, the server's present load, if the limit is lower.
    pub(crate) fn raise_to(&mut self, now: Timestamp, load: f64) {
        self.raised_at = Some(now);
        self.max_load = self.max_load.max(load);
    }

    /// Sets the limit if the reported utilization exceeds [`MAX_UTILIZATION`], otherwise removes it.
    pub(crate) fn apply_report(&mut self, now: Timestamp, load: f64, utilization: f64) {
        if utilization > MAX_UTILIZATION {
            self.max_load = load * MAX_UTILIZATION / utilization;
            self.overloaded_at = Some(now);
        } else {
            self.remove();
        }
    }

    /// Lowers the limit of an overloaded server to `retained_ratio` of its present load.
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

    /// Raises the limit; called once per second.
    pub(crate) fn recover(&mut self, now: Timestamp, fair_load: f64) {
        let rise_delay = UPKEEP_INTERVAL * RISE_DELAY_INTERVALS;
        if !is_longer_ago(now, self.overloaded_at, rise_delay) {
            return;
        }
        let factor = if is_longer_ago(now, self.overloaded_at, OVERLOAD_MEMORY) {
            DEFAULT_RISE_FACTOR
        } else {
            RECENT_OVERLOAD_RISE_FACTOR
        };
        self.max_load += fair_load * LIMIT_RISE_PER_SECOND * factor;
    }
}

#[cfg(test)]
mod tests;
