//! A request from its complete first line until a server has accepted it or the client has an answer.

use crate::client::first_line::OpenRequest;
use crate::client::ClientSlot;
use crate::command::AttemptCommand;
use crate::handoff::request_claims::RequestClaim;
use crate::state::NodeContext;
use crate::upstream::forwarded_line::ForwardedLine;
use lupincrank_reactor::ComponentId;
use std::time::{Duration, Instant};

/// A complete first line with a request.
pub(super) struct ReceivedRequest {
    pub(super) open: OpenRequest,
    /// The first line as received, including its terminator.
    pub(super) line: Vec<u8>,
    pub(super) received_at: Instant,
}

impl ReceivedRequest {
    /// How long the client still waits.
    pub(super) fn time_left(&self) -> Duration {
        let waited = self.received_at.elapsed();
        self.open.time_budget.duration.saturating_sub(waited)
    }
}

/// A request that waits for a server.
pub(super) struct WaitingRequest {
    pub(super) open: OpenRequest,
    /// The first line as received, including its terminator.
    line: Vec<u8>,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// The latest attempt.
    pub(super) attempt: Option<ComponentId>,
    /// How many times the line of a restored connection may have been received by its server.
    pub(super) restore_sends: u32,
    pub(super) slot: ClientSlot,
    /// The claim of a restored connection's id; for other requests, placement holds it.
    pub(super) restore_claim: Option<RequestClaim>,
}

impl WaitingRequest {
    /// Creates a request whose client waits for `time_left`.
    pub(super) fn new(
        received: ReceivedRequest,
        time_left: Duration,
        slot: ClientSlot,
    ) -> WaitingRequest {
        WaitingRequest {
            open: received.open,
            line: received.line,
            deadline: Instant::now() + time_left,
            attempt: None,
            restore_sends: 0,
            slot,
            restore_claim: None,
        }
    }

    /// Returns true if the connection was established at a server before this process started: placement does not
    /// know about it.
    pub(super) fn is_restored(&self) -> bool {
        self.open.current_server.is_some()
    }

    /// The first line for a server, without the time that the client wrote.
    pub(super) fn forwarded_line(&self) -> ForwardedLine {
        let digits = &self.open.time_budget.digits;
        ForwardedLine {
            before_time: self.line[..digits.start].to_vec(),
            after_time: self.line[digits.end..].to_vec(),
        }
    }

    pub(super) fn close_attempt(&self, context: &mut NodeContext) {
        if let Some(attempt) = self.attempt {
            context.send(attempt, AttemptCommand::Close);
        }
    }
}
