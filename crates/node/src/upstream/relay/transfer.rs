//! The transfer of relays from one process of the node to another.

use super::{Relay, Side};
use crate::client::ClientSlot;
use crate::handoff::message::{self, Standing};
use crate::state::Node;
use crate::upstream::byte_buffer::ByteBuffer;
use lupincrank_placement::{Outcome, RequestId, RequestInfo, Timestamp};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, ComponentId, Interest, Lifecycle};
use slog::debug;
use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// Whether a relay was sent to another process that has not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferState {
    /// It was not.
    Idle,
    /// It was: nothing is read or written until the other process has accepted or refused it.
    Pending,
    /// As `Pending`; if the relay stays here, its client is migrated.
    PendingMigration,
}

/// Taking relays of another process.
impl Relay {
    /// Whether a relay of another process can go on here.
    pub(crate) fn can_resume(node: &Node, record: &Standing, bytes: &[u8]) -> bool {
        let total_length = record
            .lengths
            .iter()
            .try_fold(0usize, |sum, length| sum.checked_add(*length));
        total_length == Some(bytes.len()) && !node.core.holds(RequestId(record.request))
    }

    /// Goes on with a relay of another process where that process left off.
    pub(crate) fn resume_transferred(
        node: &mut Node,
        record: Standing,
        bytes: &[u8],
        [client, server]: [OwnedFd; 2],
    ) {
        let id = node.allocate_id();
        let client = register(node, id, client, Side::Client);
        let server = register(node, id, server, Side::Server);
        let (Ok(client), Ok(server)) = (client, server) else {
            return;
        };
        let request = RequestId(record.request);
        let slot = ClientSlot::acquire(&node.clients);
        let mut relay = Relay::new(node, id, slot, request, client, server);
        relay.restore_buffers(&record, bytes);
        register_request(node, id, record);
        if relay.pump(node) == Lifecycle::Continue {
            node.register(id, Box::new(relay));
        }
    }

    fn restore_buffers(&mut self, record: &Standing, bytes: &[u8]) {
        let [to_server_length, to_client_length, _] = record.lengths;
        let (to_server, rest) = bytes.split_at(to_server_length.min(bytes.len()));
        let (to_client, partial_line) = rest.split_at(to_client_length.min(rest.len()));
        self.to_server = ByteBuffer::with_bytes(to_server);
        self.to_client = ByteBuffer::with_bytes(to_client);
        self.partial_line = partial_line.to_vec();
    }
}

fn register(
    node: &Node,
    id: ComponentId,
    socket: OwnedFd,
    side: Side,
) -> io::Result<Registered<TcpStream>> {
    let key = poller_key(id, side.socket());
    Registered::new(&node.poller, TcpStream::from(socket), key, Interest::READ)
}

/// Makes the request of a transferred relay known to placement.
fn register_request(node: &mut Node, id: ComponentId, record: Standing) {
    let class = node
        .config
        .classes
        .iter()
        .position(|class| *class == record.class);
    let request_info = RequestInfo {
        request: RequestId(record.request),
        // A class that the settings do not have any more: a request that has its server needs none.
        class: class.unwrap_or(usize::MAX),
        tenant: None,
        group: record.group,
        key: record.key,
        load: None,
        deadline: Timestamp::default(),
        is_mid_flow: false,
        is_reconnect: record.returned,
    };
    let now = Instant::now();
    let sent_at = |ms: &u64| now.checked_sub(Duration::from_millis(*ms)).unwrap_or(now);
    let unanswered = record.unanswered_ms.iter().map(sent_at).collect();
    let load = record.load_us.map(|load| load as f64);
    node.core
        .take_over(id, request_info, &record.server, load, unanswered);
}

/// Sending relays to another process.
impl Relay {
    /// Sends both sockets and all that is pending between them to the process that replaces this one. A relay that is
    /// ending ends here.
    pub(super) fn transfer(&mut self, node: &mut Node) -> Lifecycle {
        if !self.can_transfer() {
            return Lifecycle::Continue;
        }
        let Some(record) = self.transfer_record(node) else {
            return Lifecycle::Continue;
        };
        match self.send_record(node, record) {
            Ok(true) => {
                debug!(node.log, "relay transfer started"; "request" => format!("{:016x}", self.request.0));
                self.pause(node);
                Lifecycle::Continue
            }
            Ok(false) => Lifecycle::Continue,
            Err(error) => {
                debug!(node.log, "relay transfer failed"; "error" => %error);
                self.migrate(node)
            }
        }
    }

    fn can_transfer(&self) -> bool {
        let has_ended = self.to_server.has_ended() || self.to_client.has_ended();
        self.server.is_some() && self.transfer == TransferState::Idle && !has_ended
    }

    /// What the other process has to know; `None` if placement has no such request.
    fn transfer_record(&self, node: &Node) -> Option<Standing> {
        let (request_info, server, load, unanswered) = node.core.standing(self.request)?;
        let class = node.config.classes.get(request_info.class);
        Some(Standing {
            request: self.request.0,
            class: class.cloned().unwrap_or_default(),
            group: request_info.group.clone(),
            key: request_info.key.clone(),
            returned: request_info.is_reconnect,
            server: server.0.to_string(),
            load_us: load.map(|load| load as u64),
            unanswered_ms: unanswered
                .iter()
                .map(|sent_at| sent_at.elapsed().as_millis() as u64)
                .collect(),
            lengths: self.pending_parts().map(<[u8]>::len),
        })
    }

    /// The bytes that go along: pending for the server, pending for the client, and the begin of a server's line.
    fn pending_parts(&self) -> [&[u8]; 3] {
        [
            self.to_server.pending(),
            self.to_client.pending(),
            &self.partial_line,
        ]
    }

    /// Sends the record, the pending bytes and both sockets; false if there is no room for them now.
    fn send_record(&self, node: &mut Node, record: Standing) -> io::Result<bool> {
        let Some(server) = &self.server else {
            return Ok(false);
        };
        let bytes = self.pending_parts().concat();
        let sockets = [self.client.as_fd(), server.as_fd()];
        let transferred = |number| message::Said::Standing(number, record);
        node.upgrade.hand(self.id, transferred, &bytes, &sockets)
    }

    fn pause(&mut self, node: &Node) {
        self.transfer = TransferState::Pending;
        let client_result = self.client.set_interest(Interest::NONE);
        let server_result = self.set_server_interest(Interest::NONE);
        if client_result.and(server_result).is_err() {
            debug!(node.log, "relay not paused"; "request" => format!("{:016x}", self.request.0));
        }
    }

    /// The other process has the connection from now on.
    pub(super) fn on_transferred(&mut self, node: &mut Node) -> Lifecycle {
        self.report_outcome(node, Outcome::Cancelled);
        Lifecycle::Close
    }

    /// The other process has not taken the connection: it goes on here.
    pub(super) fn on_transfer_refused(&mut self, node: &mut Node) -> Lifecycle {
        let state = self.transfer;
        self.transfer = TransferState::Idle;
        if state == TransferState::PendingMigration {
            self.migrate(node)
        } else {
            self.pump(node)
        }
    }

    /// Placement moves the client away, at once or as soon as it is known that the relay stays here.
    pub(super) fn on_migration_requested(&mut self, node: &mut Node) -> Lifecycle {
        if self.transfer == TransferState::Idle {
            return self.migrate(node);
        }
        self.transfer = TransferState::PendingMigration;
        Lifecycle::Continue
    }
}
