//! What `LOAD X` lines say. Most are a connection's load in microseconds of work a second. But a server whose messages
//! take long also sends, once a second on one connection of each node, the milliseconds that a message takes there, in a
//! line of the same form, and once more when that is over. Taken for loads they say that an overloaded server carries
//! next to nothing. Nothing but their pace tells them apart: loads change every few seconds.

use std::time::{Duration, Instant};

/// Delays come this far apart, give or take the tolerance.
const DELAY_INTERVAL: Duration = Duration::from_secs(1);
const DELAY_INTERVAL_TOLERANCE: Duration = Duration::from_millis(30);
/// No message takes longer; a larger number is a load.
const MAX_DELAY_MS: f64 = 20_000.0;
const MS_PER_SECOND: f64 = 1e3;

/// What one line said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadReport {
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at this server. What was taken for the load since was not one: it is `load`.
    Delay {
        /// The delay.
        delay: Duration,
        /// The load as it was before, if one was reported.
        load: Option<f64>,
    },
}

/// A line that may have been the first of a series of delays, or is the latest of one.
#[derive(Clone, Copy, Debug)]
struct PossibleDelay {
    at: Instant,
    value: f64,
    /// Whether it is of a series.
    is_confirmed: bool,
}

/// Tells loads and delays among the numbers of one connection.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    last: Option<PossibleDelay>,
    /// The load as reported before that line.
    load: Option<f64>,
}

impl LoadReports {
    /// Records a line's number. Only a delay over `min_delay` is reported in a series.
    pub(crate) fn record(&mut self, now: Instant, value: f64, min_delay: Duration) -> LoadReport {
        let is_long = value / MS_PER_SECOND > min_delay.as_secs_f64();
        let may_be_delay = value <= MAX_DELAY_MS;
        let in_series = is_long || self.last.is_some_and(|last| last.is_confirmed);
        if may_be_delay && in_series && self.is_paced(now) {
            return self.record_delay(now, value, is_long);
        }
        if self.is_within_series(now) {
            self.load = Some(value);
        } else {
            self.record_load(now, value, may_be_delay && is_long);
        }
        LoadReport::Load(value)
    }

    /// Whether delays are that far apart as this line and the last one that may have been a delay.
    fn is_paced(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| {
            let since = now.saturating_duration_since(last.at);
            since + DELAY_INTERVAL_TOLERANCE >= DELAY_INTERVAL
                && since <= DELAY_INTERVAL + DELAY_INTERVAL_TOLERANCE
        })
    }

    /// Whether a series of delays goes on, so that what came between two of them is a load.
    fn is_within_series(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| {
            let since = now.saturating_duration_since(last.at);
            last.is_confirmed && since <= DELAY_INTERVAL + DELAY_INTERVAL_TOLERANCE
        })
    }

    fn record_delay(&mut self, now: Instant, value: f64, is_long: bool) -> LoadReport {
        // One that is back under the least ends the series.
        self.last = is_long.then_some(PossibleDelay {
            at: now,
            value,
            is_confirmed: true,
        });
        LoadReport::Delay {
            delay: Duration::from_secs_f64(value / MS_PER_SECOND),
            load: self.load,
        }
    }

    fn record_load(&mut self, now: Instant, value: f64, may_begin_series: bool) {
        // The line before this one was no delay: it was the load since then.
        if let Some(last) = self.last.filter(|last| !last.is_confirmed) {
            self.load = Some(last.value);
        }
        if may_begin_series {
            self.last = Some(PossibleDelay {
                at: now,
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
