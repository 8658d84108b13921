//! One attempt: a connection to a server from its begin to the server's first line.

use super::forwarded_line::ForwardedLine;
use super::reset_on_close::{disable_reset_on_close, enable_reset_on_close};
use super::server_line::{ServerLine, MAX_LINE_BYTES};
use crate::command::{AcceptedAttempt, AttemptCommand, ClientCommand, Message};
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

/// What one turn of the loop reads of a server. Guards against an answer that never ends and keeps the others waiting.
const MAX_BYTES_PER_TURN: usize = 16 << 10;
const READ_CHUNK_BYTES: usize = 4 << 10;

/// A connect that this machine refuses is made again after this time, then after twice as long each time, up to the longest.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(5);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(20);
/// For so long, or for the connect timeout of the settings if that is longer.
const MIN_CONNECT_RETRY_TIME: Duration = Duration::from_millis(500);

/// What is attempted.
pub(crate) struct Attempt {
    /// The client's component.
    pub(crate) owner: ComponentId,
    /// The request that it is for.
    pub(crate) request: RequestId,
    /// Where the server listens.
    pub(crate) address: SocketAddr,
    /// The first line for the server.
    pub(crate) line: ForwardedLine,
    /// When to stop waiting.
    pub(crate) deadline: Instant,
    /// The connection stood before this process began: how the attempt ends is reported to the owner, not to placement.
    pub(crate) is_restored: bool,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    /// Connected; the owner is to be asked whether the client still waits.
    Connected,
    /// The owner was asked and has not answered yet.
    AwaitingOwner,
    /// The first line may be written; once it is, the server's answer is awaited.
    Sending,
}

/// The connection of one attempt.
pub(crate) struct UpstreamAttempt {
    id: ComponentId,
    attempt: Attempt,
    /// `None` while this machine refuses to connect.
    stream: Option<Registered<TcpStream>>,
    /// A connect that this machine refuses is made again until then.
    retry_connect_until: Instant,
    /// After how long a connect that this machine refuses is made again.
    connect_backoff: Duration,
    phase: Phase,
    /// The first line as it is written; empty until then.
    line: Vec<u8>,
    /// How many bytes of the first line are written.
    written: usize,
    /// What has come of the server and is not parsed yet.
    received: Vec<u8>,
}

impl UpstreamAttempt {
    /// Begins an attempt. How it ends is reported, also where it cannot even begin.
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

    /// Begins to connect. What this machine refuses for a moment says nothing of the server: it is made again for a
    /// while.
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

    /// Closes the connection, then reports how the attempt ended: the next one must not begin before.
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

    /// Closes the connection, with a reset if bytes of it may not have arrived.
    fn close(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.written > 0 && matches!(unacknowledged_bytes(&stream), Ok(0)) {
            let _ = disable_reset_on_close(&stream);
        }
    }

    /// How a break of the connection counts now: whether the request may have been executed hinges on the last byte of
    /// the first line.
    fn outcome_of_break(&self) -> Outcome {
        if self.phase == Phase::Connecting {
            Outcome::ConnectFailed
        } else if self.is_line_written() {
            Outcome::Reset
        } else {
            Outcome::ClosedBeforeSend
        }
    }

    /// Goes on with connecting and writing, as far as the phase and the socket allow.
    fn advance(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.try_advance(context) {
            Ok(()) => Lifecycle::Continue,
            Err(error) => {
                debug!(context.log, "send failed"; "address" => %self.attempt.address, "error" => %error);
                self.end(context, self.outcome_of_break())
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
        // Connecting may have taken long: whether the client still waits is seen first. The owner looks before the
        // next event; nothing is waited for meanwhile. Guards against a loop that spins on a writable socket.
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
        // Nothing of the line may arrive once a network that was cut heals, also where this process ends.
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

    /// The client still waits: the first line is written, unless placement refuses to send new requests to the server by
    /// now, which may have begun to drain while the connection was made. A connection that stood there before is no new
    /// one.
    fn on_send_first_line(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.phase = Phase::Sending;
        let is_new = self.written == 0 && !self.attempt.is_restored;
        if is_new && !context.placement.can_send_first_line(self.attempt.request) {
            return self.end(context, Outcome::ClosedBeforeSend);
        }
        self.advance(context)
    }
}

/// Reading what the server answers.
impl UpstreamAttempt {
    fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < MAX_BYTES_PER_TURN {
            let Some(stream) = &mut self.stream else {
                return Lifecycle::Continue;
            };
            match stream.read(&mut chunk) {
                Ok(0) => return self.end(context, self.outcome_of_break()),
                Ok(length) => {
                    read_bytes += length;
                    self.received.extend_from_slice(&chunk[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue
                }
                Err(_) => return self.end(context, self.outcome_of_break()),
            }
            if self.process_lines(context) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Continue
    }

    fn process_lines(&mut self, context: &mut NodeContext) -> Lifecycle {
        while let Some(line_end) = self.received.iter().position(|byte| *byte == b'\n') {
            if self.on_line(context, line_end) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        if self.received.len() > MAX_LINE_BYTES {
            return self.end(context, Outcome::Error);
        }
        Lifecycle::Continue
    }

    /// Handles the first line of `received`, whose line feed is at `line_end`.
    fn on_line(&mut self, context: &mut NodeContext, line_end: usize) -> Lifecycle {
        let line_bytes = &self.received[..line_end];
        let is_well_formed = line_bytes.ends_with(b"\r") && line_end < MAX_LINE_BYTES;
        let line = ServerLine::parse_answer(line_bytes, &context.config.answer_report_fields);
        let is_answer = !matches!(line, ServerLine::Load(_));
        if let Some(stream) = self.stream.as_ref().filter(|_| is_answer) {
            // The server has the first line.
            let _ = disable_reset_on_close(stream);
        }
        match line {
            _ if !is_well_formed => self.end(context, Outcome::Error),
            ServerLine::Up => self.on_accepted(context),
            ServerLine::Bye => self.on_served(context, line_end),
            // A load reported before the answer is of no use to anyone yet.
            ServerLine::Load(_) => {
                self.received.drain(..=line_end);
                Lifecycle::Continue
            }
            ServerLine::Busy => self.end(context, Outcome::Rejected),
            ServerLine::Move => self.end(context, Outcome::Cancelled),
            ServerLine::SyntaxError if !self.attempt.is_restored => self.on_syntax_error(context),
            ServerLine::Error | ServerLine::SyntaxError | ServerLine::Unknown => {
                self.end(context, Outcome::Error)
            }
        }
    }

    /// The server has accepted the request: the socket and what has come on it go to the owner.
    fn on_accepted(&mut self, context: &mut NodeContext) -> Lifecycle {
        if let Some(stream) = self.stream.take() {
            let accepted = AcceptedAttempt {
                request: self.attempt.request,
                stream,
                bytes: std::mem::take(&mut self.received),
            };
            context.send(self.attempt.owner, ClientCommand::AttemptAccepted(accepted));
        }
        Lifecycle::Close
    }

    /// The server has served the request to its end at once.
    fn on_served(&mut self, context: &mut NodeContext, line_end: usize) -> Lifecycle {
        let line = self.received[..=line_end].to_vec();
        self.stream = None;
        context.send(self.attempt.owner, ClientCommand::AttemptServed(line));
        Lifecycle::Close
    }

    /// The server could not parse the first line, which is the client's fault.
    fn on_syntax_error(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.stream = None;
        context
            .placement
            .on_unreadable_request(self.attempt.request);
        Lifecycle::Close
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
        // The answer may have come while this process was kept from reading it.
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
