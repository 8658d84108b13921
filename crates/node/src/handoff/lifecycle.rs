//! The steps of a handoff: startup, heartbeats, the transfer of connections, and the loss of the other process.

use super::message::{HandoffMessage, Heartbeat, LearnedServerRecord, PROTOCOL_VERSION};
use super::packet_size::group_by_size;
use super::peer_process::PeerProcess;
use super::send_queue::send_in_order;
use crate::command::{ListenerCommand, TransferCommand};
use crate::component::WellKnownComponent;
use crate::deadline::HandoffDeadline;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::Interest;
use slog::{debug, info, warn};
use std::io;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval at which a process sends heartbeats, reads the admin drains, and looks for another process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which queued transfers are started if no other event starts them.
const TRANSFER_STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why the connection to the other process is closed.
#[derive(Debug, Error)]
pub(super) enum PeerLossReason {
    /// The other process uses a different version of the messages.
    #[error("peer process uses a different protocol version")]
    VersionMismatch,
    /// A message is invalid.
    #[error(transparent)]
    InvalidMessage(io::Error),
    /// The answer to an offered connection could not be sent.
    #[error("answer to an offered connection could not be sent")]
    AnswerNotSent,
    /// The connection was closed or has failed.
    #[error(transparent)]
    Disconnected(io::Error),
}

impl From<io::Error> for PeerLossReason {
    fn from(error: io::Error) -> PeerLossReason {
        if error.kind() == io::ErrorKind::InvalidData {
            PeerLossReason::InvalidMessage(error)
        } else {
            PeerLossReason::Disconnected(error)
        }
    }
}

/// Looks for another process before this one accepts clients.
pub(crate) fn initialize(context: &mut NodeContext) {
    if context.handoff.files.is_some() {
        reload_drained_servers(context);
        send_listener_command(context, ListenerCommand::Pause);
        if let Err(error) = publish_claims(context) {
            warn!(context.log, "request ids not shared with other processes"; "error" => %error);
        }
        run_heartbeat(context);
    }
}

/// Starts to accept clients if this is the older or the only process, or if it can serve them.
pub(crate) fn accept_clients_if_ready(context: &mut NodeContext) {
    if context.handoff.files.is_none() || context.handoff.accepts_clients {
        return;
    }
    if context.handoff.primary.is_some() || context.check_serving().is_ok() {
        context.handoff.accepts_clients = true;
        send_listener_command(context, ListenerCommand::Resume);
        send_heartbeat(context);
    }
}

/// Starts to transfer all connections of this process to its successor.
pub(crate) fn start_handover(context: &mut NodeContext) {
    context.handoff.has_started_handover = true;
    context.is_transfer_requested = true;
    send_listener_command(context, ListenerCommand::Pause);
    send_heartbeat(context);
    send_learned_state(context);
    set_deadline(context, HandoffDeadline::TransferStep, Duration::ZERO);
}

/// Reads the admin drains from their file. If the file has been damaged, a process that has read it before rewrites it.
pub(super) fn reload_drained_servers(context: &mut NodeContext) {
    let Some(file) = context.handoff.admin_drain_file() else {
        return;
    };
    match file.read() {
        Ok(drained) => {
            context.handoff.startup.has_read_admin_drains = true;
            context.placement.set_drained_servers(drained);
        }
        Err(error) => {
            let is_repaired = context.handoff.startup.has_read_admin_drains
                && file.repair(context.placement.drained_servers()).is_ok();
            warn!(context.log, "admin drain file unreadable"; "error" => %error, "repaired" => is_repaired);
            if is_repaired {
                context.handoff.announce_drained_servers();
            }
        }
    }
}

/// Sends a heartbeat to the other process, and divides the node's budgets between the two while both accept clients.
pub(super) fn send_heartbeat(context: &mut NodeContext) {
    let accepts_clients = context.handoff.accepts_clients && !context.handoff.has_started_handover;
    let heartbeat = Heartbeat {
        version: PROTOCOL_VERSION,
        client_count: context.client_count.get(),
        unidentified_count: context.unidentified_clients.len(),
        accepts_clients,
        answers_claim_queries: true,
        shares_endpoint_lists: true,
    };
    context.handoff.send(&HandoffMessage::Heartbeat(heartbeat));
    let both_accept = accepts_clients && context.handoff.peer_heartbeat().accepts_clients;
    let process_count = if both_accept { 2 } else { 1 };
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.set_process_count(config, process_count);
}

