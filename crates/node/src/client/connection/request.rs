//! A client's wait for a server, from the complete first line to the relay or the answer.

use super::{ClientConnection, State};
use crate::client::answer;
use crate::client::first_line::{FirstLineError, OpenRequest};
use crate::client::ClientSlot;
use crate::command::{AcceptedAttempt, AttemptCommand, ExitScope};
use crate::deadline::ClientDeadline;
use crate::handoff::request_claims::RequestClaim;
use crate::placement_driver::{hex_id, AttemptOrder, ClientState, InheritedConnection};
use crate::state::NodeContext;
use crate::upstream::attempt::{Attempt, UpstreamAttempt};
use crate::upstream::forwarded_line::ForwardedLine;
use crate::upstream::relay::Relay;
use lupincrank_placement::Outcome;
use lupincrank_reactor::{ComponentId, Lifecycle};
use slog::debug;
use std::time::{Duration, Instant};

/// Connections that were established before this process started are accepted for this long after its start.
const RESTORE_WINDOW: Duration = Duration::from_secs(60);
/// The line of a restored connection is sent at most this many times. Failed connects are retried at intervals of
/// [`RESTORE_BACKOFF`] for up to [`MAX_RESTORE_WAIT`]: the server may start late.
const MAX_RESTORE_SENDS: u32 = 3;
const RESTORE_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RESTORE_WAIT: Duration = Duration::from_secs(40);

/// A complete first line with a request.
pub(super) struct ReceivedRequest {
    pub(super) open: OpenRequest,
    /// The first line as received, including its terminator.
    pub(super) line: Vec<u8>,
    pub(super) received_at: Instant,
}

/// A request that waits for a server.
pub(super) struct WaitingRequest {
    open: OpenRequest,
    /// The first line as received, including its terminator.
    line: Vec<u8>,
    /// When the client stops waiting.
    deadline: Instant,
    /// The latest attempt.
    attempt: Option<ComponentId>,
    /// How many times the line of a restored connection may have been received by its server.
    restore_sends: u32,
    slot: ClientSlot,
    /// The claim of a restored connection's id; for other requests, placement holds it.
    restore_claim: Option<RequestClaim>,
}

impl WaitingRequest {
    /// Returns true if the connection was established at a server before this process started: placement does not
    /// know about it.
    fn is_restored(&self) -> bool {
        self.open.current_server.is_some()
    }

    /// The first line for a server, without the time that the client wrote.
    fn forwarded_line(&self) -> ForwardedLine {
        let digits = &self.open.time_budget.digits;
        ForwardedLine {
            before_time: self.line[..digits.start].to_vec(),
            after_time: self.line[digits.end..].to_vec(),
        }
    }

    fn close_attempt(&self, context: &mut NodeContext) {
        if let Some(attempt) = self.attempt {
            context.send(attempt, AttemptCommand::Close);
        }
    }
}

/// Counts another client, unless the limit of clients is reached. The client is counted before it is known whether it
/// exceeds the limit, because the other process may count one in the same moment.
fn acquire_slot(context: &NodeContext) -> Option<ClientSlot> {
    let max_clients = context.config.max_clients();
    if context.node_client_count() >= max_clients {
        return None;
    }
    let slot = ClientSlot::acquire(&context.client_count);
    (context.node_client_count() <= max_clients).then_some(slot)
}

/// Admission and start of a request.
impl ClientConnection {
    /// Starts a request whose id is claimed, unless it comes too late to be restored or the limit of clients is reached.
    pub(super) fn admit(
        &mut self,
        context: &mut NodeContext,
        received: ReceivedRequest,
        claim: RequestClaim,
    ) -> Lifecycle {
        let is_restored = received.open.current_server.is_some();
        if is_restored && context.started_at.elapsed() > RESTORE_WINDOW {
            return self.reject_line(context, FirstLineError::RestoredTooLate);
        }
        let Some(slot) = acquire_slot(context) else {
            debug!(context.log, "client limit reached"; "clients" => context.client_count.get());
            let retry_after = context.config.settings.max_retry_after / 2;
            return self.answer(context, &answer::busy(retry_after));
        };
        self.begin_request(context, received, slot, claim)
    }

