//! One stream through a proxy, with both directions relayed according to the condition of the link.

use crate::deadline::DeadlineKind;
use crate::harness::{Harness, HarnessContext};
use crate::link::{LinkDirection, Party};
use crate::stream_relay::{Side, StreamRelay};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use lupincrank_test_servers::Command;
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Limit of buffered bytes in each direction.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Bytes after which reading stops in one iteration of the event loop.
const READ_BUDGET_BYTES: usize = 32 << 10;
/// Maximum number of bytes of one read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Longer first lines are not parsed.
const MAX_FIRST_LINE_BYTES: usize = 4 << 10;

/// One end of the stream, with the relay of the bytes that are read from it.
struct End {
    stream: Registered<TcpStream>,
    relay: StreamRelay,
    /// The bytes received of the first line, until the line is complete.
    first_line: Option<Vec<u8>>,
}

impl End {
    fn new(stream: Registered<TcpStream>) -> End {
        End {
            stream,
            relay: StreamRelay::new(MAX_BUFFERED_BYTES),
            first_line: Some(Vec::new()),
        }
    }

    /// Adds `bytes` to the first line, and returns the line once it is complete.
    fn take_first_line(&mut self, bytes: &[u8]) -> Option<String> {
        let mut first_line = self.first_line.take()?;
        first_line.extend_from_slice(bytes);
        if let Some(end) = first_line.iter().position(|byte| *byte == b'\n') {
            return Some(String::from_utf8_lossy(&first_line[..end]).into_owned());
        }
        if first_line.len() < MAX_FIRST_LINE_BYTES {
            self.first_line = Some(first_line);
        }
        None
    }
}

/// One stream through a link.
pub(super) struct RelayedStream {
    id: ComponentId,
    direction: LinkDirection,
    dialer: End,
    target: End,
    is_connected: bool,
    dialed_at: Instant,
    /// The request whose attempt the stream carries, while the attempt is in flight.
    request: Option<u64>,
    /// One end failed while the link was cut; both ends are reset once the link is restored.
    is_reset_pending: bool,
}

/// Parses the request ID of a node's first line.
fn parse_request_id(line: &str) -> Option<u64> {
    let id = line.strip_prefix("OPEN ")?.get(..16)?;
    u64::from_str_radix(id, 16).ok()
}

