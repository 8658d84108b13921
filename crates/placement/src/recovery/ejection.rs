//! The ejection of one server: nothing is sent there for a while, then one attempt at a time tries it out.

use crate::Timestamp;
use std::time::Duration;

/// Failures in a row, with no success between them, that eject a server.
pub(crate) const EJECTION_FAILURES: u32 = 2;
/// A first ejection lasts this long; each further one twice as long ...
const EJECTION_BASE_DURATION: Duration = Duration::from_secs(1);
/// ... up to this.
const MAX_EJECTION_DURATION: Duration = Duration::from_secs(8);
const MAX_DURATION_DOUBLINGS: u32 = 3;
/// The duration is multiplied with a random number of this range.
const MIN_JITTER_FACTOR: f64 = 0.75;
const JITTER_FACTOR_RANGE: f64 = 0.5;

#[derive(Default)]
pub(crate) struct Ejection {
    pub(crate) consecutive_failures: u32,
    /// How often the server was ejected since it started.
    pub(crate) count: u32,
    /// Set until an attempt succeeds, also when the moment has passed.
    pub(crate) until: Option<Timestamp>,
    /// An attempt tries the server out after its ejection.
    pub(crate) is_half_open: bool,
    /// The server is ejected with its whole zone, which cannot be reached from here.
    pub(crate) is_zone_unreachable: bool,
}

impl Ejection {
    /// Whether the ejection keeps attempts from the server now.
    pub(crate) fn blocks(&self, now: Timestamp) -> bool {
        self.until
            .is_some_and(|until| now < until || self.is_half_open)
    }

    /// Whether the server has failed often enough to be ejected, and is not ejected now.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES
            && self.until.is_none_or(|until| now >= until)
    }

    /// Ejects the server for longer each time. `jitter` is drawn from 0 to 1.
    pub(crate) fn eject(&mut self, now: Timestamp, jitter: f64) {
        let doublings = self.count.min(MAX_DURATION_DOUBLINGS);
        let duration = EJECTION_BASE_DURATION
            .mul_f64(f64::from(1u32 << doublings))
            .min(MAX_EJECTION_DURATION);
        let jittered = duration.mul_f64(MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * jitter);
        self.until = Some(now.saturating_add(jittered));
        self.count += 1;
    }

    /// Ejects the server at least until this moment.
    pub(crate) fn extend_until(&mut self, until: Timestamp) {
        self.until = self.until.max(Some(until));
    }

    /// A connection was established.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.until = None;
        self.is_half_open = false;
    }

    /// The server's zone can be reached again.
    pub(crate) fn end_zone_outage(&mut self) {
        self.is_zone_unreachable = false;
        self.until = None;
    }

    /// Evidence against another process of the server is void.
    pub(crate) fn reset_for_new_process(&mut self) {
        self.consecutive_failures = 0;
        self.count = 0;
        self.until = None;
        self.is_zone_unreachable = false;
    }
}

#[cfg(test)]
mod tests;