    fn begin_request(
        &mut self,
        context: &mut NodeContext,
        received: ReceivedRequest,
        slot: ClientSlot,
        claim: RequestClaim,
    ) -> Lifecycle {
        let ReceivedRequest {
            open,
            line,
            received_at,
        } = received;
        context
            .deadlines
            .clear(self.id, ClientDeadline::Close.into());
        let request_info = open.request_info(context.config.has_groups);
        let time_budget = open
            .time_budget
            .duration
            .saturating_sub(received_at.elapsed());
        let is_restored = open.current_server.is_some();
        let wait = if is_restored {
            time_budget.min(MAX_RESTORE_WAIT)
        } else {
            time_budget
        };
        let (restore_claim, placement_claim) = if is_restored {
            (Some(claim), None)
        } else {
            (None, Some(claim))
        };
        self.state = State::Waiting(WaitingRequest {
            open,
            line,
            deadline: Instant::now() + wait,
            attempt: None,
            restore_sends: 0,
            slot,
            restore_claim,
        });
        let Some(claim) = placement_claim else {
            return self.restore(context);
        };
        context
            .placement
            .on_request(self.id, request_info, time_budget, claim);
        Lifecycle::Continue
    }
}

/// Attempts and their outcomes.
impl ClientConnection {
    /// Starts an attempt at the server that placement has chosen.
    pub(super) fn on_start_attempt(
        &mut self,
        context: &mut NodeContext,
        order: &AttemptOrder,
    ) -> Lifecycle {
        if !matches!(self.state, State::Waiting(_)) {
            return Lifecycle::Continue;
        }
        if self.read(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        self.begin_attempt(context, order);
        Lifecycle::Continue
    }

    fn begin_attempt(&mut self, context: &mut NodeContext, order: &AttemptOrder) {
        let State::Waiting(waiting) = &mut self.state else {
            return;
        };
        let attempt = Attempt {
            owner: self.id,
            request: order.request,
            address: order.address,
            line: waiting.forwarded_line(),
            deadline: order.deadline,
            is_restored: waiting.is_restored(),
        };
        let id = context.allocate_id();
        waiting.attempt = Some(id);
        UpstreamAttempt::begin(context, id, attempt);
    }

    /// Handles an attempt that is connected. The client's socket is read first, out of turn: the client may have
    /// disconnected, and if the CPU is overloaded the event that shows this may be queued behind many others. A
    /// request that no client waits for is not sent.
    pub(super) fn on_attempt_connected(
        &mut self,
        context: &mut NodeContext,
        attempt: ComponentId,
    ) -> Lifecycle {
        if !matches!(&self.state, State::Waiting(waiting) if waiting.attempt == Some(attempt)) {
            return Lifecycle::Continue;
        }
        let lifecycle = self.read(context);
        if lifecycle == Lifecycle::Continue && matches!(self.state, State::Waiting(_)) {
            context.send(attempt, AttemptCommand::SendFirstLine);
        }
        lifecycle
    }

    /// Handles a request that a server has accepted: both sockets go to a relay, which takes over the id of this
    /// component.
    pub(super) fn on_attempt_accepted(
        &mut self,
        context: &mut NodeContext,
        accepted: AcceptedAttempt,
    ) -> Lifecycle {
        if !matches!(self.state, State::Waiting(_)) {
            return Lifecycle::Continue;
        }
        let Some(client) = self.stream.take() else {
            return Lifecycle::Close;
        };
        let State::Waiting(waiting) = std::mem::replace(&mut self.state, State::Finished) else {
            return Lifecycle::Close;
        };
        match (&waiting.open.current_server, waiting.restore_claim) {
            (Some(server), Some(claim)) => {
                let inherited = InheritedConnection {
                    request: waiting.open.request_info(context.config.has_groups),
                    server,
                    claim,
                };
                context
                    .placement
                    .on_inherited_connection(self.id, inherited);
            }
            _ => context.placement.on_attempt_accepted(accepted.request),
        }
        Relay::begin(context, self.id, waiting.slot, client, accepted);
        Lifecycle::Close
    }

    /// Handles a request that a server has already served completely; `line` is its answer.
    pub(super) fn on_attempt_served(
        &mut self,
        context: &mut NodeContext,
        line: &[u8],
    ) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        if !waiting.is_restored() {
            context.placement.on_attempt_ended(
                waiting.open.request,
                Outcome::Served,
                ClientState::Answered,
            );
        }
        self.answer(context, line)
    }
}

