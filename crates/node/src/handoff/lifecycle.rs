//! The steps of a handoff: heartbeats, the start of a handover, and the loss of the other process.

use super::message::{HandoffMessage, Heartbeat, PROTOCOL_VERSION};
use super::peer_process::PeerProcess;
use crate::command::{ListenerCommand, TransferCommand};
use crate::component::WellKnownComponent;
use crate::deadline::HandoffDeadline;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::Interest;
use slog::{debug, info, warn};
use std::io;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How often each process reports what it holds, reads the admin drains, and looks for another process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How often the queue of a transfer is looked at, should nothing else happen.
const TRANSFER_STEP_INTERVAL: Duration = Duration::from_millis(10);

/// Why the other process is given up.
#[derive(Debug, Error)]
pub(super) enum PeerLoss {
    /// Its messages are of another version.
    #[error("it speaks another protocol version")]
    VersionMismatch,
    /// A message was not understood.
    #[error(transparent)]
    InvalidMessage(io::Error),
    /// The answer to an offered connection could not be sent.
    #[error("no answer can be sent")]
    AnswerNotSent,
    /// The connection has ended or failed.
    #[error(transparent)]
    Disconnected(io::Error),
}

impl From<io::Error> for PeerLoss {
    fn from(error: io::Error) -> PeerLoss {
        if error.kind() == io::ErrorKind::InvalidData {
            PeerLoss::InvalidMessage(error)
        } else {
            PeerLoss::Disconnected(error)
        }
    }
}

/// Looks for another process before anything is served.
pub(crate) fn begin(context: &mut NodeContext) {
    if context.handoff.files.is_some() {
        reload_drained_servers(context);
        command_listener(context, ListenerCommand::Pause);
        run_heartbeat(context);
    }
}

/// Accepts clients from now on, if this is the older or the only process or can serve them as well as the other one.
pub(crate) fn open_if_ready(context: &mut NodeContext) {
    if context.handoff.files.is_none() || context.handoff.accepts_clients {
        return;
    }
    if context.handoff.primary.is_some() || context.check_serving().is_ok() {
        context.handoff.accepts_clients = true;
        command_listener(context, ListenerCommand::Resume);
        send_heartbeat(context);
    }
}

/// Begins to transfer all connections of this process to its successor.
pub(crate) fn start_handover(context: &mut NodeContext) {
    context.handoff.is_leaving = true;
    context.transfer_requested = true;
    command_listener(context, ListenerCommand::Pause);
    send_heartbeat(context);
    send_learned_state(context);
    set_deadline(context, HandoffDeadline::TransferStep, Duration::ZERO);
}

/// Reads the admin drains from their file. A file that was damaged meanwhile is written anew by a process that knows what
/// it held.
pub(super) fn reload_drained_servers(context: &mut NodeContext) {
    let Some(file) = context.handoff.admin_drain_file() else {
        return;
    };
    match file.read() {
        Ok(drained) => {
            context.handoff.startup.knows_drained_servers = true;
            context.placement.set_drained_servers(drained);
        }
        Err(error) => {
            let is_repaired = context.handoff.startup.knows_drained_servers
                && file.repair(context.placement.drained_servers()).is_ok();
            warn!(context.log, "admin drain file unreadable"; "error" => %error, "repaired" => is_repaired);
            if is_repaired {
                context.handoff.announce_drained_servers();
            }
        }
    }
}

/// Reports to the other process what this one holds, and divides the node's budgets between both while both accept
/// clients.
pub(super) fn send_heartbeat(context: &mut NodeContext) {
    let accepts_clients = context.handoff.accepts_clients && !context.handoff.is_leaving;
    let heartbeat = Heartbeat {
        version: PROTOCOL_VERSION,
        client_count: context.client_count.get(),
        unidentified_count: context.unidentified_clients.len(),
        accepts_clients,
    };
    context.handoff.send(&HandoffMessage::Heartbeat(heartbeat));
    let both_accept = accepts_clients && context.handoff.peer_heartbeat().accepts_clients;
    let process_count = if both_accept { 2 } else { 1 };
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.set_process_count(config, process_count);
}

/// Asks the next connections of the queue to transfer, and again later, for as long as the handover lasts.
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

/// Asks the next connections of the queue to transfer.
pub(super) fn start_next_transfers(context: &mut NodeContext) {
    for id in context.handoff.transfers.next_batch() {
        context.send(id, TransferCommand::Start);
    }
}

/// The other process is gone or is not understood: connections that it has not accepted stay here.
pub(super) fn lose_peer(context: &mut NodeContext, loss: &PeerLoss) {
    let accepted_count = context.handoff.transfers.accepted_count();
    info!(context.log, "peer process lost"; "reason" => %loss, "transferred" => accepted_count);
    context.handoff.peer = match loss {
        PeerLoss::VersionMismatch | PeerLoss::InvalidMessage(_) => PeerProcess::Incompatible,
        PeerLoss::AnswerNotSent | PeerLoss::Disconnected(_) => PeerProcess::Absent,
    };
    for id in context.handoff.transfers.cancel() {
        context.send(id, TransferCommand::Cancelled);
    }
    if context.handoff.is_leaving {
        // There is no other process to accept clients.
        context.handoff.is_leaving = false;
        command_listener(context, ListenerCommand::Resume);
    }
    // What it wrote last may not have been read.
    reload_drained_servers(context);
    send_heartbeat(context);
    run_heartbeat(context);
}

/// Sends a heartbeat if another process is connected, looks for one if none is, and sets the next heartbeat.
pub(super) fn run_heartbeat(context: &mut NodeContext) {
    find_peer(context);
    resume_listener(context);
    if context.handoff.is_peer_connected() {
        reload_drained_servers(context);
        send_heartbeat(context);
    }
    open_if_ready(context);
    set_deadline(context, HandoffDeadline::Heartbeat, HEARTBEAT_INTERVAL);
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

/// The listener pauses when no descriptor is left for a successor.
fn resume_listener(context: &mut NodeContext) {
    let primary = context.application.handoff.primary.as_mut();
    let Some(listener) = primary.and_then(|primary| primary.listener.as_mut()) else {
        return;
    };
    if let Err(error) = listener.set_interest(Interest::READ) {
        debug!(context.log, "resuming handoff listener failed"; "error" => %error);
    }
}

fn send_learned_state(context: &mut NodeContext) {
    let learned = context.placement.learned_servers();
    let records = learned.into_iter().map(Into::into).collect();
    let message = HandoffMessage::LearnedState(records);
    if !context.handoff.send(&message) {
        debug!(context.log, "learned state not sent");
    }
}

fn command_listener(context: &mut NodeContext, command: ListenerCommand) {
    context.send(WellKnownComponent::ClientListener.id(), command);
}

fn set_deadline(context: &mut NodeContext, deadline: HandoffDeadline, delay: Duration) {
    context.deadlines.set(
        WellKnownComponent::Handoff.id(),
        deadline.into(),
        Instant::now() + delay,
    );
}
