//! Probes: one line to a transcriber on a connection of its own, and what comes back tells how loaded it is. The connection
//! stays for the next probe, since each new one costs the transcriber work.

use crate::state::{Message, Node, NodeState};
use lupincrank_placement::ServerId;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::debug;
use std::collections::HashMap;
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
/// Deadlines: for the connection; for the answer, or the next probe.
const CONNECT: u64 = 0;
const PATIENCE: u64 = 1;

/// The connections for probes: one for a transcriber at the most.
#[derive(Default)]
pub struct Probes {
    open: HashMap<ServerId, (ComponentId, SocketAddr)>,
}

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
pub fn probe(node: &mut Node, server: ServerId, dial: SocketAddr) {
    match node.probes.open.get(&server).copied() {
        Some((id, at)) if at == dial => return node.send(id, Message::Probe),
        Some((id, _)) => node.send(id, Message::Close),
        None if node.probes.open.len() >= node.config.most_probes() => {
            return node.core.probed(&server, true, None);
        }
        None => {}
    }
    let id = node.allocate_id();
    match poll::connect(&node.poller, dial, poller_key(id, 0)) {
        Ok(stream) => {
            let now = Instant::now();
            node.deadlines
                .set(id, CONNECT, now + node.config.connect_timeout.min(ANSWERED));
            node.deadlines.set(id, PATIENCE, now + ANSWERED);
            node.probes.open.insert(server.clone(), (id, dial));
            let prober = Prober {
                id,
                server,
                stream,
                connected: false,
                asks: true,
                sent: 0,
                bytes: Vec::new(),
            };
            node.register(id, Box::new(prober));
        }
        Err(error) => {
            debug!(node.log, "cannot probe"; "server" => &*server.0, "error" => %error);
            // What this machine lacks says nothing of the transcriber.
            let lacks = error
                .raw_os_error()
                .is_some_and(|code| poll::RESOURCE_EXHAUSTED_ERRNOS.contains(&code));
            node.core.probed(&server, lacks, None);
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
    fn end(&mut self, node: &mut Node) -> Lifecycle {
        if node
            .probes
            .open
            .get(&self.server)
            .is_some_and(|(id, _)| *id == self.id)
        {
            node.probes.open.remove(&self.server);
        }
        if std::mem::take(&mut self.asks) {
            debug!(node.log, "probe failed"; "server" => &*self.server.0);
            node.core.probed(&self.server, false, None);
        }
        Lifecycle::Close
    }

    fn write(&mut self, node: &mut Node) -> io::Result<()> {
        if !self.connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.connected = true;
            node.deadlines.clear(self.id, CONNECT);
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
    fn read(&mut self, node: &mut Node) -> io::Result<()> {
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
                &node.config.report_fields,
            );
            debug!(node.log, "probed"; "server" => &*self.server.0, "passed" => answer.passed,
                "report" => ?answer.report);
            node.deadlines.set(self.id, PATIENCE, Instant::now() + IDLE);
            node.core.probed(&self.server, answer.passed, answer.report);
        }
        if self.bytes.len() > if self.asks { LONGEST_ANSWER } else { 0 } {
            // Too long, or nobody asked for it.
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }
}

impl Connection<NodeState> for Prober {
    fn on_ready(&mut self, node: &mut Node, _socket: usize, readiness: Readiness) -> Lifecycle {
        let written = if readiness.writable {
            self.write(node)
        } else {
            Ok(())
        };
        match written.and_then(|()| {
            if readiness.readable {
                self.read(node)
            } else {
                Ok(())
            }
        }) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => self.end(node),
        }
    }

    fn on_deadline(&mut self, node: &mut Node, _kind: u64) -> Lifecycle {
        self.end(node)
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        match message {
            Message::Probe if !self.asks => {
                (self.asks, self.sent) = (true, 0);
                node.deadlines
                    .set(self.id, PATIENCE, Instant::now() + ANSWERED);
                match self.write(node) {
                    Ok(()) => Lifecycle::Continue,
                    Err(_) => self.end(node),
                }
            }
            Message::Close => {
                self.asks = false; // it was asked anew, elsewhere
                self.end(node)
            }
            _ => Lifecycle::Continue,
        }
    }
}

#[cfg(test)]
mod tests;
