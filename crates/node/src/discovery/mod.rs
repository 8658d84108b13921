//! Discovery's client: keeps a watch on the upstream group and tells the core what changes.

pub mod endpoint_list;
mod json_stream;

use crate::command::{DiscoveryCommand, HandoffCommand, Message};
use crate::component::WellKnownComponent;
use crate::config::Config;
use crate::deadline::{DeadlineKind, DiscoveryDeadline};
use crate::discovery::endpoint_list::{check, dial, health, number, Update};
use crate::discovery::json_stream::Objects;
use crate::placement_driver::{
    EndpointListScope, EndpointListSource, PlacementDriver, ResolvedEndpoint,
};
use crate::state::{NodeContext, NodeState};
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

    fn apply(
        &mut self,
        placement: &mut PlacementDriver,
        update: Update,
        source: EndpointListSource,
    ) -> Result<(), String> {
        check(&update)?;
        let mut members = Vec::with_capacity(update.hosts.len());
        for host in &update.hosts {
            members.push(ResolvedEndpoint {
                address: dial(host)?,
                endpoint: Endpoint {
                    server: host.host.as_str().into(),
                    health: health(host)?,
                    weight: host.share.unwrap_or(1.0),
                    zone: number(&mut self.zones, host.site.as_deref()),
                    cell: host.block.unwrap_or(0),
                    machine_kind: number(&mut self.kinds, host.class.as_deref()),
                    started_at: placement.timestamp_of_unix_ms(host.born_ms.unwrap_or(0)),
                },
            });
        }
        self.seq = update.seq;
        let scope = if update.whole {
            EndpointListScope::Complete
        } else {
            EndpointListScope::Changes
        };
        placement.apply_endpoint_list(members, scope, source);
        Ok(())
    }

    /// Whether a call is made or a watch stands.
    fn calls(&self) -> bool {
        self.calls.iter().any(Option::is_some)
    }

    /// Makes a call; in place of the older one if there are two already.
    fn begin(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let begun = self
            .calls
            .each_ref()
            .map(|call| call.as_ref().map(|call| call.begun));
        let side = usize::from(begun[1] < begun[0]);
        self.close(context, side);
        let now = Instant::now();
        context.deadlines.set(
            WellKnownComponent::Discovery.id(),
            DiscoveryDeadline::SecondCall.into(),
            now + poll_schedule::unanswered_call_timeout(now - self.contact, self.calls()),
        );
        let request = format!(
            "GET /v1/endpoints?watch=1&from={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.seq, self.dial
        );
        debug!(context.log, "asking discovery"; "seq" => self.seq, "beside" => self.calls());
        let stream = poll::connect(
            &context.poller,
            self.dial,
            poller_key(WellKnownComponent::Discovery.id(), side),
        )?;
        self.calls[side] = Some(Call {
            begun: now,
            stream,
            phase: Phase::Connecting,
            unsent: request.into_bytes(),
            head: Vec::new(),
            chunks: Chunks::default(),
            objects: Objects::default(),
        });
        context.deadlines.set(
            WellKnownComponent::Discovery.id(),
            DiscoveryDeadline::Call(side).into(),
            now + CONNECT,
        );
        Ok(())
    }

    /// Calls discovery; one that cannot even begin has failed.
    fn call(&mut self, context: &mut NodeContext) {
        if let Err(error) = self.begin(context) {
            self.failed(context, &error.to_string());
        }
    }

    fn close(&mut self, context: &mut NodeContext, side: usize) {
        self.calls[side] = None;
        context.deadlines.clear(
            WellKnownComponent::Discovery.id(),
            DiscoveryDeadline::Call(side).into(),
        );
    }

    fn failed(&mut self, context: &mut NodeContext, why: &str) {
        warn!(context.log, "discovery failed"; "why" => why.to_string(), "seq" => self.seq);
        // The call beside it goes on.
        if !self.calls() {
            context.deadlines.clear(
                WellKnownComponent::Discovery.id(),
                DiscoveryDeadline::SecondCall.into(),
            );
            context.placement.on_watch_failed();
        }
    }

    fn progress(&mut self, context: &mut NodeContext, side: usize) -> Result<(), String> {
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
            context.deadlines.set(
                WellKnownComponent::Discovery.id(),
                DiscoveryDeadline::Call(side).into(),
                Instant::now() + ANSWER,
            );
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
            self.take(context, side, &scratch[..read])?;
        }
        Ok(())
    }

    fn take(&mut self, context: &mut NodeContext, side: usize, bytes: &[u8]) -> Result<(), String> {
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
            debug!(context.log, "watching"; "seq" => self.seq);
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
            info!(context.log, "upstream group changed"; "seq" => update.seq, "entries" => update.hosts.len());
            self.apply(
                &mut context.placement,
                update,
                EndpointListSource::Discovery,
            )?;
            whole = true;
        }
        let half = self.calls[side]
            .as_ref()
            .is_some_and(|call| call.objects.half());
        // An empty line is whole too. The rest of an object that has begun has as long as anything else that is awaited:
        // guards against a list that comes byte by byte and never ends, while its changes count as told.
        if whole || (!half && !text.is_empty()) || (half && !was_half) {
            context.deadlines.set(
                WellKnownComponent::Discovery.id(),
                DiscoveryDeadline::Call(side).into(),
                Instant::now() + SILENCE,
            );
        }
        if whole || (!half && !text.is_empty()) {
            self.contact = Instant::now();
            self.close(context, 1 - side);
            context.deadlines.clear(
                WellKnownComponent::Discovery.id(),
                DiscoveryDeadline::SecondCall.into(),
            );
            context.placement.on_discovery_answer();
            context.send(
                WellKnownComponent::Handoff.id(),
                HandoffCommand::OpenListener,
            );
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
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if let Err(why) = self.progress(context, socket) {
            self.contact = Instant::now();
            self.close(context, socket);
            self.failed(context, &why);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        let DeadlineKind::Discovery(DiscoveryDeadline::Call(side)) = kind else {
            self.call(context);
            return Lifecycle::Continue;
        };
        let phase = self.calls[side].as_ref().map(|call| call.phase);
        self.close(context, side);
        match phase {
            Some(Phase::Body) if !self.calls() => {
                warn!(context.log, "the watch has fallen silent"; "seq" => self.seq);
                context.deadlines.clear(
                    WellKnownComponent::Discovery.id(),
                    DiscoveryDeadline::SecondCall.into(),
                );
                context.placement.on_watch_silent();
            }
            // The failure is this node's own finding, so nothing has shown that there is nothing to hear.
            Some(Phase::Connecting)
                if !self.calls()
                    && poll_schedule::reconnects_immediately(self.contact.elapsed()) =>
            {
                warn!(context.log, "discovery failed"; "why" => "nothing came in time", "seq" => self.seq);
                self.call(context);
            }
            _ => self.failed(context, "nothing came in time"),
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Discovery(command) = message else {
            return Lifecycle::Continue;
        };
        let moved = command == DiscoveryCommand::AddressChanged;
        if moved {
            // What is known stays: the watch at the new address goes on from the version that the old one told.
            self.dial = context.config.discovery;
            [0, 1]
                .into_iter()
                .for_each(|side| self.close(context, side));
        }
        if let Some(known) = self.known.take() {
            if let Err(why) = self.apply(&mut context.placement, known, EndpointListSource::Cache) {
                warn!(context.log, "the known list is bad"; "why" => why);
            }
        }
        // A call that is under way is the newer one: an earlier failure asked for this before discovery moved.
        if command != DiscoveryCommand::ApplyKnownList && !self.calls() {
            self.call(context);
        }
        Lifecycle::Continue
    }
}

#[cfg(test)]
mod tests;
