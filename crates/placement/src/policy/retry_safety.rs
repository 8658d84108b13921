//! Rules on whether and where a request may be retried, and the timeout of an attempt.

use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::{IdempotencyScope, RetrySafety, Timestamp};
use std::time::Duration;

/// Fraction of the setup objective after which the first attempt times out.
const ATTEMPT_TIMEOUT_RATIO: f64 = 0.4;
/// The minimum timeout of a first attempt, as a multiple of the mean setup time.
const MIN_TIMEOUT_PER_MEAN_SETUP: f64 = 4.0;
/// The number of attempts after which the timeout stops doubling.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;

impl RequestState {
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempt_count < self.max_attempts
    }

    /// Returns the timeout of the next attempt: short enough that another attempt fits into the setup objective,
    /// longer if setups are slow in the whole fleet, and the time to the deadline if no further attempt is possible
    /// or the class has no objective.
    pub(crate) fn attempt_timeout(&self, now: Timestamp, mean_setup_seconds: f64) -> Duration {
        let remaining = self.deadline.saturating_duration_since(now);
        let Some(class) = self.class_rules else {
            return remaining;
        };
        let is_last = self.attempt_count + 1 >= self.max_attempts
            || class.retry_safety == RetrySafety::NotIdempotent;
        if is_last || class.setup_objective.is_zero() {
            return remaining;
        }
        let first_timeout = (class.setup_objective.as_secs_f64() * ATTEMPT_TIMEOUT_RATIO)
            .max(MIN_TIMEOUT_PER_MEAN_SETUP * mean_setup_seconds);
        let doublings = self.attempt_count.min(MAX_TIMEOUT_DOUBLINGS);
        Duration::from_secs_f64(first_timeout * f64::from(1u32 << doublings)).min(remaining)
    }

    /// Returns true if another attempt is allowed, given that an earlier one may have been executed.
    pub(crate) fn may_retry(&self) -> bool {
        self.possible_execution.is_none() || self.retry_safety() != Some(RetrySafety::NotIdempotent)
    }

    /// Returns true if the request may be sent to this server, given that an earlier attempt may have been executed.
    pub(crate) fn may_retry_on(&self, now: Timestamp, server: &Server) -> bool {
        let Some(execution) = self.possible_execution else {
            return true;
        };
        match self.retry_safety() {
            Some(RetrySafety::IdempotencyKey { scope, window }) => {
                let is_in_scope = match scope {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => execution.zone == server.zone,
                    IdempotencyScope::Cell => execution.cell == server.cell,
                };
                is_in_scope && now.saturating_duration_since(execution.sent_at) < window
            }
            Some(RetrySafety::NotIdempotent) => false,
            Some(RetrySafety::Idempotent) | None => true,
        }
    }

    /// Returns true if the client may be asked to retry: nothing may have been executed, or a repetition is harmless.
    pub(crate) fn may_be_rejected(&self) -> bool {
        match self.retry_safety() {
            Some(
                RetrySafety::Idempotent
                | RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                },
            ) => true,
            _ => self.possible_execution.is_none(),
        }
    }

    fn retry_safety(&self) -> Option<RetrySafety> {
        self.class_rules.map(|class| class.retry_safety)
    }
}

#[cfg(test)]
mod tests;
