//! What `LOAD X` lines say. Most are a connection's load in microseconds of work a second. But a transcriber whose
//! messages take long also sends, once a second on one connection of each node, the milliseconds that a message takes
//! there, in a line of the same form, and once more when that is over. Taken for loads they say that a crowded
//! transcriber carries next to nothing. Nothing but their pace tells them apart: loads change every few seconds.

use std::time::{Duration, Instant};

/// Delays come this far apart, give or take.
const PACE: Duration = Duration::from_secs(1);
const PLAY: Duration = Duration::from_millis(30);
/// No message takes longer; a larger number is a load.
const LONGEST_MS: f64 = 20_000.0;

/// What one line said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at this transcriber. What was taken for the load since was not one: it is `load`.
    Delay {
        /// The delay.
        delay: Duration,
        /// The load as it was before, if one was told.
        load: Option<f64>,
    },
}

/// A line that may have been the first of a series, or is the latest of one.
#[derive(Clone, Copy, Debug)]
struct Last {
    at: Instant,
    value: f64,
    /// It is of a series.
    sure: bool,
}

/// The lines of one connection.
#[derive(Debug, Default)]
pub struct LoadLines {
    last: Option<Last>,
    /// The load as told before that line.
    load: Option<f64>,
}

impl LoadLines {
    /// Takes a line's number in. Only a delay over `least` is told in a series.
    pub fn take(&mut self, now: Instant, value: f64, least: Duration) -> Told {
        let since = self
            .last
            .map(|last| (last, now.saturating_duration_since(last.at)));
        let paced = since.is_some_and(|(_, since)| since + PLAY >= PACE && since <= PACE + PLAY);
        let long = value / 1e3 > least.as_secs_f64();
        let may_be = value <= LONGEST_MS;
        if paced && may_be && (long || self.last.is_some_and(|last| last.sure)) {
            // One that is back under the least ends the series.
            self.last = long.then_some(Last {
                at: now,
                value,
                sure: true,
            });
            return Told::Delay {
                delay: Duration::from_secs_f64(value / 1e3),
                load: self.load,
            };
        }
        match since {
            // A load told while a series goes on.
            Some((last, since)) if last.sure && since <= PACE + PLAY => self.load = Some(value),
            _ => {
                self.load = self
                    .last
                    .filter(|last| !last.sure)
                    .map_or(self.load, |last| Some(last.value));
                self.last = (may_be && long).then_some(Last {
                    at: now,
                    value,
                    sure: false,
                });
                if self.last.is_none() {
                    self.load = Some(value);
                }
            }
        }
        Told::Load(value)
    }
}

#[cfg(test)]
mod tests;
