//! Keeps the endpoint lists of both processes of a node alike: what discovery tells one of them, the node has been told.
//!
//! Each process sends the other its complete list once they are connected, then each change that discovery sends it.

use super::lifecycle::accept_clients_if_ready;
use super::list_parts;
use super::message::{EndpointListPart, HandoffMessage};
use super::send_queue::{send_in_order, send_queued};
use crate::discovery::endpoint_list::EndpointListUpdate;
use crate::discovery::merged_list::{ListPosition, MergeOutcome, SharedUpdate};
use crate::state::{NodeContext, NodeState};
use slog::{debug, info, warn};
use std::time::Instant;

/// Passes an update on to the other process. Discovery has just sent it, and the list is merged with it; `previous` is the
/// position of the list before.
pub(crate) fn share_update(
    context: &mut NodeContext,
    update: &EndpointListUpdate,
    previous: ListPosition,
) {
    if !context.handoff.peer_heartbeat().shares_endpoint_lists {
        return;
    }
    if let Some(peer) = context.handoff.connected_peer() {
        if peer.has_queued_messages() {
            peer.request_complete_list();
            return;
        }
    }
    let position = context.endpoint_list.position();
    let shared = if update.is_complete || position.generation != previous.generation {
        context.endpoint_list.complete_update()
    } else {
        SharedUpdate {
            position,
            previous_version: Some(previous.version),
            endpoints: update.endpoints.clone(),
        }
    };
    send(context, shared, Instant::now());
}

/// Passes the complete list on to the other process. A list that discovery has never confirmed is that of the
/// configuration file, which the other process has read too.
pub(crate) fn share_complete_list(context: &mut NodeContext) {
    if !context.handoff.peer_heartbeat().shares_endpoint_lists {
        return;
    }
    if let Some(confirmed_at) = context.endpoint_list.confirmed_at() {
        let update = context.endpoint_list.complete_update();
        send(context, update, confirmed_at);
    }
}

fn send(context: &mut NodeContext, update: SharedUpdate, confirmed_at: Instant) {
    let version = update.position.version;
    let Some(parts) = list_parts::split(update, confirmed_at.into()) else {
        warn!(context.log, "endpoint list too long for peer process"; "seq" => version);
        return;
    };
    let messages = parts.into_iter().map(HandoffMessage::EndpointList);
    send_in_order(context, messages);
}

/// Sends the queued messages, and after them the complete list if a change was not queued.
pub(super) fn continue_sending(context: &mut NodeContext) {
    send_queued(context);
    let Some(peer) = context.handoff.connected_peer() else {
        return;
    };
    if !peer.has_queued_messages() && peer.take_complete_list_request() {
        share_complete_list(context);
    }
}

/// Handles a part of the other process's list.
pub(super) fn on_part(context: &mut NodeContext, part: EndpointListPart) {
    let peer = context.handoff.connected_peer();
    let Some(list) = peer.and_then(|peer| peer.assemble_list(part)) else {
        return;
    };
    let version = list.update.position.version;
    let entries = list.update.endpoints.len();
    let confirmed_at = list.confirmed_at.to_instant();
    let NodeState {
        placement,
        endpoint_list,
        ..
    } = &mut context.application;
    match endpoint_list.apply_shared_update(placement, &list.update, confirmed_at) {
        Ok(MergeOutcome::Merged) => {
            info!(context.log, "endpoint list received from peer process"; "seq" => version, "entries" => entries);
        }
        Ok(MergeOutcome::Outdated) => {
            debug!(context.log, "endpoint list of peer process not newer"; "seq" => version);
        }
        Err(error) => {
            warn!(context.log, "endpoint list of peer process rejected"; "error" => %error);
        }
    }
    accept_clients_if_ready(context);
}
