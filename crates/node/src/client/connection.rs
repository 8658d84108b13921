//! A client's connection until a relay takes it over, or until it is closed after an answer of the node itself.

mod claim;
mod request;
mod restore;
mod transfer;
mod waiting_request;

use super::answer;
use super::first_line::{FirstLine, FirstLineError, SettingsNames};
use super::unidentified::UnidentifiedEntry;
use crate::command::{ClientCommand, ClientSocketCommand, Message};
use crate::deadline::{ClientDeadline, DeadlineKind};
use crate::state::{NodeContext, NodeState};
use crate::upstream::server_line::MAX_LINE_BYTES;
use claim::ClaimingRequest;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{ComponentId, Connection, Interest, Lifecycle, Readiness};
use slog::debug;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use waiting_request::WaitingRequest;

/// How long a client may take to send its first line. Some clients need 2 s to write it, and every client must get an
/// answer or a close within 3 s of connecting.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a client may take to close after its answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of reads in one turn of the event loop. Guards against a client that sends at full speed and
/// delays other connections.
const MAX_READS_PER_TURN: usize = 4;
const READ_CHUNK_BYTES: usize = 4 << 10;
/// The maximum number of bytes read from a client after its answer: enough for a client that had already sent a
/// little more, so that no reset destroys its answer; a client that keeps sending is cut off.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// A first line that is not complete yet.
struct ReadingFirstLine {
    received: Vec<u8>,
    entry: UnidentifiedEntry,
}

/// An answer being written to the client, which is then expected to close.
struct Closing {
    /// The part of the answer that is not written yet.
    unsent: Vec<u8>,
    /// The number of bytes read and dropped since the answer.
    drained_bytes: usize,
    entry: UnidentifiedEntry,
}

enum State {
    ReadingFirstLine(ReadingFirstLine),
    /// The request is complete, and its id is in use.
    Claiming(ClaimingRequest),
    /// The request is complete and waits for a server.
    Waiting(WaitingRequest),
    Closing(Closing),
    /// Nothing is left to do: a relay has the socket, or the next state is about to be set.
    Finished,
}

impl State {
    /// The connection's entry among the unidentified ones, unless it has a request.
    fn unidentified_entry(&self) -> Option<&UnidentifiedEntry> {
        match self {
            State::ReadingFirstLine(reading) => Some(&reading.entry),
            State::Claiming(claiming) => Some(&claiming.entry),
            State::Closing(closing) => Some(&closing.entry),
            State::Waiting(_) | State::Finished => None,
        }
    }
}

/// A client's connection without a server.
pub(crate) struct ClientConnection {
    id: ComponentId,
    /// `None` once a relay has taken it over.
    stream: Option<Registered<TcpStream>>,
    state: State,
    /// The connection was sent to another process: nothing is read until that process has accepted or refused it.
    is_in_transfer: bool,
}

impl ClientConnection {
    /// Takes over an accepted connection, whose socket is registered as the component `id`, and reads the bytes that
    /// have already arrived.
    pub(super) fn accept(
        context: &mut NodeContext,
        id: ComponentId,
        stream: Registered<TcpStream>,
    ) {
        let mut client = ClientConnection::new(context, id, stream, Vec::new(), FIRST_LINE_TIMEOUT);
        // Most clients have sent their first line by now: guards against treating a client with a request as one that
        // sends nothing.
        if client.read(context) == Lifecycle::Continue {
            context.register(id, Box::new(client));
        } else {
            context.deadlines.clear_all(id);
        }
    }

    /// Creates a connection that has sent `received` of its first line and may take `timeout` for the rest.
    fn new(
        context: &mut NodeContext,
        id: ComponentId,
        stream: Registered<TcpStream>,
        received: Vec<u8>,
        timeout: Duration,
    ) -> ClientConnection {
        let entry = add_unidentified(context, id, timeout);
        ClientConnection {
            id,
            stream: Some(stream),
            state: State::ReadingFirstLine(ReadingFirstLine { received, entry }),
            is_in_transfer: false,
        }
    }

    fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let Some(stream) = &mut self.stream else {
                return Lifecycle::Close;
            };
            let lifecycle = match stream.read(&mut chunk) {
                Ok(0) => self.on_client_end(context),
                Ok(length) => self.on_bytes(context, &chunk[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue
                }
                Err(_) => self.on_client_closed(context),
            };
            if lifecycle == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Continue
    }

