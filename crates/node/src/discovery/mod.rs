//! Discovery's client: keeps a watch on the upstream group and tells the core what changes.

pub mod endpoint_list;
mod json_stream;

use crate::config::Config;
use crate::core::{Core, Member};
use crate::discovery::endpoint_list::{check, dial, health, number, Update};
use crate::discovery::json_stream::Objects;
use crate::state::{Message, Node, NodeState, DISCOVERY, UPGRADE};
use lupincrank_placement::{poll_schedule, Endpoint};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{Connection, Lifecycle};
use slog::{debug, info, warn};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A call that brings no answer in this time has failed. There is a further one beside it by then.
const ANSWER: Duration = Duration::from_millis(4500);
/// A connection to discovery that is not up in this time will not come up: the kernel asks a second time after 1 s.
const CONNECT: Duration = Duration::from_millis(1250);
/// An empty line comes every 2 s; a watch that brings nothing whole for half as long again is dead. What it misses counts as
/// told 6 s after it fell silent: that leaves time to ask anew, spread over the gateways, and once more if that call hangs.
const SILENCE: Duration = Duration::from_secs(3);
/// The longest header that is read.
const LONGEST_HEAD: usize = 16 << 10;

/// Undoes the chunked coding, however the bytes are cut up.
#[derive(Default)]
pub struct Chunks {
    raw: Vec<u8>,
    /// Bytes of the present chunk still to come, and its closing line end.
    left: u64,
    ending: usize,
}

impl Chunks {
    /// Takes bytes in and appends what they hold; true once the last chunk has come.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<bool, String> {
        self.raw.extend_from_slice(bytes);
        let mut at = 0;
        let last = loop {
            let rest = self.raw.get(at..).unwrap_or_default();
            if rest.is_empty() {
                break false;
            }
            if self.left > 0 {
                let take = rest
                    .len()
                    .min(usize::try_from(self.left).unwrap_or(usize::MAX));
                out.extend_from_slice(&rest[..take]);
                self.left -= take as u64;
                at += take;
            } else if self.ending > 0 {
                let expected = if self.ending == 2 { b'\r' } else { b'\n' };
                if rest[0] != expected {
                    return Err("a chunk does not end where it should".into());
                }
                self.ending -= 1;
                at += 1;
            } else {
                match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((_, 0))) => break true,
                    Ok(httparse::Status::Complete((used, size))) => {
                        (self.left, self.ending) = (size, 2);
                        at += used;
                    }
                    Ok(httparse::Status::Partial) if rest.len() < 1024 => break false,
                    _ => return Err("not a chunk size".into()),
                }
            }
        };
        self.raw.drain(..at);
        Ok(last)
    }
}

/// Deadlines: one for each call, by its side, and the time for a further call beside one that is not answered.
const FURTHER: u64 = 2;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Connecting,
    Head,
    Body,
}

struct Call {
    begun: Instant,
    stream: Registered<TcpStream>,
    phase: Phase,
    unsent: Vec<u8>,
    head: Vec<u8>,
    chunks: Chunks,
    objects: Objects,
}

/// The connection to discovery.
pub struct Discovery {
    dial: SocketAddr,
    seq: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    known: Option<Update>,
    /// The watch, or the calls that are to open it: the second one is made when the first is not answered. The first of
    /// them that brings something whole is the watch, and the other one is closed.
    calls: [Option<Call>; 2],
    /// When discovery last said something, or showed by refusing or ending a call that there is nothing to hear.
    contact: Instant,
}

impl Discovery {
    /// Not yet connected; begins with the list that the configuration holds.
    pub fn new(config: &Config) -> Discovery {
        Discovery {
            dial: config.discovery,
            seq: 0,
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
            known: config.known.clone(),
            calls: [None, None],
            contact: Instant::now(),
        }
    }

