//! The relay between a client and its server: forwards bytes in both directions unchanged, and reports the lines that
//! placement needs.

mod buffers;
mod closing;
mod transfer;

use super::server_line::ServerLine;
use crate::client::ClientSlot;
use crate::command::{AcceptedAttempt, ClientSocketCommand, Message, RelayCommand};
use crate::deadline::DeadlineKind;
use crate::placement_driver::ClientState;
use crate::state::{NodeContext, NodeState};
use buffers::RelayBuffers;
use lupincrank_placement::{Outcome, RequestId};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use transfer::TransferState;
pub(crate) use transfer::TransferredSockets;

/// The maximum number of bytes read from one side in one turn of the event loop, and in one read.
const MAX_BYTES_PER_TURN: usize = 32 << 10;
const READ_CHUNK_BYTES: usize = 4 << 10;

/// The two connections of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Client,
    Server,
}

impl Side {
    /// The index of the side's socket within the component.
    fn socket(self) -> usize {
        match self {
            Side::Client => 0,
            Side::Server => 1,
        }
    }

    fn of_socket(socket: usize) -> Side {
        if socket == Side::Client.socket() {
            Side::Client
        } else {
            Side::Server
        }
    }
}

/// The kind of the server's next line, unless it is a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextServerLine {
    /// The line that accepts the request.
    Acceptance,
    /// The reply to a line of the client.
    Reply,
}

/// A client and its server.
pub(crate) struct Relay {
    id: ComponentId,
    request: RequestId,
    client: Registered<TcpStream>,
    /// `None` once the client was asked to reconnect.
    server: Option<Registered<TcpStream>>,
    buffers: RelayBuffers,
    last_server_line: ServerLine,
    /// Whether the request's outcome has been reported to placement.
    is_outcome_reported: bool,
    transfer: TransferState,
    /// Counts the client while the relay exists.
    _slot: ClientSlot,
}

impl Relay {
    /// Takes over both sockets and forwards what the server has already sent.
    pub(crate) fn begin(
        context: &mut NodeContext,
        id: ComponentId,
        slot: ClientSlot,
        client: Registered<TcpStream>,
        accepted: AcceptedAttempt,
    ) {
        let mut server = accepted.stream;
        let rekeyed = server.rekey(poller_key(id, Side::Server.socket()));
        let mut relay = Relay::new(context, id, slot, accepted.request, client, server);
        if rekeyed.is_err() {
            relay.report_outcome(context, Outcome::Reset);
            return;
        }
        relay.on_server_bytes(context, &accepted.bytes, NextServerLine::Acceptance);
        if relay.pump(context) == Lifecycle::Continue {
            if context.handoff.is_handing_over() {
                context.handoff.enqueue([id]);
            }
            context.register(id, Box::new(relay));
        }
    }

    fn new(
        context: &NodeContext,
        id: ComponentId,
        slot: ClientSlot,
        request: RequestId,
        client: Registered<TcpStream>,
        server: Registered<TcpStream>,
    ) -> Relay {
        Relay {
            id,
            request,
            client,
            server: Some(server),
            buffers: RelayBuffers::new(context.config.max_buffered_bytes()),
            last_server_line: ServerLine::Unknown,
            is_outcome_reported: false,
            transfer: TransferState::Idle,
            _slot: slot,
        }
    }

    /// Reports the request's outcome to placement; only the first report counts.
    fn report_outcome(&mut self, context: &mut NodeContext, outcome: Outcome) {
        if self.is_outcome_reported {
            return;
        }
        self.is_outcome_reported = true;
        context
            .placement
            .on_attempt_ended(self.request, outcome, ClientState::Answered);
    }

    fn set_close_deadline(&self, context: &mut NodeContext, timeout: Duration) {
        context
            .deadlines
            .set(self.id, DeadlineKind::RelayClose, Instant::now() + timeout);
    }
}

/// Forwarding of bytes.
impl Relay {
    fn stream_mut(&mut self, side: Side) -> Option<&mut Registered<TcpStream>> {
        match side {
            Side::Client => Some(&mut self.client),
            Side::Server => self.server.as_mut(),
        }
    }

