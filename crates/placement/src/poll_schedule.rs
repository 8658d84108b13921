//! Schedules a node's calls to service discovery, so that the calls of all nodes together stay within its capacity.
//!
//! Discovery has a fixed capacity. Calls that wait too long for it fail and are retried, so beyond that capacity every
//! call is made twice or more and none is answered: 100 nodes that retried 61 failed calls after 0.25 s to 0.75 s
//! received no answer for ten seconds. The schedule therefore spreads calls over a time proportional to the number of
//! nodes, both at the start, when all nodes begin together, and after a failure, which most of them notice together.

use std::time::Duration;

/// Target for the call rate of the whole fleet, in calls per second. Small discovery deployments answer about 20.
const MAX_FLEET_CALLS_PER_SECOND: f64 = 20.0;

/// Mean delay of the first retry, in seconds. It doubles with each further failure.
const FIRST_RETRY_MEAN_SECONDS: f64 = 0.5;

/// Upper bound of the mean retry delay, in seconds, for fleets whose calls need no wider spread: endpoint changes must
/// not be delayed much longer.
const MAX_RETRY_MEAN_SECONDS: f64 = 2.0;

/// Lower bound of the first retry's delay, in seconds.
const MIN_FIRST_RETRY_SECONDS: f64 = 0.25;

/// Upper bound of a retry's delay, relative to its mean.
const MAX_DELAY_TO_MEAN_RATIO: f64 = 1.5;

/// Maximum number of doublings of the mean delay, which reaches its upper bound well before that.
const MAX_DOUBLINGS: i32 = 8;

/// Upper bound of any delay, in seconds, whatever the number of nodes and failures. Endpoint changes must be received
/// within 6 s after discovery is reachable again, and a call may have to wait in its queue. Within this bound, 300
/// nodes make at most 72 calls per second while discovery is down, and 2,100 nodes make 510.
const MAX_SPREAD_SECONDS: f64 = 4.5;

/// Maximum ratio of the lower to the upper bound of a later retry's delay. Delays between such close bounds preserve
/// the spread that nodes had after the first failure, except for the remaining fraction.
const MAX_MIN_DELAY_RATIO: f64 = 0.85;

/// Fleets whose spread is at most this, in seconds, call without delay after a start or a stalled watch.
const NEGLIGIBLE_SPREAD_SECONDS: f64 = 0.25;

/// Upper bound of the delay after the endpoint watch stalled, in seconds. Changes that the watch missed must be
/// received within 6 s after it stalled, and half of that time has passed when the stall is detected.
const MAX_STALLED_WATCH_SPREAD_SECONDS: f64 = 1.0;

/// Time since the last contact with discovery after which changes that the node missed are overdue in any case, so that
/// an earlier call does not help.
const CONTACT_OVERDUE_AFTER: Duration = Duration::from_millis(5250);

/// Minimum time before another call is made beside an unanswered one, which may be queued at a busy discovery service.
const MIN_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between calls while discovery accepts calls but answers none. All calls made before discovery recovers may be
/// lost; with this interval, another one follows soon enough to be answered in time.
const REPEATED_CALL_INTERVAL: Duration = Duration::from_secs(4);

/// The time for which a call may be unanswered before another one is made beside it.
///
/// The unanswered call is kept open: it may be queued, and replacing queued calls by later ones would overload a
/// discovery service that is merely busy.
///
/// `since_contact` is the time from the last contact to the call. A contact is a complete message from discovery, or a
/// call that discovery refused, failed or closed. If a call is made 0 s to 4.5 s after a contact, the next one is due
/// 4 s to 5.5 s after that contact, in the same order, so nodes that lost contact together stay spread. The interval is
/// constant with `has_earlier_call`, that is, if another unanswered call is already open, or if changes are overdue
/// anyway.
pub fn unanswered_call_timeout(since_contact: Duration, has_earlier_call: bool) -> Duration {
    if has_earlier_call || since_contact > CONTACT_OVERDUE_AFTER {
        return REPEATED_CALL_INTERVAL;
    }
    // Subtracting two thirds compresses the 4.5 s over which calls are spread to 1.5 s.
    let elapsed = since_contact * 2 / 3;
    REPEATED_CALL_INTERVAL
        .saturating_sub(elapsed)
        .max(MIN_CALL_TIMEOUT)
}

