//! Sends the messages that wait for space in the buffer of the socket between the two processes.

use super::connected_peer::QueueState;
use super::message::HandoffMessage;
use crate::component::WellKnownComponent;
use crate::deadline::HandoffDeadline;
use crate::state::NodeContext;
use slog::warn;
use std::time::{Duration, Instant};

/// Interval between two tries while the buffer is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Sends messages to the other process, if it is connected, after those that are queued.
pub(super) fn send_in_order(
    context: &mut NodeContext,
    messages: impl IntoIterator<Item = HandoffMessage>,
) {
    if let Some(peer) = context.handoff.connected_peer() {
        peer.queue(messages);
        send_queued(context);
    }
}

/// Sends queued messages in their order, and schedules another try if the buffer is full.
pub(super) fn send_queued(context: &mut NodeContext) {
    while let Some(peer) = context.handoff.connected_peer() {
        match peer.send_queued() {
            Ok(QueueState::Empty) => return,
            Ok(QueueState::Waiting) => return schedule_retry(context),
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
