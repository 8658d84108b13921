//! A client's connection until a relay passes its bytes on, or until it has this node's own answer.

mod request;
mod transfer;

use super::answer;
use super::first_line::{FirstLine, FirstLineError, SettingsNames};
use super::unidentified::UnidentifiedEntry;
use crate::command::{ClientCommand, Message};
use crate::deadline::{ClientDeadline, DeadlineKind};
use crate::state::{NodeContext, NodeState};
use crate::upstream::server_line::MAX_LINE_BYTES;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{ComponentId, Connection, Interest, Lifecycle, Readiness};
use request::WaitingRequest;
use slog::debug;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long a client may take for its first line. Some need 2 s to write it, and whoever connects is owed an answer or
/// a close in 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a client that has its answer may take to close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Reads in one turn of the loop. Guards against a client that sends at full speed and keeps the others waiting.
const MAX_READS_PER_TURN: usize = 4;
const READ_CHUNK_BYTES: usize = 4 << 10;
/// What is still read of a client that has its answer: enough for one that had sent a little more by then, so that
/// its answer is not lost to a reset; one that sends on and on is cut off.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// A first line that is not complete yet.
struct ReadingFirstLine {
    received: Vec<u8>,
    entry: UnidentifiedEntry,
}

/// An answer on its way to the client, whose close is awaited.
struct Closing {
    /// What of the answer is still to be written.
    unsent: Vec<u8>,
    /// How many bytes were read since the answer, and dropped.
    drained_bytes: usize,
    entry: UnidentifiedEntry,
}

enum State {
    ReadingFirstLine(ReadingFirstLine),
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
            State::Closing(closing) => Some(&closing.entry),
            State::Waiting(_) | State::Finished => None,
        }
    }
}

/// A client's connection without a server.
pub(crate) struct ClientConnection {
    id: ComponentId,
    /// `None` once a relay has it.
    stream: Option<Registered<TcpStream>>,
    state: State,
    /// It was sent to another process: nothing is read until that process has accepted or refused it.
    is_in_transfer: bool,
}

impl ClientConnection {
    /// Takes an accepted connection, whose socket is registered as the component `id`, and reads what has come on it
    /// already.
    pub(super) fn accept(
        context: &mut NodeContext,
        id: ComponentId,
        stream: Registered<TcpStream>,
    ) {
        let mut client = ClientConnection::new(context, id, stream, Vec::new(), FIRST_LINE_TIMEOUT);
        // Most have sent their line by now: guards against holding one that asks for one that says nothing.
        if client.read(context) == Lifecycle::Continue {
            context.register(id, Box::new(client));
        } else {
            context.deadlines.clear_all(id);
        }
    }

    /// A connection that has sent `received` of its first line, and whose time for the rest is `timeout`.
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

    fn on_bytes(&mut self, context: &mut NodeContext, bytes: &[u8]) -> Lifecycle {
        match &mut self.state {
            State::ReadingFirstLine(reading) => {
                reading.received.extend_from_slice(bytes);
                self.on_first_line_bytes(context)
            }
            // A client waits for its answer. One that does not sends what no server can read: guards against
            // commands by the hundred, and against a server that is blamed for closing on them.
            State::Waiting(_) => {
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

    /// The front sends clients to this node once this is answered with `PONG`: only when they can be served.
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

    /// Sends this node's own answer; the request, if there is one, is over for this connection.
    fn answer(&mut self, context: &mut NodeContext, answer: &[u8]) -> Lifecycle {
        // The old entry among the unidentified connections goes before the new one comes, for both may have the same
        // key.
        self.state = State::Finished;
        self.state = State::Closing(Closing {
            unsent: answer.to_vec(),
            drained_bytes: 0,
            entry: add_unidentified(context, self.id, LINGER_TIMEOUT),
        });
        context
            .deadlines
            .clear(self.id, ClientDeadline::RestoreRetry.into());
        self.write_answer()
    }

    /// Writes what is left of the answer, then ends the sending. The client's close is awaited, for closing at once
    /// could destroy an answer that it has not read yet.
    fn write_answer(&mut self) -> Lifecycle {
        let (State::Closing(closing), Some(stream)) = (&mut self.state, &mut self.stream) else {
            return Lifecycle::Close;
        };
        match write_all_or_wait(stream, &mut closing.unsent) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => Lifecycle::Close,
        }
    }

    /// The client sends no more: its request is sent nowhere from now on. It may still read, so that it is told.
    fn on_client_end(&mut self, context: &mut NodeContext) -> Lifecycle {
        if matches!(self.state, State::Waiting(_)) {
            self.write_last_words(answer::ERROR);
        }
        self.on_client_closed(context)
    }

    /// The client has closed: nothing is owed to it.
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
            ClientCommand::Close => self.on_close(context),
            ClientCommand::AnswerBeforeExit(scope) => self.on_exit(context, scope),
        }
    }

    /// The connection has to close, because its time is up or the process exits: what has come of it by now is read
    /// first. Guards against closing a connection whose request is complete: its last byte may have come while this
    /// process was kept from reading. One that has sent nothing is rejected all the same: its first line may cross the
    /// end of the connection, and has an answer then.
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

    /// Writes as much of an answer as the socket takes at once, ahead of a close that waits for nothing.
    fn write_last_words(&mut self, answer: &[u8]) {
        if let Some(stream) = &self.stream {
            // Who is told may have gone.
            let _ = stream.write(answer);
        }
    }
}

/// Lists a connection as unidentified, until its expiry after `timeout`.
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

/// Writes `unsent` as far as the stream accepts it, and ends the sending behind its last byte.
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
            _ => Lifecycle::Continue,
        }
    }
}
