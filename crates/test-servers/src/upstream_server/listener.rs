//! The listener of an upstream server, which also monitors the server's load.

use super::session::ServerSession;
use super::{set_mode, ServerMode, UpstreamServer};
use crate::observation::Observation;
use crate::{Command, DeadlineKind, Environment};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{
    poller_key, ComponentId, Connection, Context, Interest, Lifecycle, Readiness,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Interval between comparisons of a server's load with its capacity.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between a server's crash and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1500);
/// Connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 32;

/// Accepts a server's connections.
struct ServerListener {
    id: ComponentId,
    server: usize,
    listener: Registered<TcpListener>,
}

/// Starts a server on an ephemeral port and returns its number. Without `started_at` it is warm.
///
/// # Errors
///
/// Any error of the listening socket.
pub fn start<E: Environment>(
    context: &mut Context<E>,
    started_at: Option<Instant>,
) -> io::Result<usize> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let listener = Registered::new(&context.poller, listener, poller_key(id, 0), Interest::READ)?;
    let fleet = context.application.upstream_fleet();
    let server = fleet.servers.len();
    fleet.servers.push(UpstreamServer {
        listener_id: id,
        address,
        mode: ServerMode::Serving,
        started_at,
        overloaded_since: None,
        sessions: BTreeMap::new(),
    });
    let listener = ServerListener {
        id,
        server,
        listener,
    };
    context.register(id, Box::new(listener));
    let first_check = Instant::now() + LOAD_CHECK_INTERVAL;
    context
        .deadlines
        .set(id, DeadlineKind::CheckLoad.into(), first_check);
    Ok(server)
}

impl ServerListener {
    fn accept<E: Environment>(&self, context: &mut Context<E>) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((stream, peer_address)) = self.listener.accept() else {
                return;
            };
            self.open_session(context, stream, peer_address);
        }
    }

    fn open_session<E: Environment>(
        &self,
        context: &mut Context<E>,
        stream: TcpStream,
        peer_address: SocketAddr,
    ) {
        let mode = context.application.upstream_fleet().servers[self.server].mode;
        if mode == ServerMode::Stopped || stream.set_nonblocking(true).is_err() {
            // Reset the connection, as if nothing listened.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let _ = stream.set_nodelay(true);
        ServerSession::open(context, self.server, stream, peer_address);
    }

    fn crash_if_overloaded<E: Environment>(&self, context: &mut Context<E>, now: Instant) {
        let fleet = context.application.upstream_fleet();
        let model = fleet.capacity_model;
        let server = &mut fleet.servers[self.server];
        if !server.should_crash(&model, now) {
            return;
        }
        let observation = Observation::ServerCrashed {
            server: self.server,
            is_warming_up: server.is_warming_up(&model, now),
            connection_count: server.connection_count(),
        };
        context.application.observe(observation);
        set_mode(context, self.server, ServerMode::Stopped);
        context
            .deadlines
            .set(self.id, DeadlineKind::Restart.into(), now + RESTART_DELAY);
    }
}

impl<E: Environment> Connection<E> for ServerListener {
    fn on_ready(
        &mut self,
        context: &mut Context<E>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        self.accept(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<E>, kind: E::DeadlineKind) -> Lifecycle {
        let now = Instant::now();
        self.crash_if_overloaded(context, now);
        if kind == DeadlineKind::Restart.into() {
            set_mode(context, self.server, ServerMode::Serving);
            context
                .application
                .endpoint_list()
                .record_restart(self.server);
        } else {
            let next_check = now + LOAD_CHECK_INTERVAL;
            context
                .deadlines
                .set(self.id, DeadlineKind::CheckLoad.into(), next_check);
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<E>, _command: Command) -> Lifecycle {
        Lifecycle::Continue
    }
}
