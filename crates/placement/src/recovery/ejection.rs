//! Ejection of one server: it receives no attempts for a while, then one attempt at a time while it is half-open.

use crate::Timestamp;
use std::time::Duration;

/// Consecutive failures that eject a server.
pub(crate) const EJECTION_FAILURES: u32 = 2;
/// The duration of the first ejection. Each further one lasts twice as long as the one before.
const EJECTION_BASE_DURATION: Duration = Duration::from_secs(1);
/// The upper bound of the duration, before the random factor.
const MAX_EJECTION_DURATION: Duration = Duration::from_secs(8);
const MAX_DURATION_DOUBLINGS: u32 = 3;
/// The minimum of the random factor by which the duration is multiplied.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// The width of the range of this factor.
const JITTER_FACTOR_RANGE: f64 = 0.5;

#[derive(Default)]
pub(crate) struct Ejection {
    pub(crate) consecutive_failures: u32,
    /// The number of ejections since the server started.
    pub(crate) count: u32,
    /// The end of the ejection. It stays set after that time until an attempt succeeds.
    pub(crate) until: Option<Timestamp>,
    /// An attempt is in flight that tests the server after its ejection.
    pub(crate) is_half_open: bool,
    /// The server is ejected because its whole zone is unreachable from this node.
    pub(crate) is_zone_unreachable: bool,
}

impl Ejection {
    /// Returns true if the ejection keeps attempts from the server.
    pub(crate) fn blocks(&self, now: Timestamp) -> bool {
        self.until
            .is_some_and(|until| now < until || self.is_half_open)
    }

    /// Returns true if the server has failed often enough to be ejected and is not ejected already.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES
            && self.until.is_none_or(|until| now >= until)
    }

    /// Ejects the server, for longer each time. `jitter` is a random number from 0 to 1.
    pub(crate) fn eject(&mut self, now: Timestamp, jitter: f64) {
        let doublings = self.count.min(MAX_DURATION_DOUBLINGS);
        let duration = EJECTION_BASE_DURATION
            .mul_f64(f64::from(1u32 << doublings))
            .min(MAX_EJECTION_DURATION);
        let jittered = duration.mul_f64(MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * jitter);
        self.until = Some(now.saturating_add(jittered));
        self.count += 1;
    }

    /// Ejects the server at least until the given time.
    pub(crate) fn extend_until(&mut self, until: Timestamp) {
        self.until = self.until.max(Some(until));
    }

    /// Records an established connection, which ends the ejection.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.until = None;
        self.is_half_open = false;
    }

    /// Ends the ejection after the server's zone has become reachable again.
    pub(crate) fn end_zone_outage(&mut self) {
        self.is_zone_unreachable = false;
        self.until = None;
    }

    /// Discards all failures, as they concern an earlier process of the server.
    pub(crate) fn reset_for_new_process(&mut self) {
        self.consecutive_failures = 0;
        self.count = 0;
        self.until = None;
        self.is_zone_unreachable = false;
    }
}

#[cfg(test)]
mod tests;
