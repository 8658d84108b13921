//! Classifies the numbers in `LOAD X` lines. Most are the load of a connection, in microseconds of work per second. But
//! a server with slow messages also sends its message delay in milliseconds, in a line of the same form: once a second
//! on one connection of each node, and once more when the delay is short again. Read as loads, delays would make an
//! overloaded server look almost idle. Only the interval distinguishes them: loads change every few seconds.

use std::time::{Duration, Instant};

/// The interval between delays, and its tolerance.
const DELAY_INTERVAL: Duration = Duration::from_secs(1);
const DELAY_INTERVAL_TOLERANCE: Duration = Duration::from_millis(30);
/// The longest message delay; a larger number is a load.
const MAX_DELAY_MS: f64 = 20_000.0;
const MS_PER_SECOND: f64 = 1e3;

/// The meaning of one line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadReport {
    /// The connection's load, in microseconds of work per second.
    Load(f64),
    /// The message delay of the server. The first line of a series is reported as a load, which `load` corrects.
    Delay {
        /// The delay.
        delay: Duration,
        /// The last load before the series of delays, if one was reported.
        load: Option<f64>,
    },
}

/// A line that may be the first of a series of delays, or is the latest of one.
#[derive(Clone, Copy, Debug)]
struct PossibleDelay {
    received_at: Instant,
    value: f64,
    /// Whether the line belongs to a series of delays.
    is_confirmed: bool,
}

/// Distinguishes loads and delays among the numbers of one connection.
#[derive(Debug, Default)]
pub(crate) struct LoadReportClassifier {
    last: Option<PossibleDelay>,
    /// The last load reported before that line.
    load: Option<f64>,
}

impl LoadReportClassifier {
    /// Classifies a line's number. Servers send a series of delays only while the delay is over `min_delay`.
    pub(crate) fn record(&mut self, now: Instant, value: f64, min_delay: Duration) -> LoadReport {
        let is_long = value / MS_PER_SECOND > min_delay.as_secs_f64();
        let may_be_delay = value <= MAX_DELAY_MS;
        let in_series = is_long || self.last.is_some_and(|last| last.is_confirmed);
        if may_be_delay && in_series && self.has_delay_interval(now) {
            return self.record_delay(now, value, is_long);
        }
        if self.is_within_series(now) {
            self.load = Some(value);
        } else {
            self.record_load(now, value, may_be_delay && is_long);
        }
        LoadReport::Load(value)
    }

    /// Returns true if this line follows the last possible delay after one delay interval.
    fn has_delay_interval(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| {
            let since = now.saturating_duration_since(last.received_at);
            since + DELAY_INTERVAL_TOLERANCE >= DELAY_INTERVAL
                && since <= DELAY_INTERVAL + DELAY_INTERVAL_TOLERANCE
        })
    }

    /// Returns true if a series of delays continues, so that a line between two delays is a load.
    fn is_within_series(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| {
            let since = now.saturating_duration_since(last.received_at);
            last.is_confirmed && since <= DELAY_INTERVAL + DELAY_INTERVAL_TOLERANCE
        })
    }

    fn record_delay(&mut self, now: Instant, value: f64, is_long: bool) -> LoadReport {
        // A delay below the minimum ends the series.
        self.last = is_long.then_some(PossibleDelay {
            received_at: now,
            value,
            is_confirmed: true,
        });
        LoadReport::Delay {
            delay: Duration::from_secs_f64(value / MS_PER_SECOND),
            load: self.load,
        }
    }

    fn record_load(&mut self, now: Instant, value: f64, may_begin_series: bool) {
        // The line before this one was not a delay but a load.
        if let Some(last) = self.last.filter(|last| !last.is_confirmed) {
            self.load = Some(last.value);
        }
        if may_begin_series {
            self.last = Some(PossibleDelay {
                received_at: now,
                value,
                is_confirmed: false,
            });
        } else {
            self.last = None;
            self.load = Some(value);
        }
    }
}

#[cfg(test)]
mod tests;