/// Restoring of connections that were established at a server before this process started.
impl ClientConnection {
    /// Sends the request to the server that holds the connection.
    fn restore(&mut self, context: &mut NodeContext) -> Lifecycle {
        let State::Waiting(waiting) = &mut self.state else {
            return Lifecycle::Continue;
        };
        let current_server = waiting.open.current_server.as_deref();
        let address = current_server.and_then(|server| context.placement.available_address(server));
        let may_retry =
            waiting.restore_sends < MAX_RESTORE_SENDS && Instant::now() < waiting.deadline;
        let Some(address) = address.filter(|_| may_retry) else {
            return self.answer(context, &answer::busy(Duration::ZERO));
        };
        let order = AttemptOrder {
            request: waiting.open.request,
            address,
            deadline: waiting.deadline,
        };
        self.begin_attempt(context, &order);
        Lifecycle::Continue
    }

    /// Schedules another attempt, since the server did not accept the restored connection.
    pub(super) fn on_restore_failed(
        &mut self,
        context: &mut NodeContext,
        outcome: Outcome,
    ) -> Lifecycle {
        if let State::Waiting(waiting) = &mut self.state {
            waiting.attempt = None;
            waiting.restore_sends += u32::from(!outcome.proves_not_executed());
            context.deadlines.set(
                self.id,
                ClientDeadline::RestoreRetry.into(),
                Instant::now() + RESTORE_BACKOFF,
            );
        }
        Lifecycle::Continue
    }

    /// Starts the next attempt if the client still waits.
    pub(super) fn on_restore_retry(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.read(context) {
            Lifecycle::Continue => self.restore(context),
            Lifecycle::Close => Lifecycle::Close,
        }
    }
}

/// Answers without a server.
impl ClientConnection {
    /// Answers a request that placement has rejected.
    pub(super) fn on_rejected(
        &mut self,
        context: &mut NodeContext,
        retry_after: Duration,
    ) -> Lifecycle {
        self.answer_waiting(context, &answer::busy(retry_after))
    }

    /// Answers a request that has failed.
    pub(super) fn on_failed(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.answer_waiting(context, answer::ERROR)
    }

    /// Handles the exit of the process. Placement answers the requests that it knows, which do not include restored
    /// connections. If the line of a restored connection may have been sent, its server may already hold the
    /// connection, so it is not answered with a rejection.
    pub(super) fn on_exit(&mut self, context: &mut NodeContext, scope: ExitScope) -> Lifecycle {
        match &self.state {
            State::ReadingFirstLine(_) if scope == ExitScope::AllConnections => {
                self.on_expired(context)
            }
            State::Claiming(_) if scope == ExitScope::AllConnections => {
                self.on_claim_timeout(context)
            }
            State::Waiting(waiting) if waiting.is_restored() => {
                if waiting.attempt.is_some() {
                    self.on_failed(context)
                } else {
                    self.on_rejected(context, Duration::ZERO)
                }
            }
            _ => Lifecycle::Continue,
        }
    }

    /// Closes the attempt, if there is one, and answers the client.
    fn answer_waiting(&mut self, context: &mut NodeContext, answer: &[u8]) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        waiting.close_attempt(context);
        self.answer(context, answer)
    }

    /// Frees the file descriptor of an unidentified connection: a client that has sent nothing is rejected
    /// and closed at once.
    pub(super) fn on_close(&mut self, context: &mut NodeContext) -> Lifecycle {
        match &self.state {
            State::ReadingFirstLine(_) => {
                let lifecycle = self.read(context);
                let has_sent_nothing = matches!(&self.state,
                    State::ReadingFirstLine(reading) if reading.received.is_empty());
                if lifecycle == Lifecycle::Continue && has_sent_nothing {
                    self.write_final_answer(&answer::busy(Duration::ZERO));
                    return Lifecycle::Close;
                }
                match lifecycle {
                    Lifecycle::Continue => self.on_expired(context),
                    Lifecycle::Close => Lifecycle::Close,
                }
            }
            State::Claiming(_) => {
                self.write_final_answer(&answer::busy(Duration::ZERO));
                Lifecycle::Close
            }
            State::Waiting(_) => Lifecycle::Continue,
            State::Closing(_) | State::Finished => Lifecycle::Close,
        }
    }

    /// Abandons the request, which no client waits for, and closes its attempt. This is no evidence against the
    /// server.
    pub(super) fn abandon_request(&mut self, context: &mut NodeContext) {
        let State::Waiting(waiting) = &self.state else {
            return;
        };
        let request = waiting.open.request;
        debug!(context.log, "client left"; "request" => hex_id(request));
        waiting.close_attempt(context);
        if !waiting.is_restored() {
            context.placement.on_client_disconnected(request);
        }
    }
}
