//! Exponential backoff between attempts to connect to a node.

use std::time::{Duration, Instant};

/// The pause after the first failure. It doubles with each further failure.
const RECONNECT_BACKOFF_MIN: Duration = Duration::from_millis(200);
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// The limit on doublings, after which the pause exceeds the maximum anyway.
const MAX_DOUBLINGS: u32 = 6;

/// The failed attempts to connect to one node since the last success.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReconnectBackoff {
    retry_at: Instant,
    failure_count: u32,
}

impl ReconnectBackoff {
    /// Returns the state after one more failure. The pause is multiplied by `jitter`.
    pub(super) fn after_failure(previous: Option<ReconnectBackoff>, jitter: f64) -> Self {
        let earlier_failures = previous.map_or(0, |backoff| backoff.failure_count);
        let pause = RECONNECT_BACKOFF_MIN
            .saturating_mul(1 << earlier_failures.min(MAX_DOUBLINGS))
            .min(RECONNECT_BACKOFF_MAX)
            .mul_f64(jitter);
        ReconnectBackoff {
            retry_at: Instant::now() + pause,
            failure_count: earlier_failures + 1,
        }
    }

    /// Returns true if the pause is over.
    pub(super) fn may_retry(self, now: Instant) -> bool {
        now >= self.retry_at
    }
}

#[cfg(test)]
mod tests;
