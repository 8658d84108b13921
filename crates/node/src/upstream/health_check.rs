//! Health checks: one line to a server on a connection of its own, and the response tells how loaded the server is. The
//! connection stays open for the next check, since each new one costs the server work.

use super::is_local_resource_exhaustion;
use super::server_line::parse_figure;
use crate::state::{Message, Node, NodeState};
use lupincrank_placement::ServerId;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use slog::debug;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const REQUEST_LINE: &[u8] = b"STATS\r\n";
/// The longest response. Guards against one that never ends.
const MAX_RESPONSE_BYTES: usize = 1 << 10;
/// A server that has not responded by then responds to nobody.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection stays open without a check.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadlines: for the connection; for the response, or the next check.
const CONNECT: u64 = 0;
const RESPONSE_OR_IDLE: u64 = 1;

/// The open connections for health checks, one per server at the most.
#[derive(Default)]
pub(crate) struct HealthChecks {
    connections: HashMap<ServerId, CheckedServer>,
}

/// The connection to a server under its present address.
#[derive(Clone, Copy)]
struct CheckedServer {
    connection: ComponentId,
    address: SocketAddr,
}

/// What a server's response says.
#[derive(Debug, PartialEq)]
struct HealthCheckResponse {
    has_passed: bool,
    /// The fields of the load report, in the order of the settings.
    load_report: Option<Vec<f64>>,
}

impl HealthCheckResponse {
    /// Parses `WORD FIELD=FIGURE,...` without its terminator. A report that lacks one of `fields`, or has something else
    /// than a figure in one, is no report.
    fn parse(line: &str, fields: &[String]) -> HealthCheckResponse {
        let (word, report) = line.split_once(' ').unwrap_or((line, ""));
        let load_report = fields
            .iter()
            .map(|field| parse_report_field(report, field))
            .collect::<Option<Vec<f64>>>()
            .filter(|report| !report.is_empty());
        HealthCheckResponse {
            // `NO` is the response of a server that does not know health checks, and runs all the same.
            has_passed: matches!(word, "PONG" | "NO"),
            load_report,
        }
    }
}

fn parse_report_field(report: &str, field: &str) -> Option<f64> {
    let value = report
        .split(',')
        .find_map(|entry| entry.strip_prefix(field)?.strip_prefix('='))?;
    parse_figure(value.trim())
}

/// Checks a server's health; placement is told the result. Where too many servers are checked at once this one is left
/// out, and counts as passed without a report.
pub(crate) fn check(node: &mut Node, server: ServerId, address: SocketAddr) {
    let open = node.probes.connections.get(&server).copied();
    match open {
        Some(open) if open.address == address => {
            return node.send(open.connection, Message::Probe);
        }
        Some(open) => node.send(open.connection, Message::Close),
        None if node.probes.connections.len() >= node.config.most_probes() => {
            return node.core.probed(&server, true, None);
        }
        None => {}
    }
    if let Err(error) = HealthCheckConnection::open(node, &server, address) {
        debug!(node.log, "health check not started"; "server" => &*server.0, "error" => %error);
        let has_passed = is_local_resource_exhaustion(&error);
        node.core.probed(&server, has_passed, None);
    }
}

