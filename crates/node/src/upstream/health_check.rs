//! Health checks: one line to a server on a separate connection, whose response reports the server's load. The
//! connection stays open for the next check because each new connection costs the server work.

use super::open_health_checks::CheckedServer;
use super::server_line::parse_report;
use crate::command::{HealthCheckCommand, Message};
use crate::deadline::{DeadlineKind, HealthCheckDeadline};
use crate::state::{NodeContext, NodeState};
use lupincrank_placement::ServerId;
use lupincrank_reactor::poll::{self, is_local_failure, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use slog::debug;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const REQUEST_LINE: &[u8] = b"STATS\r\n";
/// The maximum length of a response. Guards against an endless one.
const MAX_RESPONSE_BYTES: usize = 1 << 10;
/// A check fails if the server does not respond within this time: the server is then assumed to be unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection stays open without a check.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A server's response.
#[derive(Debug, PartialEq)]
struct HealthCheckResponse {
    has_passed: bool,
    /// The fields of the load report, in the order of the settings.
    load_report: Option<Vec<f64>>,
}

impl HealthCheckResponse {
    /// Parses `WORD FIELD=NUMBER,...` without its terminator. A report that lacks any of `fields` is ignored.
    fn parse(line: &str, fields: &[String]) -> HealthCheckResponse {
        let (word, report) = line.split_once(' ').unwrap_or((line, ""));
        HealthCheckResponse {
            // `NO` is the response of a server that does not support health checks but is running.
            has_passed: matches!(word, "PONG" | "NO"),
            load_report: parse_report(report, fields),
        }
    }
}

/// Checks a server's health and reports the result to placement. If too many servers are being checked at once, the
/// check is skipped and counts as passed without a report.
pub(crate) fn check(context: &mut NodeContext, server: &ServerId, address: SocketAddr) {
    let open = context.health_checks.connections.get(server).copied();
    match open {
        Some(open) if open.address == address => {
            return context.send(open.connection, HealthCheckCommand::Check);
        }
        Some(open) => context.send(open.connection, HealthCheckCommand::Close),
        None if context.health_checks.connections.len() >= context.config.max_health_checks() => {
            return context.placement.on_health_check(server, true, None);
        }
        None => {}
    }
    if let Err(error) = HealthCheckConnection::open(context, server, address) {
        debug!(context.log, "health check not started"; "server" => &*server.0, "error" => %error);
        let has_passed = is_local_failure(&error);
        context.placement.on_health_check(server, has_passed, None);
    }
}

/// The progress of the current check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckState {
    Idle,
    /// `written` bytes of the request line are written.
    Pending {
        written: usize,
    },
}

/// The connection for the health checks of one server.
struct HealthCheckConnection {
    id: ComponentId,
    server: ServerId,
    stream: Registered<TcpStream>,
    is_connected: bool,
    check: CheckState,
    received: Vec<u8>,
}

impl HealthCheckConnection {
    /// Connects to a server and starts the first check.
    fn open(context: &mut NodeContext, server: &ServerId, address: SocketAddr) -> io::Result<()> {
        let id = context.allocate_id();
        let stream = poll::connect(&context.poller, address, poller_key(id, 0))?;
        let now = Instant::now();
        let connect_timeout = context.config.connect_timeout.min(RESPONSE_TIMEOUT);
        context.deadlines.set(
            id,
            HealthCheckDeadline::Connect.into(),
            now + connect_timeout,
        );
        context.deadlines.set(
            id,
            HealthCheckDeadline::Answer.into(),
            now + RESPONSE_TIMEOUT,
        );
        let checked = CheckedServer {
            connection: id,
            address,
        };
        context
            .health_checks
            .connections
            .insert(server.clone(), checked);
        let connection = HealthCheckConnection {
            id,
            server: server.clone(),
            stream,
            is_connected: false,
            check: CheckState::Pending { written: 0 },
            received: Vec::new(),
        };
        context.register(id, Box::new(connection));
        Ok(())
    }

