//! The proxy of one node: relays datagrams, and opens a relay for each stream.

use super::counted_stream::CountedStream;
use super::{DeadlineKind, ProxyContext, ProxyState};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Instant;

/// Maximum number of datagrams received in one turn of the event loop.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of delayed datagrams; datagrams beyond it are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 512;
/// Indexes of the proxy's sockets within the component.
const STREAM_SOCKET: usize = 0;
const DATAGRAM_SOCKET: usize = 1;

struct DelayedDatagram {
    due_at: Instant,
    bytes: Vec<u8>,
}

/// The proxy of one node.
pub(super) struct ProxyListener {
    id: ComponentId,
    node: usize,
    target: SocketAddr,
    listener: Registered<TcpListener>,
    socket: Registered<UdpSocket>,
    delayed: VecDeque<DelayedDatagram>,
}

impl ProxyListener {
    /// Opens the proxy, at `address`, of a node that listens at `target`.
    pub(super) fn open(
        context: &mut ProxyContext,
        node: usize,
        address: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<()> {
        let id = context.allocate_id();
        let listener = poll::listen(address)?;
        let listener_key = poller_key(id, STREAM_SOCKET);
        let listener = Registered::new(&context.poller, listener, listener_key, Interest::READ)?;
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket_key = poller_key(id, DATAGRAM_SOCKET);
        let socket = Registered::new(&context.poller, socket, socket_key, Interest::READ)?;
        let proxy = ProxyListener {
            id,
            node,
            target,
            listener,
            socket,
            delayed: VecDeque::new(),
        };
        context.register(id, Box::new(proxy));
        Ok(())
    }

    fn relay_datagrams(&mut self, context: &mut ProxyContext) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, sender)) => self.relay_datagram(context, sender, &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The system refused an earlier datagram, because the node is not running.
                Err(_) => {}
            }
        }
    }

    fn relay_datagram(&mut self, context: &mut ProxyContext, sender: SocketAddr, bytes: &[u8]) {
        let state = &mut context.application;
        match state.node_by_address.get(&sender) {
            Some(from) => {
                let length = bytes.len() as u64;
                state.counters.count_sent(*from, self.node, length, 1);
            }
            None => state.counters.count_unknown(),
        }
        if state.draw_loss() {
            return;
        }
        if state.condition.delay.is_zero() {
            // A datagram that the system does not accept is dropped, as on a lossy network.
            let _ = self.socket.send_to(bytes, self.target);
        } else if self.delayed.len() < MAX_DELAYED_DATAGRAMS {
            let due_at = Instant::now() + state.condition.delay;
            let bytes = bytes.to_vec();
            self.delayed.push_back(DelayedDatagram { due_at, bytes });
            self.schedule_next(context);
        }
    }

    fn schedule_next(&self, context: &mut ProxyContext) {
        if let Some(first) = self.delayed.front() {
            context
                .deadlines
                .set(self.id, DeadlineKind::SendDatagrams, first.due_at);
        }
    }

    fn send_due_datagrams(&mut self) {
        let now = Instant::now();
        while self
            .delayed
            .front()
            .is_some_and(|first| first.due_at <= now)
        {
            if let Some(datagram) = self.delayed.pop_front() {
                let _ = self.socket.send_to(&datagram.bytes, self.target);
            }
        }
    }

    fn accept(&self, context: &mut ProxyContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((stream, _)) = self.listener.accept() else {
                return;
            };
            // On an error the stream is closed, and the dialer reconnects.
            if CountedStream::open(context, self.node, stream, self.target).is_err() {
                context.counters.count_unknown();
            }
        }
    }
}

impl Connection<ProxyState> for ProxyListener {
    fn on_ready(
        &mut self,
        context: &mut ProxyContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if socket == DATAGRAM_SOCKET {
            self.relay_datagrams(context);
        } else {
            self.accept(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut ProxyContext, _kind: DeadlineKind) -> Lifecycle {
        self.send_due_datagrams();
        self.schedule_next(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut ProxyContext, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}
