//! One attempt: a connection to a server until the server's answer to the first line.

mod answer;

use super::forwarded_line::ForwardedLine;
use super::reset_on_close::{disable_reset_on_close, enable_reset_on_close};
use crate::command::{AttemptCommand, ClientCommand, Message};
use crate::deadline::{AttemptDeadline, DeadlineKind};
use crate::placement_driver::{hex_id, ClientState};
use crate::state::{NodeContext, NodeState};
use lupincrank_placement::{Outcome, RequestId};
use lupincrank_reactor::poll::{self, is_local_failure, Registered};
use lupincrank_reactor::unacknowledged::unacknowledged_bytes;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use slog::debug;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connect that fails for a local reason ([`is_local_failure`]) is retried after this time, which doubles with each
/// retry up to the maximum.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(5);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(20);
/// Such retries end after this time, or after the connect timeout of the settings if that is longer.
const MIN_CONNECT_RETRY_TIME: Duration = Duration::from_millis(500);

/// The parameters of an attempt.
pub(crate) struct Attempt {
    /// The client's component.
    pub(crate) owner: ComponentId,
    /// The request.
    pub(crate) request: RequestId,
    /// The address on which the server listens.
    pub(crate) address: SocketAddr,
    /// The first line for the server.
    pub(crate) line: ForwardedLine,
    /// When to stop waiting for the server's answer.
    pub(crate) deadline: Instant,
    /// The connection was established before this process started: the outcome of the attempt is reported to the
    /// owner, not to placement.
    pub(crate) is_restored: bool,
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    /// Connected; the owner has yet to be asked whether the client still waits.
    Connected,
    /// The owner was asked and has not answered yet.
    AwaitingOwner,
    /// The first line may be written; after that the server's answer is awaited.
    Sending,
}

/// The connection of one attempt.
pub(crate) struct UpstreamAttempt {
    id: ComponentId,
    attempt: Attempt,
    /// `None` while connecting fails for a local reason.
    stream: Option<Registered<TcpStream>>,
    /// The end of retries of a connect that fails for a local reason.
    retry_connect_until: Instant,
    /// The delay before the next such retry.
    connect_backoff: Duration,
    phase: Phase,
    /// The first line as sent; empty until writing starts.
    line: Vec<u8>,
    /// The number of bytes of the first line that are written.
    written: usize,
    /// Bytes received from the server and not parsed yet.
    received: Vec<u8>,
}

impl UpstreamAttempt {
    /// Starts an attempt. The outcome is reported even if the attempt cannot start.
    pub(crate) fn begin(context: &mut NodeContext, id: ComponentId, attempt: Attempt) {
        let retry_time = context.config.connect_timeout.max(MIN_CONNECT_RETRY_TIME);
        let mut connection = UpstreamAttempt {
            id,
            retry_connect_until: attempt.deadline.min(Instant::now() + retry_time),
            connect_backoff: MIN_CONNECT_BACKOFF,
            attempt,
            stream: None,
            phase: Phase::Connecting,
            line: Vec::new(),
            written: 0,
            received: Vec::new(),
        };
        context.deadlines.set(
            id,
            AttemptDeadline::Answer.into(),
            connection.attempt.deadline,
        );
        if connection.connect(context) == Lifecycle::Continue {
            context.register(id, Box::new(connection));
        } else {
            context.deadlines.clear_all(id);
        }
    }

    fn set_connect_deadline(&self, context: &mut NodeContext) {
        let connect_by = Instant::now() + context.config.connect_timeout;
        context.deadlines.set(
            self.id,
            AttemptDeadline::Connect.into(),
            connect_by.min(self.attempt.deadline),
        );
    }

    /// Starts to connect. A connect that fails for a local reason is no evidence against the server: it is retried
    /// for a while.
    fn connect(&mut self, context: &mut NodeContext) -> Lifecycle {
        let address = self.attempt.address;
        let error = match poll::connect(&context.poller, address, poller_key(self.id, 0)) {
            Ok(stream) => {
                self.stream = Some(stream);
                self.set_connect_deadline(context);
                return Lifecycle::Continue;
            }
            Err(error) => error,
        };
        debug!(context.log, "connect failed"; "address" => %address, "error" => %error);
        if is_local_failure(&error) {
            self.retry_connect(context)
        } else {
            self.end(context, Outcome::ConnectFailed)
        }
    }

    fn retry_connect(&mut self, context: &mut NodeContext) -> Lifecycle {
        let retry_at = Instant::now() + self.connect_backoff;
        if retry_at >= self.retry_connect_until {
            return self.end(context, Outcome::NotSent);
        }
        self.connect_backoff = (self.connect_backoff * 2).min(MAX_CONNECT_BACKOFF);
        context
            .deadlines
            .set(self.id, AttemptDeadline::RetryConnect.into(), retry_at);
        Lifecycle::Continue
    }

