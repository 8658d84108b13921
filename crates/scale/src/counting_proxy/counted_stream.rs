//! One stream through a proxy. Bytes and messages of both directions are counted.

use super::{DeadlineKind, ProxyContext, ProxyState};
use lupincrank_cluster::frame::FrameDecoder;
use lupincrank_cluster::message::Message;
use lupincrank_fault_injection::stream_relay::{Side, StreamRelay};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Number of buffered bytes of one direction at which reading from its source stops.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Maximum number of reads in one turn of the event loop, and the size of each.
const MAX_READS_PER_TURN: usize = 4;
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Delay of a stream chunk for each time that it is lost: the minimum retransmission timeout of Linux.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// Bytes and messages.
#[derive(Clone, Copy, Default)]
struct Traffic {
    bytes: u64,
    messages: u64,
}

/// One end of the stream, with the bytes read from it.
struct End {
    stream: Registered<TcpStream>,
    relay: StreamRelay,
    decoder: FrameDecoder,
    /// The bytes can't be decoded: they are relayed without counting messages.
    is_undecodable: bool,
    /// Traffic that is not counted yet, because the dialer is unknown.
    uncounted: Traffic,
}

impl End {
    fn new(stream: Registered<TcpStream>) -> End {
        End {
            stream,
            relay: StreamRelay::new(MAX_BUFFERED_BYTES),
            decoder: FrameDecoder::default(),
            is_undecodable: false,
            uncounted: Traffic::default(),
        }
    }

    /// Decodes the messages in bytes and calls `on_message` for each. Returns false if the bytes can't be decoded.
    fn decode(&mut self, bytes: &[u8], mut on_message: impl FnMut(Message)) -> bool {
        self.decoder.push(bytes);
        loop {
            match self.decoder.next_message() {
                Ok(Some(message)) => {
                    self.uncounted.messages += 1;
                    on_message(message);
                }
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }
}

/// One stream through a node's proxy.
pub(super) struct CountedStream {
    id: ComponentId,
    node: usize,
    /// The node that dialed; `None` until its handshake is decoded.
    dialing_node: Option<usize>,
    dialer: End,
    target: End,
    is_connected: bool,
}

impl CountedStream {
    /// Dials the node for an accepted stream, and registers both sockets.
    pub(super) fn open(
        context: &mut ProxyContext,
        node: usize,
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
        let counted = CountedStream {
            id,
            node,
            dialing_node: None,
            dialer: End::new(dialer),
            target: End::new(target),
            is_connected: false,
        };
        context.register(id, Box::new(counted));
        Ok(())
    }

    fn end_mut(&mut self, side: Side) -> &mut End {
        match side {
            Side::Dialer => &mut self.dialer,
            Side::Target => &mut self.target,
        }
    }

    fn count(&mut self, state: &ProxyState, side: Side, bytes: &[u8]) {
        let end = self.end_mut(side);
        end.uncounted.bytes += bytes.len() as u64;
        if !end.is_undecodable {
            let mut dialer_name = None;
            let is_decoded = end.decode(bytes, |message| {
                if let (Message::Handshake(handshake), Side::Dialer) = (message, side) {
                    dialer_name = Some(handshake.name);
                }
            });
            if !is_decoded {
                end.is_undecodable = true;
                state.counters.count_unknown();
            }
            if let Some(name) = dialer_name {
                self.dialing_node = state.node_by_name.get(&name).copied();
            }
        }
        if let Some(dialing_node) = self.dialing_node {
            self.flush_counts(state, dialing_node);
        }
    }

    fn flush_counts(&mut self, state: &ProxyState, dialing_node: usize) {
        let sent = std::mem::take(&mut self.dialer.uncounted);
        let received = std::mem::take(&mut self.target.uncounted);
        let counters = &state.counters;
        counters.count_sent(dialing_node, self.node, sent.bytes, sent.messages);
        counters.count_sent(self.node, dialing_node, received.bytes, received.messages);
    }

    fn read(&mut self, state: &mut ProxyState, side: Side) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let end = self.end_mut(side);
            if !end.relay.accepts_input() {
                break;
            }
            let Some(length) = end.relay.read_chunk(&mut end.stream, &mut chunk)? else {
                break;
            };
            self.count(state, side, &chunk[..length]);
            let mut delay = state.condition.delay;
            while state.draw_loss() {
                delay += RETRANSMISSION_DELAY;
            }
            let due_at = Instant::now() + delay;
            self.end_mut(side).relay.push(&chunk[..length], due_at);
        }
        Ok(())
    }

    fn write_due(&mut self, context: &mut ProxyContext, from: Side) -> io::Result<()> {
        if !self.is_connected {
            return Ok(());
        }
        let (relay, target) = match from {
            Side::Dialer => (&mut self.dialer.relay, &mut self.target.stream),
            Side::Target => (&mut self.target.relay, &mut self.dialer.stream),
        };
        if let Some(next_due_at) = relay.write_due(target, Instant::now())? {
            context
                .deadlines
                .set(self.id, DeadlineKind::RelayStream(from), next_due_at);
        }
        Ok(())
    }

    fn update_interest(&mut self, side: Side, now: Instant) -> io::Result<()> {
        let has_output = self.end_mut(side.other()).relay.has_due(now);
        let is_connecting = side == Side::Target && !self.is_connected;
        let end = self.end_mut(side);
        let readable = end.relay.accepts_input();
        end.stream.set_interest(Interest {
            readable,
            writable: has_output || is_connecting,
        })
    }

    fn advance(&mut self, context: &mut ProxyContext) -> io::Result<Lifecycle> {
        for side in Side::BOTH {
            self.write_due(context, side)?;
        }
        // If one direction has ended, closes the connection: nodes use both directions.
        if self.dialer.relay.is_target_shut_down() || self.target.relay.is_target_shut_down() {
            return Ok(Lifecycle::Close);
        }
        let now = Instant::now();
        for side in Side::BOTH {
            self.update_interest(side, now)?;
        }
        Ok(Lifecycle::Continue)
    }
}

impl Connection<ProxyState> for CountedStream {
    fn on_ready(
        &mut self,
        context: &mut ProxyContext,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let side = Side::of_socket(socket);
        if side == Side::Target && !self.is_connected {
            if !matches!(self.target.stream.take_error(), Ok(None)) {
                return Lifecycle::Close;
            }
            self.is_connected = true;
        }
        if readiness.readable && self.read(&mut context.application, side).is_err() {
            return Lifecycle::Close;
        }
        self.advance(context).unwrap_or(Lifecycle::Close)
    }

    fn on_deadline(&mut self, context: &mut ProxyContext, _kind: DeadlineKind) -> Lifecycle {
        self.advance(context).unwrap_or(Lifecycle::Close)
    }

    fn on_message(&mut self, _context: &mut ProxyContext, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}
