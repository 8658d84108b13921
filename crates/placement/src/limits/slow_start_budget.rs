//! One node's budget of attempts on servers in slow start: an estimate of their capacity and, if the nodes share a
//! fleet-wide budget, the node's lease on a share of it.

use crate::{SlowStartLease, Timestamp};
use std::collections::VecDeque;

/// Unused attempts that all nodes together may accumulate for a server in slow start.
pub(crate) const SAVED_ATTEMPTS: f64 = 3.0;
/// Maximum number of attempts remembered for one window. The limit of a lease is capped to it.
const MAX_REMEMBERED_ATTEMPTS: u32 = 1 << 16;

/// A node's usage of the fleet-wide budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartUsage {
    /// The most attempts in any window.
    pub max_attempts_in_window: u32,
    /// Whether a request arrived while the lease was the only reason to refuse an attempt.
    pub was_exhausted: bool,
}

/// This node's share of the fleet's slow-start budget: a refilled estimate, further bounded by a lease if there is one.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    attempts: f64,
    /// The budget allows an attempt while `attempts` is above this. Redrawn at random after each attempt, so that
    /// fractions of an attempt at many nodes add up to the right total.
    threshold: f64,
    lease: Option<SlowStartLease>,
    /// The attempts of the last window, if there is a lease.
    recent_attempts: VecDeque<Timestamp>,
    /// Whether the lease is used up and the only reason to refuse an attempt.
    is_exhausted: bool,
    usage: MaxUsage,
}

/// Usage since the last call of [`SlowStartBudget::take_usage`].
#[derive(Default)]
struct MaxUsage {
    max_attempts_in_window: usize,
    was_exhausted: bool,
}

impl SlowStartBudget {
    /// An empty budget.
    pub(crate) fn new(threshold: f64) -> SlowStartBudget {
        SlowStartBudget {
            threshold,
            ..SlowStartBudget::default()
        }
    }

    /// Unused attempts on one server that this node may accumulate. The sum over all nodes does not depend on their
    /// number: otherwise hundreds of nodes could each spend a saved attempt at the same moment.
    pub(crate) fn saved_per_node(&self, now: Timestamp, node_count: u32) -> f64 {
        match &self.lease {
            Some(lease) if is_valid(lease, now) => SAVED_ATTEMPTS * lease.fleet_share,
            _ => SAVED_ATTEMPTS / f64::from(node_count.max(1)),
        }
    }

    /// Replaces the lease. Without one, the node's share follows from the number of nodes alone.
    pub(crate) fn set_lease(&mut self, lease: Option<SlowStartLease>) {
        if lease.is_none() {
            self.recent_attempts.clear();
        }
        self.lease = lease;
    }

    /// Attempts that may be started.
    pub(crate) fn attempts(&self) -> f64 {
        self.attempts
    }

    pub(crate) fn add(&mut self, attempts: f64) {
        self.attempts += attempts;
    }

    /// Adds attempts, up to a total of `max_attempts`.
    pub(crate) fn refill(&mut self, attempts: f64, max_attempts: f64) {
        self.attempts = (self.attempts + attempts).min(max_attempts);
    }

    /// Charges one attempt. `next_threshold` is drawn from 0 to 1.
    pub(crate) fn spend(&mut self, now: Timestamp, next_threshold: f64) {
        self.attempts -= 1.0;
        self.threshold = next_threshold;
        if self.lease.is_some() {
            self.recent_attempts.push_back(now);
            self.usage.max_attempts_in_window = self
                .usage
                .max_attempts_in_window
                .max(self.recent_attempts.len());
        }
    }

    /// Records that requests look for a server, which the next usage reports if the lease is exhausted.
    pub(crate) fn record_demand(&mut self) {
        self.usage.was_exhausted |= self.is_exhausted;
    }

    /// Returns the usage since the last call.
    pub(crate) fn take_usage(&mut self) -> SlowStartUsage {
        let recent_count = self.recent_attempts.len();
        let next_usage = MaxUsage {
            max_attempts_in_window: recent_count,
            was_exhausted: false,
        };
        let usage = std::mem::replace(&mut self.usage, next_usage);
        let max_attempts = usage.max_attempts_in_window.max(recent_count);
        SlowStartUsage {
            max_attempts_in_window: u32::try_from(max_attempts).unwrap_or(u32::MAX),
            was_exhausted: usage.was_exhausted,
        }
    }

    /// Returns true if the budget allows an attempt on a server in slow start. Of an expired lease only the floor
    /// remains: the expiry is checked here, before each attempt, so that a process that was frozen cannot use an
    /// expired lease.
    pub(crate) fn allows_attempt(&mut self, now: Timestamp) -> bool {
        let has_budget = self.attempts > self.threshold;
        let Some(lease) = &self.lease else {
            return has_budget;
        };
        let is_outside_window =
            |sent_at: &Timestamp| now.saturating_duration_since(*sent_at) >= lease.window;
        while self.recent_attempts.front().is_some_and(is_outside_window) {
            self.recent_attempts.pop_front();
        }
        let max_attempts = if is_valid(lease, now) {
            lease.limit
        } else {
            lease.floor
        };
        let max_attempts = max_attempts.min(MAX_REMEMBERED_ATTEMPTS) as usize;
        self.is_exhausted = has_budget && self.recent_attempts.len() >= max_attempts;
        has_budget && !self.is_exhausted
    }

    /// Returns true if there is a lease. With one, attempts may become available between two upkeeps.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease.is_some()
    }
}

fn is_valid(lease: &SlowStartLease, now: Timestamp) -> bool {
    lease.expires_at.is_some_and(|expiry| now < expiry)
}

#[cfg(test)]
mod tests;
