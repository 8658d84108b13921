//! The transfer of relays from one process of the node to another.

use super::{Relay, Side};
use crate::client::ClientSlot;
use crate::command::TransferCommand;
use crate::handoff::message::{ConnectionTransfer, HandoffMessage, TransferredConnection};
use crate::handoff::request_claims::RequestClaim;
use crate::handoff::socket::SendOutcome;
use crate::placement_driver::{hex_id, InheritedConnection};
use crate::state::NodeContext;
use lupincrank_placement::{Outcome, RequestId, RequestInfo, Timestamp};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, ComponentId, Interest, Lifecycle};
use slog::debug;
use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// The progress of a relay's transfer to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferState {
    /// No transfer is in progress.
    Idle,
    /// The relay was sent: nothing is read or written until the other process has accepted or refused it.
    Pending,
    /// As `Pending`; if the other process refuses the relay, its client is migrated.
    PendingMigration,
}

/// Receiving relays from another process.
impl Relay {
    /// Returns true if the record of a relay of another process matches the bytes sent with it.
    pub(crate) fn can_resume(record: &TransferredConnection, bytes: &[u8]) -> bool {
        record.lengths.total() == Some(bytes.len())
    }

    /// Continues a relay of another process with the state that it was sent with.
    pub(crate) fn resume_transferred(
        context: &mut NodeContext,
        record: TransferredConnection,
        bytes: &[u8],
        sockets: TransferredSockets,
        claim: RequestClaim,
    ) {
        let TransferredSockets { id, client, server } = sockets;
        let request = RequestId(record.request);
        let slot = ClientSlot::acquire(&context.client_count);
        let mut relay = Relay::new(context, id, slot, request, client, server);
        relay.restore_buffers(&record, bytes);
        register_request(context, id, record, claim);
        if relay.pump(context) == Lifecycle::Continue {
            context.register(id, Box::new(relay));
        }
    }

    fn restore_buffers(&mut self, record: &TransferredConnection, bytes: &[u8]) {
        let (to_server, rest) = bytes.split_at(record.lengths.to_server.min(bytes.len()));
        let (to_client, partial_line) = rest.split_at(record.lengths.to_client.min(rest.len()));
        self.buffers.restore(to_server, to_client, partial_line);
    }
}

/// The sockets of a relay of another process, registered for the component that continues it.
pub(crate) struct TransferredSockets {
    id: ComponentId,
    client: Registered<TcpStream>,
    server: Registered<TcpStream>,
}

impl TransferredSockets {
    /// The component that continues the relay.
    pub(crate) fn id(&self) -> ComponentId {
        self.id
    }

    /// Registers both sockets.
    ///
    /// # Errors
    /// If the poller refuses one of them.
    pub(crate) fn register(
        context: &mut NodeContext,
        [client, server]: [OwnedFd; 2],
    ) -> io::Result<TransferredSockets> {
        let id = context.allocate_id();
        Ok(TransferredSockets {
            id,
            client: register(context, id, client, Side::Client)?,
            server: register(context, id, server, Side::Server)?,
        })
    }
}

fn register(
    context: &NodeContext,
    id: ComponentId,
    socket: OwnedFd,
    side: Side,
) -> io::Result<Registered<TcpStream>> {
    let key = poller_key(id, side.socket());
    Registered::new(
        &context.poller,
        TcpStream::from(socket),
        key,
        Interest::READ,
    )
}

/// Registers the request of a transferred relay with placement.
fn register_request(
    context: &mut NodeContext,
    id: ComponentId,
    record: TransferredConnection,
    claim: RequestClaim,
) {
    let request_info = RequestInfo {
        request: RequestId(record.request),
        class: context.config.class_index(&record.class),
        tenant: None,
        group: record.group,
        key: record.key,
        load: None,
        deadline: Timestamp::default(),
        is_mid_flow: false,
        is_reconnect: record.is_reconnect,
    };
    let now = Instant::now();
    let sent_at = |ms: &u64| now.checked_sub(Duration::from_millis(*ms)).unwrap_or(now);
    let unanswered = record.unanswered_ms.iter().map(sent_at).collect();
    let load = record.load_us.map(|load| load as f64);
    let established = InheritedConnection {
        request: request_info,
        server: &record.server,
        claim,
    };
    context
        .placement
        .on_transferred_connection(id, established, load, unanswered);
}