    /// Reads a client with a request, which may have disconnected.
    fn read_out_of_turn(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.state {
            State::Waiting(_) => self.read(context),
            _ => Lifecycle::Continue,
        }
    }

    fn on_bytes(&mut self, context: &mut NodeContext, bytes: &[u8]) -> Lifecycle {
        match &mut self.state {
            State::ReadingFirstLine(reading) => {
                reading.received.extend_from_slice(bytes);
                self.on_first_line_bytes(context)
            }
            // A client must not send anything after its first line until it is answered; no server could parse such
            // bytes. Guards against clients that send hundreds of commands at once, and against counting it as the
            // server's failure if the server closes the connection because of them.
            State::Claiming(_) | State::Waiting(_) => {
                self.abandon_request(context);
                self.reject_line(context, FirstLineError::MultipleLines)
            }
            State::Closing(closing) => {
                closing.drained_bytes += bytes.len();
                if closing.drained_bytes > MAX_DRAINED_BYTES {
                    Lifecycle::Close
                } else {
                    Lifecycle::Continue
                }
            }
            State::Finished => Lifecycle::Close,
        }
    }

    fn on_first_line_bytes(&mut self, context: &mut NodeContext) -> Lifecycle {
        let State::ReadingFirstLine(reading) = &mut self.state else {
            return Lifecycle::Continue;
        };
        let received = &mut reading.received;
        let Some(line_end) = received.iter().position(|byte| *byte == b'\n') else {
            return if received.len() < MAX_LINE_BYTES {
                Lifecycle::Continue
            } else {
                self.reject_line(context, FirstLineError::Unterminated)
            };
        };
        let rest = received.split_off(line_end + 1);
        let line = std::mem::take(received);
        let lifecycle = self.on_first_line(context, line);
        if lifecycle == Lifecycle::Continue && !rest.is_empty() {
            return self.on_bytes(context, &rest);
        }
        lifecycle
    }

    fn on_first_line(&mut self, context: &mut NodeContext, line: Vec<u8>) -> Lifecycle {
        let names = SettingsNames {
            classes: &context.config.classes,
            tenants: &context.config.tenants,
        };
        match FirstLine::parse(&line, names) {
            Ok(FirstLine::Ping) => self.answer_ping(context),
            Ok(FirstLine::Open(open)) => self.on_open(context, open, line),
            Err(error) => self.reject_line(context, error),
        }
    }

    /// Answers `PING`. The front load balancer sends clients to this node after a `PONG`, so `PONG` is sent only if
    /// they can be served.
    fn answer_ping(&mut self, context: &mut NodeContext) -> Lifecycle {
        if context.check_serving().is_ok() {
            self.answer(context, answer::PONG)
        } else {
            self.answer(context, &answer::busy(Duration::ZERO))
        }
    }

    fn reject_line(&mut self, context: &mut NodeContext, error: FirstLineError) -> Lifecycle {
        debug!(context.log, "first line rejected"; "reason" => %error);
        self.answer(context, answer::ERROR)
    }

    /// Sends an answer of the node itself; the request, if there is one, has ended for this connection.
    fn answer(&mut self, context: &mut NodeContext, answer: &[u8]) -> Lifecycle {
        // The old entry among the unidentified connections is removed before the new one is added because both may
        // have the same key.
        self.state = State::Finished;
        self.state = State::Closing(Closing {
            unsent: answer.to_vec(),
            drained_bytes: 0,
            entry: add_unidentified(context, self.id, LINGER_TIMEOUT),
        });
        for retry in [ClientDeadline::RestoreRetry, ClientDeadline::ClaimRetry] {
            context.deadlines.clear(self.id, retry.into());
        }
        self.write_answer()
    }

