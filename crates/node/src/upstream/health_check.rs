//! Probes: one line to a transcriber on a connection of its own, and what comes back tells how loaded it is. The connection
//! stays for the next probe, since each new one costs the transcriber work.

use crate::command::{HealthCheckCommand, Message};
use crate::deadline::{DeadlineKind, HealthCheckDeadline};
use crate::state::{HealthCheckConnection, NodeContext, NodeState};
use lupincrank_placement::ServerId;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::debug;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const QUESTION: &[u8] = b"STATS\r\n";
/// The longest answer. Guards against one that never ends.
const LONGEST_ANSWER: usize = 1 << 10;
/// A transcriber that has not answered by then answers nobody.
const ANSWERED: Duration = Duration::from_millis(500);
/// How long a connection stays without a probe.
const IDLE: Duration = Duration::from_secs(10);

/// What a transcriber's answer says: whether it passed, and its load report as `fields` name it.
#[derive(Debug, PartialEq)]
pub struct Answer {
    passed: bool,
    report: Option<Vec<f64>>,
}

/// Reads the answer without its end. A report that lacks a field, or tells what is no figure, says nothing.
pub fn answer(line: &str, fields: &[String]) -> Answer {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let told = |name: &String| {
        let value = rest
            .split(',')
            .find_map(|figure| figure.strip_prefix(name.as_str())?.strip_prefix('='));
        let value = value.and_then(|value| value.trim().parse::<f64>().ok());
        value.filter(|value| (0.0..1e12).contains(value))
    };
    let report = fields
        .iter()
        .map(told)
        .collect::<Option<Vec<f64>>>()
        .filter(|report| !report.is_empty());
    // Where probes are not known the transcriber runs all the same.
    Answer {
        passed: matches!(word, "PONG" | "NO"),
        report,
    }
}

/// Probes a transcriber. Where too many are probed at once it is left, and nothing is said of it.
pub fn probe(context: &mut NodeContext, server: ServerId, dial: SocketAddr) {
    match context.health_checks.get(&server).copied() {
        Some(connection) if connection.address == dial => {
            return context.send(connection.id, HealthCheckCommand::Check);
        }
        Some(connection) => context.send(connection.id, HealthCheckCommand::Close),
        None if context.health_checks.len() >= context.config.most_probes() => {
            return context.placement.on_health_check(&server, true, None);
        }
        None => {}
    }
    let id = context.allocate_id();
    match poll::connect(&context.poller, dial, poller_key(id, 0)) {
        Ok(stream) => {
            let now = Instant::now();
            context.deadlines.set(
                id,
                HealthCheckDeadline::Connect.into(),
                now + context.config.connect_timeout.min(ANSWERED),
            );
            context
                .deadlines
                .set(id, HealthCheckDeadline::Answer.into(), now + ANSWERED);
            let connection = HealthCheckConnection { id, address: dial };
            context.health_checks.insert(server.clone(), connection);
            let prober = Prober {
                id,
                server,
                stream,
                connected: false,
                asks: true,
                sent: 0,
                bytes: Vec::new(),
            };
            context.register(id, Box::new(prober));
        }
        Err(error) => {
            debug!(context.log, "cannot probe"; "server" => &*server.0, "error" => %error);
            // What this machine lacks says nothing of the transcriber.
            let lacks = error
                .raw_os_error()
                .is_some_and(|code| poll::RESOURCE_EXHAUSTED_ERRNOS.contains(&code));
            context.placement.on_health_check(&server, lacks, None);
        }
    }
}

/// The connection for probes of one transcriber.
struct Prober {
    id: ComponentId,
    server: ServerId,
    stream: Registered<TcpStream>,
    connected: bool,
    /// A probe is out, and so much of it is written.
    asks: bool,
    sent: usize,
    bytes: Vec<u8>,
}

impl Prober {
    /// It ends; an answer that is out will not come.
    fn end(&mut self, context: &mut NodeContext) -> Lifecycle {
        if context
            .health_checks
            .get(&self.server)
            .is_some_and(|connection| connection.id == self.id)
        {
            context.health_checks.remove(&self.server);
        }
        if std::mem::take(&mut self.asks) {
            debug!(context.log, "probe failed"; "server" => &*self.server.0);
            context.placement.on_health_check(&self.server, false, None);
        }
        Lifecycle::Close
    }

    fn write(&mut self, context: &mut NodeContext) -> io::Result<()> {
        if !self.connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.connected = true;
            context
                .deadlines
                .clear(self.id, HealthCheckDeadline::Connect.into());
        }
        while self.asks && self.sent < QUESTION.len() {
            match self.stream.write(&QUESTION[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.stream.set_interest(Interest::READ_WRITE)
                }
                Err(error) => return Err(error),
            }
        }
        self.stream.set_interest(Interest::READ)
    }

    /// Reads what has come; an error is the end of the connection.
    fn read(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let mut scratch = [0; LONGEST_ANSWER];
        match self.stream.read(&mut scratch) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => self.bytes.extend_from_slice(&scratch[..read]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(error) => return Err(error),
        }
        if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.bytes.drain(..=end).collect();
            if !std::mem::take(&mut self.asks) {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let answer = answer(
                String::from_utf8_lossy(&line).trim_end(),
                &context.config.report_fields,
            );
            debug!(context.log, "probed"; "server" => &*self.server.0, "passed" => answer.passed,
                "report" => ?answer.report);
            context.deadlines.set(
                self.id,
                HealthCheckDeadline::Answer.into(),
                Instant::now() + IDLE,
            );
            context
                .placement
                .on_health_check(&self.server, answer.passed, answer.report);
        }
        if self.bytes.len() > if self.asks { LONGEST_ANSWER } else { 0 } {
            // Too long, or nobody asked for it.
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }
}

impl Connection<NodeState> for Prober {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let written = if readiness.writable {
            self.write(context)
        } else {
            Ok(())
        };
        match written.and_then(|()| {
            if readiness.readable {
                self.read(context)
            } else {
                Ok(())
            }
        }) {
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
            HealthCheckCommand::Check if self.asks => Lifecycle::Continue,
            HealthCheckCommand::Check => {
                (self.asks, self.sent) = (true, 0);
                context.deadlines.set(
                    self.id,
                    HealthCheckDeadline::Answer.into(),
                    Instant::now() + ANSWERED,
                );
                match self.write(context) {
                    Ok(()) => Lifecycle::Continue,
                    Err(_) => self.end(context),
                }
            }
            HealthCheckCommand::Close => {
                self.asks = false; // it was asked anew, elsewhere
                self.end(context)
            }
        }
    }
}

#[cfg(test)]
mod tests;