/// Returns true if a failed connection attempt to discovery is retried without delay, which holds while changes that
/// the node may have missed are not overdue. Each attempt takes more than a second, so there are few such retries.
pub fn reconnects_immediately(since_contact: Duration) -> bool {
    since_contact <= CONTACT_OVERDUE_AFTER
}

/// The call schedule of one node.
///
/// Its methods take `random`, a random number from 0 to 1 drawn by the caller, so that the schedule itself is
/// deterministic.
pub struct PollSchedule {
    /// The time over which the fleet's calls are spread, in seconds.
    spread_seconds: f64,
    /// Failed calls since the last answer.
    consecutive_failures: i32,
}

/// Bounds of a delay, in seconds.
struct DelayBounds {
    min: f64,
    max: f64,
}

impl DelayBounds {
    fn interpolate(&self, random: f64) -> Duration {
        Duration::from_secs_f64(self.min + (self.max - self.min) * random)
    }
}

impl PollSchedule {
    /// Creates the schedule of one node in a fleet of `node_count`.
    pub fn new(node_count: u32) -> PollSchedule {
        let mut schedule = PollSchedule {
            spread_seconds: 0.0,
            consecutive_failures: 0,
        };
        schedule.set_node_count(node_count);
        schedule
    }

    /// Changes the size of the fleet. Delays that were already returned are unaffected.
    pub fn set_node_count(&mut self, node_count: u32) {
        let spread_seconds = f64::from(node_count) / MAX_FLEET_CALLS_PER_SECOND;
        self.spread_seconds = spread_seconds.min(MAX_SPREAD_SECONDS);
    }

    /// Delay of the first call after a start, when the endpoint list is cached and all nodes may have started together.
    /// Zero in a small fleet.
    pub fn initial_delay(&self, random: f64) -> Duration {
        Duration::from_secs_f64(self.significant_spread_seconds() * random)
    }

    /// Records that a call failed or the endpoint watch was closed, and returns the delay of the next call.
    pub fn retry_delay(&mut self, random: f64) -> Duration {
        let bounds = if self.consecutive_failures == 0 {
            self.first_retry_bounds()
        } else {
            self.later_retry_bounds()
        };
        self.consecutive_failures += 1;
        bounds.interpolate(random)
    }

    /// Delay of the call that replaces a stalled endpoint watch. Zero in a small fleet.
    ///
    /// A stall does not count as a failure: discovery may be healthy, and nodes whose watches stalled together detect
    /// it at different times, spread over the interval between two keep-alives.
    pub fn stalled_watch_delay(&self, random: f64) -> Duration {
        let spread_seconds = self
            .significant_spread_seconds()
            .min(MAX_STALLED_WATCH_SPREAD_SECONDS);
        Duration::from_secs_f64(spread_seconds * random)
    }

    /// Records that an endpoint list was received. A cached list does not show that discovery answers.
    pub fn record_answer(&mut self, is_cached: bool) {
        if !is_cached {
            self.consecutive_failures = 0;
        }
    }

    fn significant_spread_seconds(&self) -> f64 {
        if self.spread_seconds <= NEGLIGIBLE_SPREAD_SECONDS {
            0.0
        } else {
            self.spread_seconds
        }
    }

    /// Bounds that spread the first retries evenly, because the calls of most nodes fail together.
    fn first_retry_bounds(&self) -> DelayBounds {
        let unspread_max = FIRST_RETRY_MEAN_SECONDS * MAX_DELAY_TO_MEAN_RATIO;
        DelayBounds {
            min: MIN_FIRST_RETRY_SECONDS,
            max: self.spread_seconds.max(unspread_max),
        }
    }

    /// Bounds of exponential backoff around the fleet's spread, narrow enough for nodes to stay spread.
    fn later_retry_bounds(&self) -> DelayBounds {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff = FIRST_RETRY_MEAN_SECONDS * 2f64.powi(doublings);
        let mean = backoff.min(MAX_RETRY_MEAN_SECONDS).max(self.spread_seconds);
        let max = (mean * MAX_DELAY_TO_MEAN_RATIO).min(MAX_SPREAD_SECONDS);
        DelayBounds {
            min: (2.0 * mean - max).min(max * MAX_MIN_DELAY_RATIO),
            max,
        }
    }
}

#[cfg(test)]
mod tests;
