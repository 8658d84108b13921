//! A connection to the admin address: reads one call, writes the answer and waits until the caller closes the
//! connection.

use super::handler::{handle, AdminCallError};
use crate::command::{AdminConnectionCommand, Message};
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use crate::upstream::server_line::MAX_LINE_BYTES;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{ComponentId, Connection, Interest, Lifecycle, Readiness};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time to receive the complete call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the caller to close the connection after the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Limit of the bytes read from a caller in one turn of the event loop. If a caller sends more, its connection is
/// closed.
const MAX_BYTES_PER_TURN: usize = 4 * MAX_LINE_BYTES;

/// The open connections, the oldest first.
pub(super) type OpenConnections = Rc<RefCell<BTreeSet<ComponentId>>>;

/// The progress of the call.
enum CallState {
    /// The call is being received. Contains its received part.
    Receiving(Vec<u8>),
    /// The answer is being written. Contains its unwritten part.
    Answered(Vec<u8>),
}

/// A connection to the admin address, which carries one call.
pub(super) struct AdminConnection {
    id: ComponentId,
    stream: Registered<TcpStream>,
    state: CallState,
    open_connections: OpenConnections,
}

impl Drop for AdminConnection {
    fn drop(&mut self) {
        self.open_connections.borrow_mut().remove(&self.id);
    }
}

impl AdminConnection {
    /// Creates the component of an accepted connection, which counts as open until it is dropped.
    pub(super) fn new(
        id: ComponentId,
        stream: Registered<TcpStream>,
        open_connections: OpenConnections,
    ) -> AdminConnection {
        open_connections.borrow_mut().insert(id);
        AdminConnection {
            id,
            stream,
            state: CallState::Receiving(Vec::new()),
            open_connections,
        }
    }

    /// Reads the bytes that have already arrived, and registers the connection with the event loop unless it is to be
    /// closed.
    pub(super) fn start(mut self, context: &mut NodeContext) {
        if self.read(context) == Lifecycle::Close {
            return;
        }
        let timeout = if self.is_answered() {
            LINGER_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        self.set_deadline(context, timeout);
        context.register(self.id, Box::new(self));
    }

    fn is_answered(&self) -> bool {
        matches!(self.state, CallState::Answered(_))
    }

    fn set_deadline(&self, context: &mut NodeContext, timeout: Duration) {
        context.deadlines.set(
            self.id,
            DeadlineKind::AdminConnection,
            Instant::now() + timeout,
        );
    }

    fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut total = 0;
        while total < MAX_BYTES_PER_TURN {
            match self.stream.read(&mut buffer) {
                Ok(0) => return self.on_end(context),
                Ok(length) => {
                    total += length;
                    if self.on_bytes(context, &buffer[..length]) == Lifecycle::Close {
                        return Lifecycle::Close;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue;
                }
                Err(_) => return Lifecycle::Close,
            }
        }
        Lifecycle::Close
    }

    /// Handles the end of the caller's input.
    fn on_end(&mut self, context: &mut NodeContext) -> Lifecycle {
        match &self.state {
            CallState::Receiving(call) if !call.is_empty() => {
                self.answer(context, Err(AdminCallError::Incomplete))
            }
            CallState::Receiving(_) | CallState::Answered(_) => Lifecycle::Close,
        }
    }

    /// Handles received bytes. Bytes after the call are ignored.
    fn on_bytes(&mut self, context: &mut NodeContext, bytes: &[u8]) -> Lifecycle {
        let CallState::Receiving(received) = &mut self.state else {
            return Lifecycle::Continue;
        };
        received.extend_from_slice(bytes);
        let line_end = received.iter().position(|byte| *byte == b'\n');
        match line_end {
            Some(end) if end < MAX_LINE_BYTES => {
                let line = received[..end].to_vec();
                let outcome = handle(context, line.strip_suffix(b"\r").unwrap_or(&line));
                self.answer(context, outcome)
            }
            _ if received.len() >= MAX_LINE_BYTES => {
                self.answer(context, Err(AdminCallError::TooLong))
            }
            _ => Lifecycle::Continue,
        }
    }

    fn answer(
        &mut self,
        context: &mut NodeContext,
        outcome: Result<String, AdminCallError>,
    ) -> Lifecycle {
        let line = match outcome {
            Ok(text) if text.is_empty() => "done\r\n".to_string(),
            Ok(text) => format!("done {text}\r\n"),
            Err(error) => format!("error {error}\r\n"),
        };
        self.state = CallState::Answered(line.into_bytes());
        self.set_deadline(context, LINGER_TIMEOUT);
        self.flush()
    }

    /// Writes the rest of the answer and shuts down the sending side. The connection stays open until the caller closes
    /// it, since closing it at once could discard an answer that the caller has not read yet.
    fn flush(&mut self) -> Lifecycle {
        let CallState::Answered(answer) = &mut self.state else {
            return Lifecycle::Continue;
        };
        while !answer.is_empty() {
            match self.stream.write(answer) {
                Ok(length) => drop(answer.drain(..length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.wait_for(Interest::READ_WRITE);
                }
                Err(_) => return Lifecycle::Close,
            }
        }
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return Lifecycle::Close;
        }
        self.wait_for(Interest::READ)
    }

    fn wait_for(&mut self, interest: Interest) -> Lifecycle {
        match self.stream.set_interest(interest) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => Lifecycle::Close,
        }
    }
}

impl Connection<NodeState> for AdminConnection {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if readiness.writable && self.flush() == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        if self.is_answered() {
            Lifecycle::Close
        } else {
            self.answer(context, Err(AdminCallError::TimedOut))
        }
    }

    fn on_message(&mut self, _context: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::AdminConnection(AdminConnectionCommand::Close) => Lifecycle::Close,
            _ => Lifecycle::Continue,
        }
    }
}
