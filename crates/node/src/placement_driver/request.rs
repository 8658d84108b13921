//! A request from its first line to the end of its connection.

use super::command::Owner;
use crate::handoff::request_claims::RequestClaim;
use crate::load_report::LoadReportClassifier;
use lupincrank_placement::{RequestId, RequestInfo, ServerId};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum number of unanswered lines recorded for a connection. Guards against a client that sends without end
/// to a server that accepts all of it and replies to nothing.
const MAX_UNANSWERED_LINES: usize = 256;

/// Formats a request id as on the wire.
pub(crate) fn hex_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// The client waits for the answer.
    Waiting,
    /// The client disconnected before the answer.
    Abandoned,
    /// The connection is established.
    Established,
    /// The connection is established and about to end: the client was asked to reconnect or has disconnected.
    Closing,
}

/// A request that has not ended.
pub(super) struct ActiveRequest {
    /// The component that answers the client.
    pub(super) owner: Owner,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// The number of attempts so far.
    pub(super) attempt_count: u32,
    /// The server of the attempt in flight or of the established connection.
    pub(super) server: Option<ServerId>,
    /// When the latest attempt started.
    pub(super) attempt_started_at: Instant,
    /// Whether the latest attempt was allowed to send its first line: from then on the request may have been
    /// executed.
    pub(super) was_sent: bool,
    /// The request's phase.
    pub(super) phase: RequestPhase,
    /// The request as received.
    pub(super) info: RequestInfo,
    /// The load as last reported, in microseconds of work per second.
    pub(super) load: Option<f64>,
    /// When each unanswered line of the client was forwarded, oldest first.
    unanswered_lines: VecDeque<Instant>,
    /// Distinguishes loads from delays in the numbers that the server reports.
    pub(super) load_reports: LoadReportClassifier,
    /// Held until the request has ended.
    pub(super) claim: RequestClaim,
}

/// The state that another process of this node needs to continue an established connection.
pub(crate) struct EstablishedConnection<'a> {
    /// The request.
    pub(crate) request: &'a RequestInfo,
    /// The server.
    pub(crate) server: &'a ServerId,
    /// The load as last reported, in microseconds of work per second.
    pub(crate) load: Option<f64>,
    /// When each unanswered line of the client was forwarded, oldest first.
    pub(crate) unanswered_lines: &'a VecDeque<Instant>,
}

impl ActiveRequest {
    /// Creates a request whose client waits until the deadline.
    pub(super) fn new(
        owner: Owner,
        info: RequestInfo,
        deadline: Instant,
        claim: RequestClaim,
    ) -> ActiveRequest {
        ActiveRequest {
            owner,
            deadline,
            attempt_count: 0,
            server: None,
            attempt_started_at: Instant::now(),
            was_sent: false,
            phase: RequestPhase::Waiting,
            info,
            load: None,
            unanswered_lines: VecDeque::new(),
            load_reports: LoadReportClassifier::default(),
            claim,
        }
    }

    /// Returns true if the connection is established, even if it is about to end.
    pub(super) fn has_connection(&self) -> bool {
        matches!(
            self.phase,
            RequestPhase::Established | RequestPhase::Closing
        )
    }

    /// Returns true if the client has disconnected or was asked to reconnect.
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, RequestPhase::Abandoned | RequestPhase::Closing)
    }

    /// The number of the latest attempt, counted from zero.
    pub(super) fn attempt_number(&self) -> u32 {
        self.attempt_count.saturating_sub(1)
    }

    /// Records the start of an attempt.
    pub(super) fn start_attempt(&mut self, server: ServerId) {
        self.attempt_count += 1;
        self.server = Some(server);
        self.attempt_started_at = Instant::now();
        self.was_sent = false;
    }

    /// Records that the attempt in flight was accepted.
    pub(super) fn establish(&mut self) {
        self.claim.record_established();
        self.phase = if self.is_finished() {
            RequestPhase::Closing
        } else {
            RequestPhase::Established
        };
    }

    /// Records that the client has disconnected or was asked to reconnect.
    pub(super) fn finish(&mut self) {
        self.phase = if self.has_connection() {
            RequestPhase::Closing
        } else {
            RequestPhase::Abandoned
        };
    }

    /// Records the end of the attempt in flight or of the connection.
    pub(super) fn end_attempt(&mut self) {
        self.server = None;
        self.phase = if self.is_finished() {
            RequestPhase::Abandoned
        } else {
            RequestPhase::Waiting
        };
        self.unanswered_lines.clear();
    }

    /// Records that a line of the client was forwarded.
    pub(super) fn push_line(&mut self) {
        if self.unanswered_lines.len() < MAX_UNANSWERED_LINES {
            self.unanswered_lines.push_back(Instant::now());
        }
    }

    /// Records a reply. Returns when the line that it answers was forwarded.
    pub(super) fn pop_line(&mut self) -> Option<Instant> {
        self.unanswered_lines.pop_front()
    }

    /// When the oldest unanswered line was forwarded.
    pub(super) fn oldest_unanswered_line(&self) -> Option<Instant> {
        self.unanswered_lines.front().copied()
    }

    /// The age of the oldest unanswered line; zero if there is none.
    pub(super) fn unanswered_for(&self, now: Instant) -> Duration {
        self.oldest_unanswered_line()
            .map_or(Duration::ZERO, |sent_at| now - sent_at)
    }

    /// Continues with the state of another process.
    pub(super) fn resume(&mut self, load: Option<f64>, unanswered_lines: VecDeque<Instant>) {
        self.load = load;
        self.unanswered_lines = unanswered_lines;
        self.unanswered_lines.truncate(MAX_UNANSWERED_LINES);
    }

    /// The state that another process needs to continue the connection; `None` if there is none, or it is about to
    /// end.
    pub(super) fn established_connection(&self) -> Option<EstablishedConnection<'_>> {
        if self.phase != RequestPhase::Established {
            return None;
        }
        Some(EstablishedConnection {
            request: &self.info,
            server: self.server.as_ref()?,
            load: self.load,
            unanswered_lines: &self.unanswered_lines,
        })
    }
}
