//! The harness's records of requests, endpoints and timers.

use lupincrank_placement::{Endpoint, Outcome, RequestInfo, ServerId, Timer};

/// An attempt that the balancer started.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    pub server: ServerId,
    pub sent_at: u64,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    pub fn new(server: ServerId, sent_at: u64) -> AttemptRecord {
        AttemptRecord {
            server,
            sent_at,
            outcome: None,
        }
    }

    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns true if the server may have executed the request.
    pub fn is_possibly_executed(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_executed)
    }
}

/// A request from its arrival to its end.
#[derive(Debug)]
pub struct RequestRecord {
    pub deadline: u64,
    pub attempts: Vec<AttemptRecord>,
    pub is_established: bool,
    pub final_answer_count: u32,
    pub is_mid_flow: bool,
}

impl RequestRecord {
    pub fn new(info: &RequestInfo) -> RequestRecord {
        RequestRecord {
            deadline: info.deadline.0,
            attempts: vec![],
            is_established: false,
            final_answer_count: 0,
            is_mid_flow: info.is_mid_flow,
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(AttemptRecord::is_in_flight)
    }

    pub fn is_answered(&self) -> bool {
        self.final_answer_count > 0
    }
}

/// An endpoint as last delivered to the balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRecord {
    pub zone: u32,
    pub cell: u32,
    /// The time since which it is draining or removed; `None` while it accepts connections.
    pub leaving_since: Option<u64>,
}

impl EndpointRecord {
    /// Records an entry of the endpoint list. `is_serving` is true if the server accepts connections from now on.
    pub fn update(&mut self, entry: &Endpoint, is_serving: bool, now: u64) {
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.leaving_since = if is_serving {
            None
        } else {
            self.leaving_since.or(Some(now))
        };
    }
}

/// A timer that the balancer set; timers due at the same time fire in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingTimer {
    pub due_at: u64,
    pub sequence: u64,
    pub timer: Timer,
}
