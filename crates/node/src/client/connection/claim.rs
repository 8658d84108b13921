//! A client's wait for a request id that another request has claimed: either the client is at fault, or it is back
//! before the process that held its former connection has noticed that this connection has ended.

use super::waiting_request::ReceivedRequest;
use super::{add_unidentified, ClientConnection, State};
use crate::client::answer;
use crate::client::first_line::{FirstLineError, OpenRequest};
use crate::client::unidentified::UnidentifiedEntry;
use crate::deadline::ClientDeadline;
use crate::handoff::claim_queries;
use crate::handoff::request_claims::{ClaimConflict, ClaimError, Repetition, RequestClaim};
use crate::placement_driver::hex_id;
use crate::state::NodeContext;
use lupincrank_reactor::Lifecycle;
use slog::debug;
use std::time::{Duration, Instant};

/// How long a client waits for an id while the process that has claimed it does not say whether it is still in use.
/// With the time for the first line it is below 3 s, in which every client must get an answer.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// The other process's answer that the id is in use counts from this long after the first line on. Before that it may be
/// out of date, since the kernel may deliver the close of the client's former connection later than the first line.
const LATE_CLOSE_TIME: Duration = Duration::from_millis(20);
/// Interval at which the id is claimed again, since a process that is terminating gives no answer.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A request whose id is in use.
pub(super) struct ClaimingRequest {
    received: ReceivedRequest,
    /// Who has claimed the id, as last seen.
    conflict: ClaimConflict,
    pub(super) entry: UnidentifiedEntry,
}

impl ClaimingRequest {
    /// Returns true if an answer that the id is in use counts.
    fn counts_reports(&self) -> bool {
        match self.conflict {
            ClaimConflict::ThisProcess(_) => true,
            ClaimConflict::OtherProcess => self.received.received_at.elapsed() >= LATE_CLOSE_TIME,
        }
    }
}

impl ClientConnection {
    /// Handles a complete first line with a request.
    pub(super) fn on_open(
        &mut self,
        context: &mut NodeContext,
        open: OpenRequest,
        line: Vec<u8>,
    ) -> Lifecycle {
        let received = ReceivedRequest {
            open,
            line,
            received_at: Instant::now(),
        };
        match self.claim(context, &received) {
            Ok(claim) => self.admit(context, received, claim),
            Err(ClaimError::InUse(conflict)) => self.begin_claiming(context, received, conflict),
            Err(ClaimError::Executed) => self.reject_executed(context),
        }
    }

    fn claim(
        &self,
        context: &NodeContext,
        received: &ReceivedRequest,
    ) -> Result<RequestClaim, ClaimError> {
        let open = &received.open;
        let repetition = Repetition::of_class(&context.config.settings, open.class);
        context.claims.claim(open.request, self.id, repetition)
    }

    /// Rejects a request whose id may have been executed: asking the client to retry would promise that it was not.
    fn reject_executed(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.reject_line(context, FirstLineError::RequestIdExecuted)
    }

    fn begin_claiming(
        &mut self,
        context: &mut NodeContext,
        received: ReceivedRequest,
        conflict: ClaimConflict,
    ) -> Lifecycle {
        let request = received.open.request;
        debug!(context.log, "request id claimed twice"; "conflict" => %conflict, "request" => hex_id(request));
        // The old entry among the unidentified connections is removed before the new one is added because both may
        // have the same key.
        self.state = State::Finished;
        let timeout = CLAIM_TIMEOUT.min(received.open.time_budget.duration);
        self.state = State::Claiming(ClaimingRequest {
            received,
            conflict,
            entry: add_unidentified(context, self.id, timeout),
        });
        self.ask_holder(context, conflict);
        self.schedule_claim_retry(context);
        Lifecycle::Continue
    }

    fn ask_holder(&mut self, context: &mut NodeContext, conflict: ClaimConflict) {
        if let State::Claiming(claiming) = &mut self.state {
            claiming.conflict = conflict;
            let request = claiming.received.open.request;
            claim_queries::ask(context, request, conflict, self.id);
        }
    }

    /// Handles the answer of the process that has claimed the id, which has looked whether its client is still there.
    pub(super) fn on_claim_report(
        &mut self,
        context: &mut NodeContext,
        is_in_use: bool,
    ) -> Lifecycle {
        let State::Claiming(claiming) = &self.state else {
            return Lifecycle::Continue;
        };
        if is_in_use && claiming.counts_reports() {
            return self.reject_line(context, FirstLineError::RequestIdInUse);
        }
        match self.claim_again(context) {
            Ok(lifecycle) => lifecycle,
            // The next retry asks again.
            Err(_) => Lifecycle::Continue,
        }
    }

    pub(super) fn on_claim_retry(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.claim_again(context) {
            Ok(lifecycle) => lifecycle,
            Err(conflict) => {
                self.ask_holder(context, conflict);
                self.schedule_claim_retry(context);
                Lifecycle::Continue
            }
        }
    }

    /// Claims the id again and continues with the request if that succeeds, or rejects it if it may have been executed.
    fn claim_again(&mut self, context: &mut NodeContext) -> Result<Lifecycle, ClaimConflict> {
        let State::Claiming(claiming) = &self.state else {
            return Ok(Lifecycle::Continue);
        };
        let claim = match self.claim(context, &claiming.received) {
            Ok(claim) => claim,
            Err(ClaimError::InUse(conflict)) => return Err(conflict),
            Err(ClaimError::Executed) => return Ok(self.reject_executed(context)),
        };
        context
            .deadlines
            .clear(self.id, ClientDeadline::ClaimRetry.into());
        let State::Claiming(claiming) = std::mem::replace(&mut self.state, State::Finished) else {
            return Ok(Lifecycle::Close);
        };
        Ok(self.admit(context, claiming.received, claim))
    }

    /// Handles a client whose wait is over: nobody has said whether the id is still in use. It may try again.
    pub(super) fn on_claim_timeout(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.answer(context, &answer::busy(Duration::ZERO))
    }

    fn schedule_claim_retry(&self, context: &mut NodeContext) {
        context.deadlines.set(
            self.id,
            ClientDeadline::ClaimRetry.into(),
            Instant::now() + CLAIM_RETRY_INTERVAL,
        );
    }
}
