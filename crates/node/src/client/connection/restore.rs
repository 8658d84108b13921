//! Restoring of connections that were established at a server before this process started.

use super::waiting_request::{ReceivedRequest, WaitingRequest};
use super::{ClientConnection, State};
use crate::client::answer;
use crate::client::ClientSlot;
use crate::deadline::ClientDeadline;
use crate::handoff::request_claims::RequestClaim;
use crate::placement_driver::AttemptOrder;
use crate::state::NodeContext;
use lupincrank_placement::Outcome;
use lupincrank_reactor::Lifecycle;
use std::time::{Duration, Instant};

/// Connections that were established before this process started are accepted for this long after its start.
pub(super) const RESTORE_WINDOW: Duration = Duration::from_secs(60);
/// The line of a restored connection is sent at most this many times. Failed connects are retried at intervals of
/// [`RESTORE_BACKOFF`] for up to [`MAX_RESTORE_WAIT`]: the server may start late.
const MAX_RESTORE_SENDS: u32 = 3;
const RESTORE_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RESTORE_WAIT: Duration = Duration::from_secs(40);

impl ClientConnection {
    /// Starts the request of a connection whose id is claimed: placement learns of it once the server has accepted it.
    pub(super) fn begin_restore(
        &mut self,
        context: &mut NodeContext,
        received: ReceivedRequest,
        slot: ClientSlot,
        claim: RequestClaim,
    ) -> Lifecycle {
        let time_left = received.time_left().min(MAX_RESTORE_WAIT);
        let mut waiting = WaitingRequest::new(received, time_left, slot);
        waiting.restore_claim = Some(claim);
        self.state = State::Waiting(waiting);
        self.restore(context)
    }

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
            if let Some(claim) = &mut waiting.restore_claim {
                claim.record_outcome(outcome);
            }
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
