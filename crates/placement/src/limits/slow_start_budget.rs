//! The budget of attempts on servers in slow start that one node has: its estimate of what they bear and, where the nodes
//! divide a budget among themselves, the lease that it holds on that.

use crate::{SlowStartLease, Timestamp};
use std::collections::VecDeque;

/// Attempts that all nodes together may have saved up for a server in slow start.
pub(crate) const SAVED_ATTEMPTS: f64 = 3.0;
/// The most attempts that are remembered of one window: a lease on more is cut down to this.
const MAX_REMEMBERED_ATTEMPTS: u32 = 1 << 16;

/// What a node has used of the budget that the fleet divides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartUsage {
    /// The most attempts in any window.
    pub max_attempts_in_window: u32,
    /// Whether a request came when the lease alone stood against one more attempt.
    pub was_exhausted: bool,
}

/// This node's part of the fleet's slow-start budget: an estimate that is refilled, or a lease while one is held.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    attempts: f64,
    /// Above this the budget allows an attempt. It is redrawn at random after each, so that the fractions of an attempt that
    /// many nodes have add up to the right number.
    threshold: f64,
    lease: Option<SlowStartLease>,
    /// The attempts of the last window, where there is a lease.
    recent_attempts: VecDeque<Timestamp>,
    /// The lease is used up, and is the only reason to refuse an attempt.
    is_exhausted: bool,
    usage: MaxUsage,
}

/// Usage since it was last asked for.
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

    /// How many unused attempts on one server this node may keep: the sum over all nodes is the same however many there
    /// are. Guards against hundreds of them that spend one saved attempt each at the same moment.
    pub(crate) fn saved_per_node(&self, now: Timestamp, node_count: u32) -> f64 {
        match &self.lease {
            Some(lease) if is_valid(lease, now) => SAVED_ATTEMPTS * lease.fleet_share,
            _ => SAVED_ATTEMPTS / f64::from(node_count.max(1)),
        }
    }

    /// From now on this lease holds, or none: then the number of nodes decides alone.
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

    /// Adds attempts, but never up to more than `max_attempts` in all.
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

    /// A request looks for a server.
    pub(crate) fn record_demand(&mut self) {
        self.usage.was_exhausted |= self.is_exhausted;
    }

    /// Usage since the last call.
    pub(crate) fn take_usage(&mut self) -> SlowStartUsage {
        let present_attempts = self.recent_attempts.len();
        let next_usage = MaxUsage {
            max_attempts_in_window: present_attempts,
            was_exhausted: false,
        };
        let usage = std::mem::replace(&mut self.usage, next_usage);
        let max_attempts = usage.max_attempts_in_window.max(present_attempts);
        SlowStartUsage {
            max_attempts_in_window: u32::try_from(max_attempts).unwrap_or(u32::MAX),
            was_exhausted: usage.was_exhausted,
        }
    }

    /// Whether the budget allows an attempt on a server in slow start now. An expired lease is none: its expiry is checked here,
    /// before anything is sent, so that a process that was frozen finds out in time.
    pub(crate) fn allows_attempt(&mut self, now: Timestamp) -> bool {
        let has_budget = self.attempts > self.threshold;
        let Some(lease) = &self.lease else {
            return has_budget;
        };
        let is_past = |sent_at: &Timestamp| now.saturating_duration_since(*sent_at) >= lease.window;
        while self.recent_attempts.front().is_some_and(is_past) {
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

    /// Whether there is a lease, and with it a moment between two upkeeps at which more may be sent.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease.is_some()
    }
}

fn is_valid(lease: &SlowStartLease, now: Timestamp) -> bool {
    lease.expires_at.is_some_and(|expiry| now < expiry)
}

#[cfg(test)]
mod tests;
