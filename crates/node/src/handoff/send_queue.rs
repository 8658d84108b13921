//! Sends the messages that wait for space in the buffer of the socket between the two processes.

use super::peer_process::QueueState;
use crate::component::WellKnownComponent;
use crate::deadline::HandoffDeadline;
use crate::state::NodeContext;
use slog::warn;
use std::time::{Duration, Instant};

/// Interval between two tries while the buffer is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Sends queued messages in their order, and schedules another try if the buffer is full.
pub(super) fn send_queued(context: &mut NodeContext) -> QueueState {
    loop {
        match context.handoff.send_queued() {
            Ok(QueueState::Empty) => return QueueState::Empty,
            Ok(QueueState::Waiting) => {
                schedule_retry(context);
                return QueueState::Waiting;
            }
            Err(error) => {
                warn!(context.log, "message to peer process not sent"; "error" => %error);
            }
        }
    }
}

fn schedule_retry(context: &mut NodeContext) {
    context.deadlines.set(
        WellKnownComponent::Handoff.id(),
        HandoffDeadline::SendQueue.into(),
        Instant::now() + RETRY_INTERVAL,
    );
}
