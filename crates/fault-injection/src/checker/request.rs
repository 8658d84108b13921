//! Records of single requests, and figures over all requests.

use lupincrank_test_servers::observation::Answer;
use serde::Serialize;
use std::time::{Duration, Instant};

/// A request may still be answered this long after its timeout.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(600);

/// The checker's record of a request.
pub(super) struct RequestRecord {
    pub(super) node: usize,
    pub(super) sent_at: Instant,
    pub(super) timeout: Duration,
    pub(super) answer: Option<ReceivedAnswer>,
    pub(super) has_timed_out: bool,
    pub(super) was_closed_by_server: bool,
    /// The server of the last attempt.
    pub(super) server: Option<usize>,
}

/// An answer and when the client received it.
#[derive(Clone, Copy)]
pub(super) struct ReceivedAnswer {
    pub(super) at: Instant,
    pub(super) answer: Answer,
}

impl RequestRecord {
    /// Creates the record of a request that was sent at this instant.
    pub(super) fn new(node: usize, sent_at: Instant, timeout: Duration) -> RequestRecord {
        RequestRecord {
            node,
            sent_at,
            timeout,
            answer: None,
            has_timed_out: false,
            was_closed_by_server: false,
            server: None,
        }
    }

    fn due_at(&self) -> Instant {
        self.sent_at + self.timeout + LATE_ANSWER_GRACE
    }

    /// Returns when the connection ended without an answer or the answer became overdue, if either has happened.
    pub(super) fn unanswered_at(&self, now: Instant) -> Option<Instant> {
        match self.answer {
            Some(received) if received.answer == Answer::Closed => Some(received.at),
            Some(_) => None,
            None => (self.has_timed_out || now > self.due_at()).then(|| self.due_at()),
        }
    }
}

/// Totals of a run's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Number of requests.
    pub requests: u64,
    /// Requests without an answer although their node was running.
    pub unanswered: u64,
    /// Requests without an answer whose node was killed or frozen.
    pub lost: u64,
}

/// Setup times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct SetupTimes {
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl From<SetupTimes> for [f64; 3] {
    fn from(times: SetupTimes) -> [f64; 3] {
        [times.median_ms, times.p99_ms, times.max_ms]
    }
}