/// Whether a check is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckState {
    Idle,
    /// So many bytes of the request line are written.
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
    /// Connects to a server and begins the first check.
    fn open(node: &mut Node, server: &ServerId, address: SocketAddr) -> io::Result<()> {
        let id = node.allocate_id();
        let stream = poll::connect(&node.poller, address, poller_key(id, 0))?;
        let now = Instant::now();
        let connect_timeout = node.config.connect_timeout.min(RESPONSE_TIMEOUT);
        node.deadlines.set(id, CONNECT, now + connect_timeout);
        node.deadlines
            .set(id, RESPONSE_OR_IDLE, now + RESPONSE_TIMEOUT);
        let checked = CheckedServer {
            connection: id,
            address,
        };
        node.probes.connections.insert(server.clone(), checked);
        let connection = HealthCheckConnection {
            id,
            server: server.clone(),
            stream,
            is_connected: false,
            check: CheckState::Pending { written: 0 },
            received: Vec::new(),
        };
        node.register(id, Box::new(connection));
        Ok(())
    }

    /// Closes the connection; a check that is under way has failed.
    fn end(&mut self, node: &mut Node) -> Lifecycle {
        let connections = &mut node.probes.connections;
        let open = connections.get(&self.server);
        if open.is_some_and(|open| open.connection == self.id) {
            connections.remove(&self.server);
        }
        if self.check != CheckState::Idle {
            self.check = CheckState::Idle;
            debug!(node.log, "health check failed"; "server" => &*self.server.0);
            node.core.probed(&self.server, false, None);
        }
        Lifecycle::Close
    }

    fn continue_or_end(&mut self, node: &mut Node, result: io::Result<()>) -> Lifecycle {
        match result {
            Ok(()) => Lifecycle::Continue,
            Err(_) => self.end(node),
        }
    }

    fn on_io(&mut self, node: &mut Node, readiness: Readiness) -> io::Result<()> {
        if readiness.writable {
            self.write(node)?;
        }
        if readiness.readable {
            self.read(node)?;
        }
        Ok(())
    }

    fn write(&mut self, node: &mut Node) -> io::Result<()> {
        if !self.is_connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.is_connected = true;
            node.deadlines.clear(self.id, CONNECT);
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

    /// Reads what has come; an error closes the connection.
    fn read(&mut self, node: &mut Node) -> io::Result<()> {
        let mut chunk = [0; MAX_RESPONSE_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => self.received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(error) => return Err(error),
        }
        if let Some(line_end) = self.received.iter().position(|byte| *byte == b'\n') {
            self.on_response(node, line_end)?;
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

    /// Takes the response, whose line feed is at `line_end`; one that was not asked for is an error.
    fn on_response(&mut self, node: &mut Node, line_end: usize) -> io::Result<()> {
        if self.check == CheckState::Idle {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.check = CheckState::Idle;
        let line: Vec<u8> = self.received.drain(..=line_end).collect();
        let text = String::from_utf8_lossy(&line);
        let response = HealthCheckResponse::parse(text.trim_end(), &node.config.report_fields);
        debug!(node.log, "health check completed"; "server" => &*self.server.0,
            "passed" => response.has_passed, "report" => ?response.load_report);
        node.deadlines
            .set(self.id, RESPONSE_OR_IDLE, Instant::now() + IDLE_TIMEOUT);
        node.core
            .probed(&self.server, response.has_passed, response.load_report);
        Ok(())
    }

    /// Begins another check, unless one is under way.
    fn on_check_requested(&mut self, node: &mut Node) -> Lifecycle {
        if self.check != CheckState::Idle {
            return Lifecycle::Continue;
        }
        self.check = CheckState::Pending { written: 0 };
        node.deadlines
            .set(self.id, RESPONSE_OR_IDLE, Instant::now() + RESPONSE_TIMEOUT);
        let result = self.write(node);
        self.continue_or_end(node, result)
    }

    /// The server has another address, where it is checked by another connection; a check that is under way here counts
    /// for nothing.
    fn on_replaced(&mut self, node: &mut Node) -> Lifecycle {
        self.check = CheckState::Idle;
        self.end(node)
    }
}

impl Connection<NodeState> for HealthCheckConnection {
    fn on_ready(&mut self, node: &mut Node, _socket: usize, readiness: Readiness) -> Lifecycle {
        let result = self.on_io(node, readiness);
        self.continue_or_end(node, result)
    }

    fn on_deadline(&mut self, node: &mut Node, _kind: u64) -> Lifecycle {
        self.end(node)
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        match message {
            Message::Probe => self.on_check_requested(node),
            Message::Close => self.on_replaced(node),
            _ => Lifecycle::Continue,
        }
    }
}

#[cfg(test)]
mod tests;
