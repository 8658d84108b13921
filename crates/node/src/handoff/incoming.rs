//! Handles the messages from the other process.

use super::claim_queries;
use super::endpoint_lists::{self, share_complete_list};
use super::lifecycle::{
    accept_clients_if_ready, on_peer_lost, reload_drained_servers, send_heartbeat,
    send_learned_state, start_handover, start_next_transfers, PeerLossReason,
};
use super::message::{
    ConnectionTransfer, HandoffMessage, Heartbeat, UnidentifiedClientTransfer, PROTOCOL_VERSION,
};
use super::peer_process::PeerProcess;
use super::request_claims::Repetition;
use super::socket::ReceivedMessage;
use super::transfer::TransferAnswer;
use crate::client::ClientConnection;
use crate::command::TransferCommand;
use crate::state::NodeContext;
use crate::upstream::relay::{Relay, TransferredSockets};
use lupincrank_placement::RequestId;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest};
use slog::info;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Handles one message from the other process.
pub(super) fn on_message(context: &mut NodeContext, received: ReceivedMessage) {
    let ReceivedMessage {
        message,
        payload,
        descriptors,
    } = received;
    match message {
        HandoffMessage::Heartbeat(heartbeat) => on_heartbeat(context, heartbeat),
        HandoffMessage::AdminDrainChanged => reload_drained_servers(context),
        HandoffMessage::LearnedState(records) => {
            let learned = records.into_iter().map(Into::into).collect();
            context.placement.import_learned_servers(learned);
            // The endpoint list precedes it.
            context.handoff.startup.has_predecessor_state = true;
            accept_clients_if_ready(context);
        }
        HandoffMessage::Connection(transfer) => {
            on_connection(context, transfer, &payload, descriptors);
        }
        HandoffMessage::UnidentifiedClient(transfer) => {
            on_unidentified_client(context, transfer, payload, descriptors);
        }
        HandoffMessage::Accepted(number) => on_answer(context, number, TransferAnswer::Accepted),
        HandoffMessage::Rejected(number) => on_answer(context, number, TransferAnswer::Rejected),
        HandoffMessage::ClaimQuery(query) => claim_queries::on_query(context, query),
        HandoffMessage::ClaimReport(report) => claim_queries::on_report(context, report),
        HandoffMessage::EndpointList(part) => endpoint_lists::on_part(context, part),
    }
}

fn on_heartbeat(context: &mut NodeContext, heartbeat: Heartbeat) {
    if heartbeat.version != PROTOCOL_VERSION {
        return on_peer_lost(context, &PeerLossReason::VersionMismatch);
    }
    let PeerProcess::Connected(peer) = &mut context.handoff.peer else {
        return;
    };
    let previous = std::mem::replace(&mut peer.heartbeat, heartbeat);
    if heartbeat.shares_endpoint_lists && !previous.shares_endpoint_lists {
        share_complete_list(context);
        if context.handoff.primary.is_some() {
            send_learned_state(context);
        }
    }
    if heartbeat.accepts_clients != previous.accepts_clients {
        send_heartbeat(context);
    }
    accept_clients_if_ready(context);
    // SIGTERM may have been received before the successor was able to serve clients.
    let is_shutting_down = context.shutdown.is_some();
    if is_shutting_down && !context.handoff.has_started_handover && context.handoff.has_successor()
    {
        start_handover(context);
    }
}

fn on_connection(
    context: &mut NodeContext,
    transfer: ConnectionTransfer,
    payload: &[u8],
    descriptors: Vec<OwnedFd>,
) {
    let ConnectionTransfer { number, connection } = transfer;
    let sockets = <[OwnedFd; 2]>::try_from(descriptors)
        .ok()
        .filter(|_| Relay::can_resume(&connection, payload))
        .and_then(|sockets| TransferredSockets::register(context, sockets).ok());
    let Some(sockets) = sockets else {
        return reject(context, number);
    };
    let request = RequestId(connection.request);
    let class = context.config.class_index(&connection.class);
    let repetition = Repetition::of_class(&context.config.settings, class);
    let Ok(claim) = context.claims.take_over(request, sockets.id(), repetition) else {
        return reject(context, number);
    };
    if accept(context, number) {
        decrement_peer_client_count(context);
        Relay::resume_transferred(context, connection, payload, sockets, claim);
    }
}

fn on_unidentified_client(
    context: &mut NodeContext,
    transfer: UnidentifiedClientTransfer,
    payload: Vec<u8>,
    descriptors: Vec<OwnedFd>,
) {
    let UnidentifiedClientTransfer {
        number,
        remaining_ms,
    } = transfer;
    let id = context.allocate_id();
    let stream = descriptors.into_iter().next().and_then(|socket| {
        let stream = TcpStream::from(socket);
        Registered::new(&context.poller, stream, poller_key(id, 0), Interest::READ).ok()
    });
    let Some(stream) = stream else {
        return reject(context, number);
    };
    if accept(context, number) {
        let remaining = Duration::from_millis(remaining_ms);
        ClientConnection::resume_transferred(context, id, stream, payload, remaining);
    }
}

/// Subtracts a transferred client from the number of clients that the other process last reported.
fn decrement_peer_client_count(context: &mut NodeContext) {
    if let PeerProcess::Connected(peer) = &mut context.handoff.peer {
        let client_count = peer.heartbeat.client_count;
        peer.heartbeat.client_count = client_count.saturating_sub(1);
    }
}

/// Accepts an offered connection and returns true if this process owns it.
///
/// The answer is sent before anything is read from or written to the connection, so the owner is known to the other
/// process even if this one fails right after. If the answer can't be sent, the connection between the two processes is
/// closed: the other process then keeps the connections that it offered. If the other process has terminated, this one
/// owns them.
fn accept(context: &mut NodeContext, number: u64) -> bool {
    if context.handoff.send(&HandoffMessage::Accepted(number)) || has_peer_terminated(context) {
        return true;
    }
    on_peer_lost(context, &PeerLossReason::AnswerNotSent);
    false
}

/// Rejects an offered connection, which the other process keeps.
fn reject(context: &mut NodeContext, number: u64) {
    if !context.handoff.send(&HandoffMessage::Rejected(number)) {
        on_peer_lost(context, &PeerLossReason::AnswerNotSent);
    }
}

/// Returns true if the other process has terminated, which releases its lock: this process is then the only owner of
/// the connections that it has received. A process that has merely closed the connection to this one would continue to
/// use the connections that it sent. Messages sent before the termination are received before the end of the connection
/// between the two processes is detected.
fn has_peer_terminated(context: &mut NodeContext) -> bool {
    let search = context.application.handoff.find_peer(&context.poller);
    let has_lock = context.handoff.primary.is_some();
    if has_lock {
        info!(context.log, "connection taken over from dead process");
    }
    search.is_ok() && has_lock
}

fn on_answer(context: &mut NodeContext, number: u64, answer: TransferAnswer) {
    if let Some(id) = context.handoff.transfers.record_answer(number, answer) {
        let command = match answer {
            TransferAnswer::Accepted => TransferCommand::Completed,
            TransferAnswer::Rejected => TransferCommand::Cancelled,
        };
        context.send(id, command);
    }
    start_next_transfers(context);
}