/// Starts the next queued transfers, and repeats this until the handover has ended.
pub(super) fn step_transfer(context: &mut NodeContext) {
    if context.handoff.is_handing_over() {
        start_next_transfers(context);
        set_deadline(
            context,
            HandoffDeadline::TransferStep,
            TRANSFER_STEP_INTERVAL,
        );
    }
}

/// Starts the transfers of the next queued connections, once the successor has been sent what it needs to serve them.
pub(super) fn start_next_transfers(context: &mut NodeContext) {
    if context.handoff.has_queued_messages() {
        return;
    }
    for id in context.handoff.transfers.next_batch() {
        context.send(id, TransferCommand::Start);
    }
}

/// Handles the loss of the other process. This process keeps the connections that the other one has not accepted.
pub(super) fn on_peer_lost(context: &mut NodeContext, reason: &PeerLossReason) {
    let accepted_count = context.handoff.transfers.accepted_count();
    info!(context.log, "peer process lost"; "reason" => %reason, "transferred" => accepted_count);
    context.handoff.peer = match reason {
        PeerLossReason::VersionMismatch | PeerLossReason::InvalidMessage(_) => {
            PeerProcess::Incompatible
        }
        PeerLossReason::AnswerNotSent | PeerLossReason::Disconnected(_) => PeerProcess::Absent,
    };
    context.handoff.claim_queries.clear();
    for id in context.handoff.transfers.cancel() {
        context.send(id, TransferCommand::Cancelled);
    }
    if context.handoff.has_started_handover {
        // No other process accepts clients.
        context.handoff.has_started_handover = false;
        send_listener_command(context, ListenerCommand::Resume);
    }
    // The other process may have changed the file after this one last read it.
    reload_drained_servers(context);
    send_heartbeat(context);
    run_heartbeat(context);
}

/// Looks for another process, sends a heartbeat if one is connected, and schedules the next run.
pub(super) fn run_heartbeat(context: &mut NodeContext) {
    find_peer(context);
    resume_listener(context);
    if let Err(error) = publish_claims(context) {
        debug!(context.log, "request ids not shared yet"; "error" => %error);
    }
    if context.handoff.is_peer_connected() {
        reload_drained_servers(context);
        send_heartbeat(context);
    }
    accept_clients_if_ready(context);
    set_deadline(context, HandoffDeadline::Heartbeat, HEARTBEAT_INTERVAL);
}

/// Shares the request ids in use with the other processes of the node, unless they are shared already.
fn publish_claims(context: &NodeContext) -> io::Result<()> {
    match &context.handoff.files {
        Some(files) => context.claims.publish(files, context.config.max_clients()),
        None => Ok(()),
    }
}

fn find_peer(context: &mut NodeContext) {
    let was_primary = context.handoff.primary.is_some();
    if let Err(error) = context.application.handoff.find_peer(&context.poller) {
        debug!(context.log, "connecting to peer process failed"; "error" => %error);
    }
    if !was_primary && context.handoff.primary.is_some() {
        info!(context.log, "handoff lock acquired");
    }
}

/// Resumes the handoff listener, which pauses when no descriptor is free for a successor.
fn resume_listener(context: &mut NodeContext) {
    let primary = context.application.handoff.primary.as_mut();
    let Some(listener) = primary.and_then(|primary| primary.listener.as_mut()) else {
        return;
    };
    if let Err(error) = listener.set_interest(Interest::READ) {
        debug!(context.log, "resuming handoff listener failed"; "error" => %error);
    }
}

/// Sends what this process has learned of the servers, in as many messages as it takes.
pub(super) fn send_learned_state(context: &mut NodeContext) {
    let learned = context.placement.learned_servers();
    let records = learned.into_iter().map(Into::into).collect();
    let groups = group_by_size(records, LearnedServerRecord::estimated_bytes);
    let messages = groups.into_iter().map(HandoffMessage::LearnedState);
    send_in_order(context, messages);
}

fn send_listener_command(context: &mut NodeContext, command: ListenerCommand) {
    context.send(WellKnownComponent::ClientListener.id(), command);
}

fn set_deadline(context: &mut NodeContext, deadline: HandoffDeadline, delay: Duration) {
    context.deadlines.set(
        WellKnownComponent::Handoff.id(),
        deadline.into(),
        Instant::now() + delay,
    );
}