    fn apply(&mut self, core: &mut Core, update: Update, cached: bool) -> Result<(), String> {
        check(&update)?;
        let mut members = Vec::with_capacity(update.hosts.len());
        for host in &update.hosts {
            members.push(Member {
                dial: dial(host)?,
                listed: Endpoint {
                    server: host.host.as_str().into(),
                    health: health(host)?,
                    weight: host.share.unwrap_or(1.0),
                    zone: number(&mut self.zones, host.site.as_deref()),
                    cell: host.block.unwrap_or(0),
                    machine_kind: number(&mut self.kinds, host.class.as_deref()),
                    started_at: core.moment(host.born_ms.unwrap_or(0)),
                },
            });
        }
        self.seq = update.seq;
        core.list(members, update.whole, cached);
        Ok(())
    }

    /// Whether a call is made or a watch stands.
    fn calls(&self) -> bool {
        self.calls.iter().any(Option::is_some)
    }

    /// Makes a call; in place of the older one if there are two already.
    fn begin(&mut self, node: &mut Node) -> io::Result<()> {
        let begun = self
            .calls
            .each_ref()
            .map(|call| call.as_ref().map(|call| call.begun));
        let side = usize::from(begun[1] < begun[0]);
        self.close(node, side);
        let now = Instant::now();
        node.deadlines.set(
            DISCOVERY,
            FURTHER,
            now + poll_schedule::unanswered_call_timeout(now - self.contact, self.calls()),
        );
        let request = format!(
            "GET /v1/endpoints?watch=1&from={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.seq, self.dial
        );
        debug!(node.log, "asking discovery"; "seq" => self.seq, "beside" => self.calls());
        let stream = poll::connect(&node.poller, self.dial, poller_key(DISCOVERY, side))?;
        self.calls[side] = Some(Call {
            begun: now,
            stream,
            phase: Phase::Connecting,
            unsent: request.into_bytes(),
            head: Vec::new(),
            chunks: Chunks::default(),
            objects: Objects::default(),
        });
        node.deadlines.set(DISCOVERY, side as u64, now + CONNECT);
        Ok(())
    }

    /// Calls discovery; one that cannot even begin has failed.
    fn call(&mut self, node: &mut Node) {
        if let Err(error) = self.begin(node) {
            self.failed(node, &error.to_string());
        }
    }

    fn close(&mut self, node: &mut Node, side: usize) {
        self.calls[side] = None;
        node.deadlines.clear(DISCOVERY, side as u64);
    }

    fn failed(&mut self, node: &mut Node, why: &str) {
        warn!(node.log, "discovery failed"; "why" => why.to_string(), "seq" => self.seq);
        // The call beside it goes on.
        if !self.calls() {
            node.deadlines.clear(DISCOVERY, FURTHER);
            node.core.list_failed();
        }
    }

    fn progress(&mut self, node: &mut Node, side: usize) -> Result<(), String> {
        let Some(call) = &mut self.calls[side] else {
            return Ok(());
        };
        if call.phase == Phase::Connecting {
            let error = call
                .stream
                .take_error()
                .map_err(|error| error.to_string())?;
            error.map_or(Ok(()), |error| Err(error.to_string()))?;
            call.phase = Phase::Head;
            node.deadlines
                .set(DISCOVERY, side as u64, Instant::now() + ANSWER);
        }
        while !call.unsent.is_empty() {
            match call.stream.write(&call.unsent) {
                Ok(sent) => drop(call.unsent.drain(..sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.to_string()),
            }
        }
        call.stream
            .set_interest(Interest::READ)
            .map_err(|error| error.to_string())?;
        let mut scratch = [0; 16 << 10];
        // A turn reads a bounded part: guards against a long list that keeps clients waiting.
        for _ in 0..16 {
            let Some(call) = &mut self.calls[side] else {
                return Ok(());
            };
            let read = match call.stream.read(&mut scratch) {
                Ok(0) => return Err("it ended the connection".into()),
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.to_string()),
            };
            self.take(node, side, &scratch[..read])?;
        }
        Ok(())
    }