    /// Closes the connection; a check in progress fails.
    fn end(&mut self, context: &mut NodeContext) -> Lifecycle {
        let connections = &mut context.health_checks.connections;
        let open = connections.get(&self.server);
        if open.is_some_and(|open| open.connection == self.id) {
            connections.remove(&self.server);
        }
        if self.check != CheckState::Idle {
            self.check = CheckState::Idle;
            debug!(context.log, "health check failed"; "server" => &*self.server.0);
            context.placement.on_health_check(&self.server, false, None);
        }
        Lifecycle::Close
    }

    fn on_io(&mut self, context: &mut NodeContext, readiness: Readiness) -> io::Result<()> {
        if readiness.writable {
            self.write(context)?;
        }
        if readiness.readable {
            self.read(context)?;
        }
        Ok(())
    }

    fn write(&mut self, context: &mut NodeContext) -> io::Result<()> {
        if !self.is_connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.is_connected = true;
            context
                .deadlines
                .clear(self.id, HealthCheckDeadline::Connect.into());
        }
        if let CheckState::Pending { written } = &mut self.check {
            while *written < REQUEST_LINE.len() {
                match self.stream.write(&REQUEST_LINE[*written..]) {
                    Ok(length) => *written += length,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        return self.stream.set_interest(Interest::READ_WRITE)
                    }
                    Err(error) => return Err(error),
                }
            }
        }
        self.stream.set_interest(Interest::READ)
    }

    /// Reads the available bytes; an error closes the connection.
    fn read(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let mut chunk = [0; MAX_RESPONSE_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => self.received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
        if let Some(line_end) = self.received.iter().position(|byte| *byte == b'\n') {
            self.on_response(context, line_end)?;
        }
        let max_received = match self.check {
            CheckState::Idle => 0,
            CheckState::Pending { .. } => MAX_RESPONSE_BYTES,
        };
        if self.received.len() > max_received {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Handles the response, whose line feed is at `line_end`; an unsolicited one is an error.
    fn on_response(&mut self, context: &mut NodeContext, line_end: usize) -> io::Result<()> {
        if self.check == CheckState::Idle {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.check = CheckState::Idle;
        let line: Vec<u8> = self.received.drain(..=line_end).collect();
        let text = String::from_utf8_lossy(&line);
        let response = HealthCheckResponse::parse(text.trim_end(), &context.config.report_fields);
        debug!(context.log, "health check completed"; "server" => &*self.server.0,
            "passed" => response.has_passed, "report" => ?response.load_report);
        context.deadlines.set(
            self.id,
            HealthCheckDeadline::Answer.into(),
            Instant::now() + IDLE_TIMEOUT,
        );
        context
            .placement
            .on_health_check(&self.server, response.has_passed, response.load_report);
        Ok(())
    }

    /// Starts another check, unless one is in progress.
    fn on_check(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.check != CheckState::Idle {
            return Lifecycle::Continue;
        }
        self.check = CheckState::Pending { written: 0 };
        context.deadlines.set(
            self.id,
            HealthCheckDeadline::Answer.into(),
            Instant::now() + RESPONSE_TIMEOUT,
        );
        match self.write(context) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => self.end(context),
        }
    }

    /// Closes the connection because the server's address has changed and another connection checks it there; a check
    /// in progress is dropped without a result.
    fn on_close(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.check = CheckState::Idle;
        self.end(context)
    }
}

impl Connection<NodeState> for HealthCheckConnection {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        match self.on_io(context, readiness) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => self.end(context),
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        self.end(context)
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::HealthCheck(command) = message else {
            return Lifecycle::Continue;
        };
        match command {
            HealthCheckCommand::Check => self.on_check(context),
            HealthCheckCommand::Close => self.on_close(context),
        }
    }
}

#[cfg(test)]
mod tests;
