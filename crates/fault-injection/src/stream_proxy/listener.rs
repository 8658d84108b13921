//! The listener of a proxy: accepts, drops or refuses connections, depending on the state of the link and the target.

use super::relayed_stream::RelayedStream;
use crate::deadline::DeadlineKind;
use crate::harness::{Harness, HarnessContext};
use crate::link::{LinkDirection, Party};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use lupincrank_test_servers::upstream_server::ServerMode;
use lupincrank_test_servers::Command;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Limit of connections accepted in one iteration of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Limit of connections in the accept queue.
const BACKLOG: i32 = 1024;
/// Number of connections that fill the accept queue of a listener whose link is cut.
const FILLER_COUNT: usize = 2;
/// Delay before a failed update of a listener is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections from one party on behalf of another.
struct ProxyListener {
    id: ComponentId,
    direction: LinkDirection,
    target: SocketAddr,
    address: SocketAddr,
    /// `None` while the target is stopped and the link is not cut.
    listener: Option<Registered<TcpListener>>,
    /// Keeps the address bound while the listener is closed.
    reserved_socket: Option<Socket>,
    /// Connections that fill the accept queue while the link is cut.
    fillers: Vec<Socket>,
}

/// Opens a proxy to the party that listens at `target`, and returns the address that the other party connects to.
pub(crate) fn open(
    context: &mut HarnessContext,
    direction: LinkDirection,
    target: SocketAddr,
) -> io::Result<SocketAddr> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let key = poller_key(id, 0);
    let listener = Registered::new(&context.poller, listener, key, Interest::READ)?;
    let proxy = ProxyListener {
        id,
        direction,
        target,
        address,
        listener: Some(listener),
        reserved_socket: None,
        fillers: Vec::new(),
    };
    context.register(id, Box::new(proxy));
    context.network.listeners.insert(direction, id);
    Ok(address)
}

fn new_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn reserve(address: SocketAddr) -> io::Result<Socket> {
    let socket = new_socket()?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl ProxyListener {
    /// Updates the listener to the state of the link and the target.
    fn update(&mut self, context: &mut HarnessContext) -> io::Result<()> {
        let is_cut = context.network.links.is_cut(self.direction);
        if self.is_target_stopped(context) && !is_cut {
            return self.close_listener();
        }
        self.reopen_listener(context)?;
        let is_blocked = !self.fillers.is_empty();
        match (is_cut, is_blocked) {
            (true, false) => self.block_queue(),
            (false, true) => self.unblock_queue(context),
            _ => Ok(()),
        }
    }

    fn is_target_stopped(&self, context: &HarnessContext) -> bool {
        let Party::UpstreamServer(number) = self.direction.to else {
            return false;
        };
        let server = context.servers.get(number);
        server.is_some_and(|server| server.mode() == ServerMode::Stopped)
    }

    fn close_listener(&mut self) -> io::Result<()> {
        self.fillers.clear();
        let was_listening = self.listener.take().is_some();
        if was_listening || self.reserved_socket.is_none() {
            self.reserved_socket = Some(reserve(self.address)?);
        }
        Ok(())
    }

    fn reopen_listener(&mut self, context: &HarnessContext) -> io::Result<()> {
        if self.listener.is_some() {
            return Ok(());
        }
        let socket = match self.reserved_socket.take() {
            Some(socket) => socket,
            None => reserve(self.address)?,
        };
        socket.listen(BACKLOG)?;
        let key = poller_key(self.id, 0);
        let listener = TcpListener::from(socket);
        let listener = Registered::new(&context.poller, listener, key, Interest::READ)?;
        self.listener = Some(listener);
        Ok(())
    }

    fn block_queue(&mut self) -> io::Result<()> {
        let Some(listener) = &mut self.listener else {
            return Ok(());
        };
        listener.set_interest(Interest::NONE)?;
        SockRef::from(&**listener).listen(0)?;
        for _ in 0..FILLER_COUNT {
            let filler = new_socket()?;
            let _ = filler.connect(&self.address.into());
            self.fillers.push(filler);
        }
        Ok(())
    }

    fn unblock_queue(&mut self, context: &mut HarnessContext) -> io::Result<()> {
        let Some(listener) = &mut self.listener else {
            return Ok(());
        };
        SockRef::from(&**listener).listen(BACKLOG)?;
        listener.set_interest(Interest::READ)?;
        self.accept(context);
        self.fillers.clear();
        Ok(())
    }

    fn accept(&mut self, context: &mut HarnessContext) {
        let filler_addresses: Vec<SocketAddr> = self
            .fillers
            .iter()
            .filter_map(|filler| filler.local_addr().ok()?.as_socket())
            .collect();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &self.listener else {
                return;
            };
            let Ok((stream, peer_address)) = listener.accept() else {
                return;
            };
            if !filler_addresses.contains(&peer_address) {
                let _ = RelayedStream::open(context, self.direction, stream, self.target);
            }
        }
    }

    fn update_or_retry(&mut self, context: &mut HarnessContext) {
        if self.update(context).is_err() {
            let retry_at = Instant::now() + RETRY_DELAY;
            context
                .deadlines
                .set(self.id, DeadlineKind::RetryListen, retry_at);
        }
    }
}

impl Connection<Harness> for ProxyListener {
    fn on_ready(
        &mut self,
        context: &mut HarnessContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if self.fillers.is_empty() {
            self.accept(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut HarnessContext, _kind: DeadlineKind) -> Lifecycle {
        self.update_or_retry(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut HarnessContext, _command: Command) -> Lifecycle {
        self.update_or_retry(context);
        Lifecycle::Continue
    }
}