/// Sending relays to another process.
impl Relay {
    pub(super) fn on_transfer(
        &mut self,
        context: &mut NodeContext,
        command: TransferCommand,
    ) -> Lifecycle {
        match command {
            TransferCommand::Start => self.transfer(context),
            TransferCommand::Completed => self.on_transferred(context),
            TransferCommand::Cancelled => self.on_transfer_cancelled(context),
        }
    }

    /// Sends both sockets and all pending bytes to the process that replaces this one. A relay that is already ending
    /// is not sent.
    fn transfer(&mut self, context: &mut NodeContext) -> Lifecycle {
        if !self.can_transfer() {
            return Lifecycle::Continue;
        }
        let Some(record) = self.transfer_record(context) else {
            return Lifecycle::Continue;
        };
        match self.send_record(context, record) {
            Ok(SendOutcome::Sent) => {
                debug!(context.log, "relay transfer started"; "request" => hex_id(self.request));
                self.pause(context);
                Lifecycle::Continue
            }
            Ok(SendOutcome::WouldBlock) => Lifecycle::Continue,
            Err(error) => {
                debug!(context.log, "relay transfer failed"; "error" => %error);
                self.migrate(context)
            }
        }
    }

    fn can_transfer(&self) -> bool {
        let has_ended = self.buffers.to_server.has_ended() || self.buffers.to_client.has_ended();
        self.server.is_some() && self.transfer == TransferState::Idle && !has_ended
    }

    /// The record for the other process; `None` if placement has no such established connection.
    fn transfer_record(&self, context: &NodeContext) -> Option<TransferredConnection> {
        let connection = context.placement.established_connection(self.request)?;
        let request_info = connection.request;
        let class = context.config.classes.get(request_info.class);
        Some(TransferredConnection {
            request: self.request.0,
            class: class.cloned().unwrap_or_default(),
            group: request_info.group.clone(),
            key: request_info.key.clone(),
            is_reconnect: request_info.is_reconnect,
            server: connection.server.0.to_string(),
            load_us: connection.load.map(|load| load as u64),
            unanswered_ms: connection
                .unanswered_lines
                .iter()
                .map(|sent_at| sent_at.elapsed().as_millis() as u64)
                .collect(),
            lengths: self.pending_parts().map(<[u8]>::len).into(),
        })
    }

    /// The bytes sent with the record: pending for the server, pending for the client, and the start of an incomplete
    /// line of the server.
    fn pending_parts(&self) -> [&[u8]; 3] {
        [
            self.buffers.to_server.pending(),
            self.buffers.to_client.pending(),
            &self.buffers.partial_line,
        ]
    }

    /// Sends the record, the pending bytes and both sockets.
    fn send_record(
        &self,
        context: &mut NodeContext,
        record: TransferredConnection,
    ) -> io::Result<SendOutcome> {
        let Some(server) = &self.server else {
            return Ok(SendOutcome::WouldBlock);
        };
        let bytes = self.pending_parts().concat();
        let sockets = [self.client.as_fd(), server.as_fd()];
        let message = |number| {
            HandoffMessage::Connection(ConnectionTransfer {
                number,
                connection: record,
            })
        };
        context.handoff.transfer(self.id, message, &bytes, &sockets)
    }

    fn pause(&mut self, context: &NodeContext) {
        self.transfer = TransferState::Pending;
        let client_result = self.client.set_interest(Interest::NONE);
        let server_result = self.set_server_interest(Interest::NONE);
        if client_result.and(server_result).is_err() {
            debug!(context.log, "relay not paused"; "request" => hex_id(self.request));
        }
    }

    /// Closes the relay, since the other process has accepted the connection.
    fn on_transferred(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.report_outcome(context, Outcome::Cancelled);
        Lifecycle::Close
    }

    /// Continues the relay, since the other process has refused the connection.
    fn on_transfer_cancelled(&mut self, context: &mut NodeContext) -> Lifecycle {
        let state = self.transfer;
        self.transfer = TransferState::Idle;
        if state == TransferState::PendingMigration {
            self.migrate(context)
        } else {
            self.pump(context)
        }
    }

    /// Migrates the client, at once or as soon as it is known that the relay stays in this process.
    pub(super) fn on_migrate(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.transfer == TransferState::Idle {
            return self.migrate(context);
        }
        self.transfer = TransferState::PendingMigration;
        Lifecycle::Continue
    }
}
