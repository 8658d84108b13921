//! The event loop component of the handoff: accepts successors, receives messages and handles deadlines.

use super::connected_peer::ConnectedPeer;
use super::lifecycle::{accept_clients_if_ready, on_peer_lost, run_heartbeat, step_transfer};
use super::peer_process::PeerProcess;
use super::socket::{HandoffSocket, PeerConnection};
use super::transfer::MAX_IN_FLIGHT;
use super::{claim_queries, endpoint_lists, incoming};
use crate::command::{HandoffCommand, Message};
use crate::deadline::{DeadlineKind, HandoffDeadline};
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::{Connection, Interest, Lifecycle, Readiness};
use slog::info;
use socket2::Socket;

/// Limit of messages handled in one turn of the event loop, so that clients are served in between.
const MAX_MESSAGES_PER_TURN: usize = 2 * MAX_IN_FLIGHT;

/// Accepts a successor, one at a time. A second successor has to connect again after the first has disconnected.
fn accept_successor(context: &mut NodeContext) {
    let primary = context.handoff.primary.as_mut();
    let Some(listener) = primary.and_then(|primary| primary.listener.as_mut()) else {
        return;
    };
    let Ok(socket) = listener.accept() else {
        // Without a free descriptor, the listener would be reported ready over and over, so it pauses until the next
        // heartbeat.
        let _ = listener.set_interest(Interest::NONE);
        return;
    };
    if !context.handoff.is_peer_connected() {
        connect_successor(context, socket);
    }
}

fn connect_successor(context: &mut NodeContext, socket: Socket) {
    let Ok(connection) = PeerConnection::from_accepted(&context.poller, socket) else {
        return;
    };
    context.handoff.peer = PeerProcess::Connected(ConnectedPeer::new(connection));
    info!(context.log, "successor connected");
    run_heartbeat(context);
}

fn receive_messages(context: &mut NodeContext) {
    for _ in 0..MAX_MESSAGES_PER_TURN {
        let PeerProcess::Connected(peer) = &context.handoff.peer else {
            return;
        };
        match peer.connection.receive() {
            Ok(Some(received)) => incoming::on_message(context, received),
            Ok(None) => return,
            Err(error) => return on_peer_lost(context, &error.into()),
        }
    }
}

/// The event loop component of the handoff. Its state is [`NodeState::handoff`].
pub(crate) struct HandoffAgent;

impl Connection<NodeState> for HandoffAgent {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        match HandoffSocket::from_index(socket) {
            HandoffSocket::Listener => accept_successor(context),
            HandoffSocket::PeerConnection => receive_messages(context),
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        match kind {
            DeadlineKind::Handoff(HandoffDeadline::Heartbeat) => run_heartbeat(context),
            DeadlineKind::Handoff(HandoffDeadline::TransferStep) => step_transfer(context),
            DeadlineKind::Handoff(HandoffDeadline::SendQueue) => {
                endpoint_lists::continue_sending(context);
            }
            _ => {}
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Handoff(command) = message else {
            return Lifecycle::Continue;
        };
        match command {
            HandoffCommand::OpenListener => accept_clients_if_ready(context),
            HandoffCommand::ReportClaim { request, inquirer } => {
                claim_queries::report(context, request, inquirer);
            }
        }
        Lifecycle::Continue
    }
}
