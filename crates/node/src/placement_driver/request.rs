//! A request from its first line to the end of its connection.

use super::command::Owner;
use crate::load_report::LoadReportClassifier;
use lupincrank_placement::{RequestId, RequestInfo, ServerId};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How many lines of one connection are remembered while nothing comes back for them. Guards against a client that sends
/// without end to a server that takes it and returns nothing.
const MAX_UNANSWERED_LINES: usize = 256;

/// A request's id as the protocol writes it.
pub(crate) fn hex_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// Its client waits for the answer.
    Waiting,
    /// Its client has left before the answer.
    Abandoned,
    /// Its connection is established.
    Established,
    /// Its connection is established and about to end: the client was told to migrate or has left.
    Closing,
}

/// A request that has not ended.
pub(super) struct ActiveRequest {
    /// The component that answers its client.
    pub(super) owner: Owner,
    /// When its client stops waiting.
    pub(super) deadline: Instant,
    /// The attempts made so far.
    pub(super) attempt_count: u32,
    /// The server of the attempt in flight or of the established connection.
    pub(super) server: Option<ServerId>,
    /// When the latest attempt began.
    pub(super) attempt_started_at: Instant,
    /// Whether the latest attempt's line was released for sending: from then on it may have been executed.
    pub(super) was_sent: bool,
    /// How far it is.
    pub(super) phase: RequestPhase,
    /// As it came.
    pub(super) info: RequestInfo,
    /// Its load as last reported, in microseconds of work a second.
    pub(super) load: Option<f64>,
    /// When each line of the client was forwarded that nothing has come back for yet.
    unanswered_lines: VecDeque<Instant>,
    /// Tells loads and delays among the numbers that its server reports.
    pub(super) load_reports: LoadReportClassifier,
}

/// What an established connection needs to go on in another process of this node.
pub(crate) struct EstablishedConnection<'a> {
    /// Its request.
    pub(crate) request: &'a RequestInfo,
    /// Its server.
    pub(crate) server: &'a ServerId,
    /// Its load as last reported, in microseconds of work a second.
    pub(crate) load: Option<f64>,
    /// When each line of the client was forwarded that nothing has come back for yet.
    pub(crate) unanswered_lines: &'a VecDeque<Instant>,
}

impl ActiveRequest {
    /// A request whose client waits until the deadline.
    pub(super) fn new(owner: Owner, info: RequestInfo, deadline: Instant) -> ActiveRequest {
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
        }
    }

    /// Whether its connection is established, be it about to end.
    pub(super) fn has_connection(&self) -> bool {
        matches!(
            self.phase,
            RequestPhase::Established | RequestPhase::Closing
        )
    }

    /// Whether nobody waits for it any more.
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, RequestPhase::Abandoned | RequestPhase::Closing)
    }

    /// The number of the latest attempt, counted from zero.
    pub(super) fn attempt_number(&self) -> u32 {
        self.attempt_count.saturating_sub(1)
    }

    /// An attempt begins.
    pub(super) fn start_attempt(&mut self, server: ServerId) {
        self.attempt_count += 1;
        self.server = Some(server);
        self.attempt_started_at = Instant::now();
        self.was_sent = false;
    }

    /// The attempt in flight has been accepted.
    pub(super) fn establish(&mut self) {
        self.phase = if self.is_finished() {
            RequestPhase::Closing
        } else {
            RequestPhase::Established
        };
    }

    /// Nobody waits for it any more.
    pub(super) fn finish(&mut self) {
        self.phase = if self.has_connection() {
            RequestPhase::Closing
        } else {
            RequestPhase::Abandoned
        };
    }

    /// The attempt in flight or the connection has ended.
    pub(super) fn end_attempt(&mut self) {
        self.server = None;
        self.phase = if self.is_finished() {
            RequestPhase::Abandoned
        } else {
            RequestPhase::Waiting
        };
        self.unanswered_lines.clear();
    }

    /// A line of the client is forwarded.
    pub(super) fn push_line(&mut self) {
        if self.unanswered_lines.len() < MAX_UNANSWERED_LINES {
            self.unanswered_lines.push_back(Instant::now());
        }
    }

    /// A line has come back; when the line that it answers was forwarded.
    pub(super) fn pop_line(&mut self) -> Option<Instant> {
        self.unanswered_lines.pop_front()
    }

    /// When the oldest line was forwarded that nothing has come back for.
    pub(super) fn oldest_unanswered_line(&self) -> Option<Instant> {
        self.unanswered_lines.front().copied()
    }

    /// How long the oldest unanswered line has waited; zero without one.
    pub(super) fn unanswered_for(&self, now: Instant) -> Duration {
        self.oldest_unanswered_line()
            .map_or(Duration::ZERO, |sent_at| now - sent_at)
    }

    /// Goes on where another process left off.
    pub(super) fn resume(&mut self, load: Option<f64>, unanswered_lines: VecDeque<Instant>) {
        self.load = load;
        self.unanswered_lines = unanswered_lines;
        self.unanswered_lines.truncate(MAX_UNANSWERED_LINES);
    }

    /// What another process needs to go on with the connection; `None` where there is none, or it is about to end.
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