impl RelayedStream {
    /// Dials the target for an accepted stream, and registers both streams.
    pub(super) fn open(
        context: &mut HarnessContext,
        direction: LinkDirection,
        stream: TcpStream,
        target: SocketAddr,
    ) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let id = context.allocate_id();
        let dialer_key = poller_key(id, Side::Dialer.socket());
        let target_key = poller_key(id, Side::Target.socket());
        let target = poll::connect(&context.poller, target, target_key)?;
        let dialer = Registered::new(&context.poller, stream, dialer_key, Interest::READ)?;
        let dialed_at = Instant::now();
        if let Ok(local) = target.local_addr() {
            context.network.dialed_at.insert(local, dialed_at);
        }
        let relayed = RelayedStream {
            id,
            direction,
            dialer: End::new(dialer),
            target: End::new(target),
            is_connected: false,
            dialed_at,
            request: None,
            is_reset_pending: false,
        };
        context.network.streams.insert(id, direction);
        context.register(id, Box::new(relayed));
        Ok(())
    }

    fn end_mut(&mut self, side: Side) -> &mut End {
        match side {
            Side::Dialer => &mut self.dialer,
            Side::Target => &mut self.target,
        }
    }

    /// The direction of the bytes that are read from a side.
    fn direction_from(&self, side: Side) -> LinkDirection {
        match side {
            Side::Dialer => self.direction,
            Side::Target => self.direction.reversed(),
        }
    }

    fn close(&mut self, context: &mut HarnessContext) -> Lifecycle {
        context.network.streams.remove(&self.id);
        if let Ok(local) = self.target.stream.local_addr() {
            context.network.dialed_at.remove(&local);
        }
        self.end_attempt(context);
        Lifecycle::Close
    }

    fn reset(&mut self, context: &mut HarnessContext) -> Lifecycle {
        for stream in [&self.dialer.stream, &self.target.stream] {
            let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
        }
        self.close(context)
    }

    /// Reports to the checker that the node has ended its attempt or has received the answer.
    fn end_attempt(&mut self, context: &mut HarnessContext) {
        if let Some(request) = self.request.take() {
            context.checker.on_attempt_ended(request);
        }
    }

    /// Handles the failure of one side: resets both sides, but not before a cut link is restored.
    fn on_side_failed(&mut self, context: &mut HarnessContext, side: Side) -> Lifecycle {
        if side == Side::Dialer {
            self.end_attempt(context);
        }
        if context.network.links.is_cut(self.direction) {
            self.is_reset_pending = true;
            let _ = self.end_mut(side).stream.set_interest(Interest::NONE);
            return Lifecycle::Continue;
        }
        self.reset(context)
    }

    /// Parses the first line of each side between a node and an upstream server, and reports attempts to the checker.
    fn inspect(&mut self, context: &mut HarnessContext, side: Side, bytes: &[u8]) {
        let (Party::Node(node), Party::UpstreamServer(server)) =
            (self.direction.from, self.direction.to)
        else {
            return;
        };
        let Some(line) = self.end_mut(side).take_first_line(bytes) else {
            return;
        };
        match side {
            Side::Dialer => {
                self.request = parse_request_id(&line);
                if let Some(request) = self.request {
                    context
                        .checker
                        .on_attempt(request, node, server, self.dialed_at);
                }
            }
            Side::Target if !line.starts_with("UP ") => self.end_attempt(context),
            Side::Target => {}
        }
    }

    fn read(&mut self, context: &mut HarnessContext, side: Side) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < READ_BUDGET_BYTES && self.end_mut(side).relay.accepts_input() {
            let end = self.end_mut(side);
            let Some(length) = end.relay.read_chunk(&mut end.stream, &mut chunk)? else {
                break;
            };
            read_bytes += length;
            self.inspect(context, side, &chunk[..length]);
            let due_at = self.draw_due_time(context, side, length);
            self.end_mut(side).relay.push(&chunk[..length], due_at);
        }
        if side == Side::Dialer && self.dialer.relay.is_source_ended() {
            self.end_attempt(context);
        }
        Ok(())
    }

    /// Draws the due time of bytes that were just read, from the link's latency and throughput.
    fn draw_due_time(
        &mut self,
        context: &mut HarnessContext,
        side: Side,
        length: usize,
    ) -> Instant {
        let direction = self.direction_from(side);
        let harness = &mut context.application;
        let condition = harness.network.links.condition(direction);
        let due_at = Instant::now() + condition.draw_latency(&mut harness.rng);
        if condition.bytes_per_second <= 0.0 {
            return due_at;
        }
        let last_due_at = self.end_mut(side).relay.last_due_at();
        let previous = last_due_at.unwrap_or(due_at).max(Instant::now());
        let transfer_seconds = length as f64 / condition.bytes_per_second;
        due_at.max(previous + Duration::from_secs_f64(transfer_seconds))
    }

    /// Writes the bytes from one side that are due; an `Err` contains the side that failed.
    fn write_due(&mut self, context: &mut HarnessContext, from: Side) -> Result<(), Side> {
        let direction = self.direction_from(from);
        if !self.is_connected || context.network.links.condition(direction).is_cut {
            return Ok(());
        }
        let (relay, target) = match from {
            Side::Dialer => (&mut self.dialer.relay, &mut self.target.stream),
            Side::Target => (&mut self.target.relay, &mut self.dialer.stream),
        };
        let written = relay.write_due(target, Instant::now());
        if let Some(next_due_at) = written.map_err(|_| from.other())? {
            context
                .deadlines
                .set(self.id, DeadlineKind::RelayStream(from), next_due_at);
        }
        Ok(())
    }

    fn update_interest(&mut self, context: &HarnessContext, side: Side) -> io::Result<()> {
        let now = Instant::now();
        let towards = self.direction_from(side.other());
        let is_cut = context.network.links.condition(towards).is_cut;
        let has_output = self.end_mut(side.other()).relay.has_due(now) && !is_cut;
        let is_connecting = side == Side::Target && !self.is_connected;
        let end = self.end_mut(side);
        let readable = end.relay.accepts_input();
        end.stream.set_interest(Interest {
            readable,
            writable: has_output || is_connecting,
        })
    }

    fn advance(&mut self, context: &mut HarnessContext) -> Lifecycle {
        if self.is_reset_pending {
            if context.network.links.is_cut(self.direction) {
                return Lifecycle::Continue;
            }
            return self.on_side_failed(context, Side::Target);
        }
        for side in Side::BOTH {
            if let Err(failed_side) = self.write_due(context, side) {
                return self.on_side_failed(context, failed_side);
            }
        }
        if self.dialer.relay.is_target_shut_down() && self.target.relay.is_target_shut_down() {
            return self.close(context);
        }
        for side in Side::BOTH {
            if self.update_interest(context, side).is_err() {
                return self.on_side_failed(context, side);
            }
        }
        Lifecycle::Continue
    }
}

impl Connection<Harness> for RelayedStream {
    fn on_ready(
        &mut self,
        context: &mut HarnessContext,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let side = Side::of_socket(socket);
        if side == Side::Target && !self.is_connected {
            if !matches!(self.target.stream.take_error(), Ok(None)) {
                return self.on_side_failed(context, Side::Target);
            }
            self.is_connected = true;
        }
        if readiness.readable && self.read(context, side).is_err() {
            return self.on_side_failed(context, side);
        }
        self.advance(context)
    }

    fn on_deadline(&mut self, context: &mut HarnessContext, _kind: DeadlineKind) -> Lifecycle {
        self.advance(context)
    }

    fn on_message(&mut self, context: &mut HarnessContext, command: Command) -> Lifecycle {
        match command {
            Command::Reset => self.reset(context),
            Command::Close | Command::Reevaluate => self.advance(context),
        }
    }
}