    /// Writes the rest of the answer, then shuts down the sending direction. The client is expected to close, because
    /// closing at once could destroy an answer that it has not read yet.
    fn write_answer(&mut self) -> Lifecycle {
        let (State::Closing(closing), Some(stream)) = (&mut self.state, &mut self.stream) else {
            return Lifecycle::Close;
        };
        match write_all_or_wait(stream, &mut closing.unsent) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => Lifecycle::Close,
        }
    }

    /// Handles a client that has shut down its sending direction: its request is not sent to any server. The client
    /// may still read, so it gets an answer.
    fn on_client_end(&mut self, context: &mut NodeContext) -> Lifecycle {
        if matches!(self.state, State::Claiming(_) | State::Waiting(_)) {
            self.write_final_answer(answer::ERROR);
        }
        self.on_client_closed(context)
    }

    /// Handles a client that has disconnected: it gets no answer.
    fn on_client_closed(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.abandon_request(context);
        Lifecycle::Close
    }

    fn on_command(&mut self, context: &mut NodeContext, command: ClientCommand) -> Lifecycle {
        match command {
            ClientCommand::StartAttempt(order) => self.on_start_attempt(context, &order),
            ClientCommand::Reject(retry_after) => self.on_rejected(context, retry_after),
            ClientCommand::Fail => self.on_failed(context),
            ClientCommand::AttemptConnected(attempt) => self.on_attempt_connected(context, attempt),
            ClientCommand::AttemptAccepted(accepted) => self.on_attempt_accepted(context, accepted),
            ClientCommand::AttemptServed(line) => self.on_attempt_served(context, &line),
            ClientCommand::RestoreFailed(outcome) => self.on_restore_failed(context, outcome),
            ClientCommand::ClaimReport { is_in_use } => self.on_claim_report(context, is_in_use),
            ClientCommand::Close => self.on_close(context),
            ClientCommand::AnswerBeforeExit(scope) => self.on_exit(context, scope),
        }
    }

    /// Handles a connection that has to close because its time is up or the process exits. What has arrived is read
    /// first: guards against closing a connection whose request is complete, since its last byte may have arrived
    /// while this process was kept from reading. A client that has sent nothing is rejected too: its first line may
    /// already be in transit, and is then answered.
    fn on_expired(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.read(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        match &self.state {
            State::ReadingFirstLine(reading) if reading.received.is_empty() => {
                self.answer(context, &answer::busy(Duration::ZERO))
            }
            State::ReadingFirstLine(_) => self.reject_line(context, FirstLineError::TimedOut),
            _ => Lifecycle::Continue,
        }
    }

    /// Writes as much of an answer as the socket accepts at once, before an immediate close.
    fn write_final_answer(&mut self, answer: &[u8]) {
        if let Some(stream) = &self.stream {
            // The client may already have disconnected.
            let _ = stream.write(answer);
        }
    }
}

/// Adds a connection to the unidentified ones; it expires after `timeout`.
fn add_unidentified(
    context: &mut NodeContext,
    id: ComponentId,
    timeout: Duration,
) -> UnidentifiedEntry {
    let entry = context.unidentified_clients.add(id, timeout);
    context
        .deadlines
        .set(id, ClientDeadline::Close.into(), entry.expires_at());
    entry
}

/// Writes as much of `unsent` as the stream accepts, and shuts down the sending direction after the last byte.
fn write_all_or_wait(stream: &mut Registered<TcpStream>, unsent: &mut Vec<u8>) -> io::Result<()> {
    while !unsent.is_empty() {
        match stream.write(unsent) {
            Ok(length) => drop(unsent.drain(..length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return stream.set_interest(Interest::READ_WRITE);
            }
            Err(error) => return Err(error),
        }
    }
    stream.shutdown(Shutdown::Write)?;
    stream.set_interest(Interest::READ)
}

impl Connection<NodeState> for ClientConnection {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.is_in_transfer {
            return Lifecycle::Continue;
        }
        let is_closing = matches!(self.state, State::Closing(_));
        if readiness.writable && is_closing && self.write_answer() == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        match self.state {
            _ if self.is_in_transfer => Lifecycle::Continue,
            State::ReadingFirstLine(_) => self.on_expired(context),
            State::Claiming(_) if kind == ClientDeadline::ClaimRetry.into() => {
                self.on_claim_retry(context)
            }
            State::Claiming(_) => self.on_claim_timeout(context),
            State::Waiting(_) if kind == ClientDeadline::RestoreRetry.into() => {
                self.on_restore_retry(context)
            }
            _ => Lifecycle::Close,
        }
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::Client(command) => self.on_command(context, command),
            Message::Transfer(command) => self.on_transfer(context, command),
            Message::ClientSocket(ClientSocketCommand::Read) => self.read_out_of_turn(context),
            _ => Lifecycle::Continue,
        }
    }
}