    fn is_line_written(&self) -> bool {
        !self.line.is_empty() && self.written == self.line.len()
    }

    /// Closes the connection, then reports the outcome: the next attempt must not start earlier.
    fn end(&mut self, context: &mut NodeContext, outcome: Outcome) -> Lifecycle {
        debug!(context.log, "attempt ended"; "request" => hex_id(self.attempt.request),
            "address" => %self.attempt.address, "outcome" => ?outcome);
        self.close();
        if self.attempt.is_restored {
            context.send(self.attempt.owner, ClientCommand::RestoreFailed(outcome));
        } else {
            context
                .placement
                .on_attempt_ended(self.attempt.request, outcome, ClientState::Waiting);
        }
        Lifecycle::Close
    }

    /// Closes the connection, with a reset if bytes of the first line may not have arrived.
    fn close(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.written > 0 && matches!(unacknowledged_bytes(&stream), Ok(0)) {
            let _ = disable_reset_on_close(&stream);
        }
    }

    /// The outcome if the connection breaks in the present phase: the request may have been executed only if the last
    /// byte of the first line was written.
    fn disconnect_outcome(&self) -> Outcome {
        if self.phase == Phase::Connecting {
            Outcome::ConnectFailed
        } else if self.is_line_written() {
            Outcome::Reset
        } else {
            Outcome::ClosedBeforeSend
        }
    }

    /// Continues connecting and writing, as far as the phase and the socket allow.
    fn advance(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.try_advance(context) {
            Ok(()) => Lifecycle::Continue,
            Err(error) => {
                debug!(context.log, "send failed"; "address" => %self.attempt.address, "error" => %error);
                self.end(context, self.disconnect_outcome())
            }
        }
    }

    fn try_advance(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Ok(());
        };
        if self.phase == Phase::Connecting {
            if let Some(error) = stream.take_error()? {
                return Err(error);
            }
            self.phase = Phase::Connected;
            context
                .deadlines
                .clear(self.id, AttemptDeadline::Connect.into());
        }
        // Connecting may have taken long, so the owner first checks whether the client still waits. It does so before
        // the next event; until then the write interest is off, so that a writable socket does not make the event
        // loop spin.
        if self.phase == Phase::Connected {
            self.phase = Phase::AwaitingOwner;
            context.send(self.attempt.owner, ClientCommand::AttemptConnected(self.id));
        }
        if self.phase == Phase::AwaitingOwner {
            return stream.set_interest(Interest::READ);
        }
        self.write_line()
    }

    fn write_line(&mut self) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Ok(());
        };
        if self.line.is_empty() {
            let time_left = self
                .attempt
                .deadline
                .saturating_duration_since(Instant::now());
            self.line = self.attempt.line.with_time_left(time_left);
        }
        // If the connection closes, or this process ends, while the network is partitioned, no part of the line may
        // arrive once the partition heals.
        if self.written == 0 {
            enable_reset_on_close(stream)?;
        }
        while self.written < self.line.len() {
            match stream.write(&self.line[self.written..]) {
                Ok(length) => self.written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // The owner is asked again before the rest is written.
                    self.phase = Phase::Connected;
                    return stream.set_interest(Interest::READ_WRITE);
                }
                Err(error) => return Err(error),
            }
        }
        stream.set_interest(Interest::READ)
    }

    /// Writes the first line, since the client still waits, unless placement refuses to send new requests to the
    /// server: it may have started to drain while the connection was set up. A restored connection is not a new
    /// request.
    fn on_send_first_line(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.phase = Phase::Sending;
        let is_new = self.written == 0 && !self.attempt.is_restored;
        if is_new && !context.placement.can_send_first_line(self.attempt.request) {
            return self.end(context, Outcome::ClosedBeforeSend);
        }
        self.advance(context)
    }
}

impl Connection<NodeState> for UpstreamAttempt {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if !self.is_line_written() && self.advance(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        if kind == AttemptDeadline::RetryConnect.into() {
            return self.connect(context);
        }
        // The answer may have arrived while this process was kept from reading it.
        if self.phase != Phase::Connecting && self.read(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        let outcome = if self.is_line_written() {
            Outcome::TimedOut
        } else if self.stream.is_none() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        self.end(context, outcome)
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Attempt(command) = message else {
            return Lifecycle::Continue;
        };
        match command {
            AttemptCommand::SendFirstLine => self.on_send_first_line(context),
            AttemptCommand::Close => {
                self.close();
                Lifecycle::Close
            }
        }
    }
}
