//! A client's wait for a server, from the complete first line to the relay or the answer.

use super::restore::RESTORE_WINDOW;
use super::waiting_request::{ReceivedRequest, WaitingRequest};
use super::{ClientConnection, State};
use crate::client::answer;
use crate::client::first_line::FirstLineError;
use crate::client::ClientSlot;
use crate::command::{AcceptedAttempt, AttemptCommand, ExitScope};
use crate::deadline::ClientDeadline;
use crate::handoff::request_claims::RequestClaim;
use crate::placement_driver::{hex_id, AttemptOrder, ClientState, InheritedConnection};
use crate::state::NodeContext;
use crate::upstream::attempt::{Attempt, UpstreamAttempt};
use crate::upstream::relay::Relay;
use lupincrank_placement::Outcome;
use lupincrank_reactor::{ComponentId, Lifecycle};
use slog::debug;
use std::time::Duration;

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
        context
            .deadlines
            .clear(self.id, ClientDeadline::Close.into());
        if received.open.current_server.is_some() {
            return self.begin_restore(context, received, slot, claim);
        }
        let request_info = received.open.request_info(context.config.has_groups);
        let time_left = received.time_left();
        self.state = State::Waiting(WaitingRequest::new(received, time_left, slot));
        context
            .placement
            .on_request(self.id, request_info, time_left, claim);
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

    pub(super) fn begin_attempt(&mut self, context: &mut NodeContext, order: &AttemptOrder) {
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
        let State::Waiting(waiting) = &mut self.state else {
            return lifecycle;
        };
        if lifecycle == Lifecycle::Continue {
            if let Some(claim) = &mut waiting.restore_claim {
                claim.record_send();
            }
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