    fn read(&mut self, context: &mut NodeContext, side: Side) -> Lifecycle {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < MAX_BYTES_PER_TURN {
            let can_read = self.buffers.can_read(side);
            let Some(stream) = self.stream_mut(side) else {
                return Lifecycle::Continue;
            };
            if !can_read {
                // If the socket is reported as readable although no read was requested, a pending error shows that the
                // connection broke.
                return match stream.take_error() {
                    Ok(None) => self.pump(context),
                    _ => self.on_side_failed(context, side),
                };
            }
            match stream.read(&mut chunk) {
                Ok(0) => {
                    self.on_end_of_stream(context, side);
                    break;
                }
                Ok(length) => {
                    read_bytes += length;
                    self.on_bytes(context, side, &chunk[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.on_side_failed(context, side),
            }
        }
        self.pump(context)
    }

    /// Reads the client, unless another process may own the connection by now.
    fn read_out_of_turn(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.transfer {
            TransferState::Idle => self.read(context, Side::Client),
            TransferState::Pending | TransferState::PendingMigration => Lifecycle::Continue,
        }
    }

    fn on_bytes(&mut self, context: &mut NodeContext, side: Side, bytes: &[u8]) {
        match side {
            Side::Client => self.on_client_bytes(context, bytes),
            Side::Server => self.on_server_bytes(context, bytes, NextServerLine::Reply),
        }
    }

    fn on_client_bytes(&mut self, context: &mut NodeContext, bytes: &[u8]) {
        // Bytes of a client that was asked to reconnect are dropped.
        if self.server.is_none() {
            return;
        }
        self.buffers.to_server.push(bytes);
        for _ in bytes.iter().filter(|byte| **byte == b'\n') {
            context.placement.on_line_sent(self.request);
        }
    }

    fn on_server_bytes(
        &mut self,
        context: &mut NodeContext,
        bytes: &[u8],
        next_line: NextServerLine,
    ) {
        let mut next_line = next_line;
        let request = self.request;
        let last_line = &mut self.last_server_line;
        self.buffers.push_server_bytes(bytes, |line| {
            *last_line = ServerLine::parse(line);
            match (*last_line, next_line) {
                (ServerLine::Load(load), _) => context.placement.on_load_report(request, load),
                (_, NextServerLine::Reply) => context.placement.on_reply_received(request),
                (_, NextServerLine::Acceptance) => next_line = NextServerLine::Reply,
            }
        });
    }

    /// Writes pending bytes and updates the interests. Returns `Close` if both directions have ended.
    fn pump(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.buffers.to_client.write_to(&self.client).is_err() {
            return self.on_side_failed(context, Side::Client);
        }
        if let Some(server) = &mut self.server {
            if self.buffers.to_server.write_to(server).is_err() {
                return self.on_side_failed(context, Side::Server);
            }
        }
        if self.is_complete() {
            return Lifecycle::Close;
        }
        match self.update_interests() {
            Ok(()) => Lifecycle::Continue,
            Err(_) => self.on_side_failed(context, Side::Client),
        }
    }

    /// Returns true if both directions have ended.
    fn is_complete(&self) -> bool {
        let is_server_done = self.buffers.to_server.is_shut_down() || self.server.is_none();
        self.buffers.to_client.is_shut_down()
            && self.buffers.to_server.has_ended()
            && is_server_done
    }

    fn update_interests(&mut self) -> io::Result<()> {
        let client_interest = Interest {
            readable: self.buffers.can_read(Side::Client),
            writable: !self.buffers.to_client.pending().is_empty(),
        };
        let server_interest = Interest {
            readable: self.buffers.can_read(Side::Server),
            writable: !self.buffers.to_server.pending().is_empty(),
        };
        let client_result = self.client.set_interest(client_interest);
        let server_result = self.set_server_interest(server_interest);
        client_result.and(server_result)
    }

    fn set_server_interest(&mut self, interest: Interest) -> io::Result<()> {
        match &mut self.server {
            Some(server) => server.set_interest(interest),
            None => Ok(()),
        }
    }
}

impl Connection<NodeState> for Relay {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.transfer != TransferState::Idle {
            Lifecycle::Continue
        } else if readiness.readable {
            self.read(context, Side::of_socket(socket))
        } else {
            self.pump(context)
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        self.report_outcome(context, Outcome::Cancelled);
        Lifecycle::Close
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::Relay(RelayCommand::Migrate) => self.on_migrate(context),
            Message::Transfer(command) => self.on_transfer(context, command),
            Message::ClientSocket(ClientSocketCommand::Read) => self.read_out_of_turn(context),
            _ => Lifecycle::Continue,
        }
    }
}