    fn take(&mut self, node: &mut Node, side: usize, bytes: &[u8]) -> Result<(), String> {
        let Some(call) = &mut self.calls[side] else {
            return Ok(());
        };
        let mut body = bytes.to_vec();
        if call.phase != Phase::Body {
            call.head.extend_from_slice(bytes);
            let Some(length) = head(&call.head)? else {
                return Ok(());
            };
            body = call.head.split_off(length);
            call.phase = Phase::Body;
            debug!(node.log, "watching"; "seq" => self.seq);
        }
        let mut text = Vec::new();
        let last = call.chunks.decode(&body, &mut text)?;
        let (mut whole, was_half) = (false, call.objects.half());
        call.objects.push(&text);
        while let Some(call) = &mut self.calls[side] {
            let Some(object) = call.objects.take()? else {
                break;
            };
            let update: Update =
                serde_json::from_slice(&object).map_err(|error| error.to_string())?;
            info!(node.log, "upstream group changed"; "seq" => update.seq, "entries" => update.hosts.len());
            self.apply(&mut node.core, update, false)?;
            whole = true;
        }
        let half = self.calls[side]
            .as_ref()
            .is_some_and(|call| call.objects.half());
        // An empty line is whole too. The rest of an object that has begun has as long as anything else that is awaited:
        // guards against a list that comes byte by byte and never ends, while its changes count as told.
        if whole || (!half && !text.is_empty()) || (half && !was_half) {
            node.deadlines
                .set(DISCOVERY, side as u64, Instant::now() + SILENCE);
        }
        if whole || (!half && !text.is_empty()) {
            self.contact = Instant::now();
            self.close(node, 1 - side);
            node.deadlines.clear(DISCOVERY, FURTHER);
            node.core.list_told();
            node.send(UPGRADE, Message::Begin);
        }
        if last {
            Err("the watch ended".into())
        } else {
            Ok(())
        }
    }
}

/// The length of a whole response head that opens a watch; `None` while more is to come.
fn head(bytes: &[u8]) -> Result<Option<usize>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(bytes).map_err(|error| error.to_string())? {
        httparse::Status::Partial if bytes.len() < LONGEST_HEAD => Ok(None),
        httparse::Status::Partial => Err("the head is too long".into()),
        httparse::Status::Complete(length) => {
            let chunked = response.headers.iter().any(|header| {
                header.name.eq_ignore_ascii_case("transfer-encoding")
                    && header.value.eq_ignore_ascii_case(b"chunked")
            });
            match response.code {
                Some(200) if chunked => Ok(Some(length)),
                Some(200) => Err("the answer is not chunked".into()),
                code => Err(format!("status {}", code.unwrap_or(0))),
            }
        }
    }
}

impl Connection<NodeState> for Discovery {
    fn on_ready(&mut self, node: &mut Node, socket: usize, _readiness: Readiness) -> Lifecycle {
        if let Err(why) = self.progress(node, socket) {
            self.contact = Instant::now();
            self.close(node, socket);
            self.failed(node, &why);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, node: &mut Node, kind: u64) -> Lifecycle {
        if kind == FURTHER {
            self.call(node);
            return Lifecycle::Continue;
        }
        let side = usize::from(kind == 1);
        let phase = self.calls[side].as_ref().map(|call| call.phase);
        self.close(node, side);
        match phase {
            Some(Phase::Body) if !self.calls() => {
                warn!(node.log, "the watch has fallen silent"; "seq" => self.seq);
                node.deadlines.clear(DISCOVERY, FURTHER);
                node.core.list_silent();
            }
            // The failure is this node's own finding, so nothing has shown that there is nothing to hear.
            Some(Phase::Connecting)
                if !self.calls()
                    && poll_schedule::reconnects_immediately(self.contact.elapsed()) =>
            {
                warn!(node.log, "discovery failed"; "why" => "nothing came in time", "seq" => self.seq);
                self.call(node);
            }
            _ => self.failed(node, "nothing came in time"),
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        let moved = matches!(message, Message::Moved);
        if moved {
            // What is known stays: the watch at the new address goes on from the version that the old one told.
            self.dial = node.config.discovery;
            [0, 1].into_iter().for_each(|side| self.close(node, side));
        }
        if let Some(known) = self.known.take() {
            if let Err(why) = self.apply(&mut node.core, known, true) {
                warn!(node.log, "the known list is bad"; "why" => why);
            }
        }
        // A call that is under way is the newer one: an earlier failure asked for this before discovery moved.
        if (moved || matches!(message, Message::Subscribe)) && !self.calls() {
            self.call(node);
        }
        Lifecycle::Continue
    }
}

#[cfg(test)]
mod tests;
