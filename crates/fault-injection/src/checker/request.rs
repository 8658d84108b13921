//! What is known of requests, and the figures of all of them.

use lupincrank_test_servers::observation::Answer;
use serde::Serialize;
use std::time::{Duration, Instant};

/// A request may still be answered so long after its timeout.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(600);

/// What is known of a request.
pub(super) struct RequestRecord {
    pub(super) node: usize,
    pub(super) sent_at: Instant,
    pub(super) timeout: Duration,
    pub(super) answer: Option<ReceivedAnswer>,
    pub(super) has_timed_out: bool,
    pub(super) was_closed_by_server: bool,
    /// The server of its last attempt.
    pub(super) server: Option<usize>,
}

/// An answer with its moment.
#[derive(Clone, Copy)]
pub(super) struct ReceivedAnswer {
    pub(super) at: Instant,
    pub(super) answer: Answer,
}

impl RequestRecord {
    /// A request that was sent just now.
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

    /// Since when it has no answer, if it should have one.
    pub(super) fn unanswered_at(&self, now: Instant) -> Option<Instant> {
        match self.answer {
            Some(received) if received.answer == Answer::Closed => Some(received.at),
            Some(_) => None,
            None => (self.has_timed_out || now > self.due_at()).then(|| self.due_at()),
        }
    }
}

/// Requests of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// All requests.
    pub requests: u64,
    /// Those without an answer though their node was running.
    pub unanswered: u64,
    /// Those that were lost with a node that was killed or frozen.
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
