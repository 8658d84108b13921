//! The listener of the admin address.

use super::connection::{AdminConnection, OpenConnections};
use crate::command::{AdminConnectionCommand, Message};
use crate::component::{WellKnownComponent, FIRST_ADMIN_CONNECTION_ID};
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::poll::{self, Registered, RegistrationError};
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use slog::{info, warn};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the listener pauses when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that one turn of the event loop accepts.
const MAX_ACCEPTS_PER_TURN: usize = 8;

/// Accepts connections at the admin address.
pub(crate) struct AdminListener {
    socket: Registered<TcpListener>,
    /// An accepted stream that the poller did not take yet: its caller is owed an answer.
    unregistered: Option<TcpStream>,
    open_connections: OpenConnections,
    last_id: ComponentId,
}

impl AdminListener {
    /// Listens on this address.
    ///
    /// # Errors
    /// Where the address is in use or not this machine's; the error names it.
    pub(crate) fn new(context: &NodeContext, address: SocketAddr) -> io::Result<AdminListener> {
        let socket = poll::listen(address)
            .map_err(|error| io::Error::other(format!("management at {address}: {error}")))?;
        let key = poller_key(WellKnownComponent::AdminListener.id(), 0);
        let socket = Registered::new(&context.poller, socket, key, Interest::READ)?;
        info!(context.log, "listening for admin calls"; "address" => %address);
        Ok(AdminListener {
            socket,
            unregistered: None,
            open_connections: OpenConnections::default(),
            last_id: FIRST_ADMIN_CONNECTION_ID,
        })
    }

    /// Accepts what waits, and pauses where that fails for a moment.
    fn accept_or_pause(&mut self, context: &mut NodeContext) {
        if let Err(error) = self.accept_connections(context) {
            warn!(context.log, "accepting admin calls paused"; "error" => %error);
            if self.socket.set_interest(Interest::NONE).is_ok() {
                schedule_resume(context);
            }
        }
    }

    fn accept_connections(&mut self, context: &mut NodeContext) -> io::Result<()> {
        if let Some(stream) = self.unregistered.take() {
            self.open_connection(context, stream)?;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.socket.accept() {
                Ok((stream, _)) => self.open_connection(context, stream)?,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn open_connection(&mut self, context: &mut NodeContext, stream: TcpStream) -> io::Result<()> {
        if let Err(error) = stream.set_nonblocking(true) {
            self.unregistered = Some(stream);
            return Err(error);
        }
        self.last_id += 1;
        let id = self.last_id;
        let key = poller_key(id, 0);
        let stream = match Registered::try_new(&context.poller, stream, key, Interest::READ) {
            Ok(stream) => stream,
            Err(RegistrationError { source, error }) => {
                self.unregistered = Some(source);
                return Err(error);
            }
        };
        let connection = AdminConnection::new(id, stream, Rc::clone(&self.open_connections));
        self.close_oldest_over_limit(context);
        connection.start(context);
        Ok(())
    }

    /// Guards against connections by the hundred that carry no call and keep out one that does.
    fn close_oldest_over_limit(&self, context: &mut NodeContext) {
        let mut open_connections = self.open_connections.borrow_mut();
        if open_connections.len() <= context.config.max_admin_connections() {
            return;
        }
        if let Some(oldest) = open_connections.pop_first() {
            context.send(oldest, AdminConnectionCommand::Close);
        }
    }
}

fn schedule_resume(context: &mut NodeContext) {
    context.deadlines.set(
        WellKnownComponent::AdminListener.id(),
        DeadlineKind::ResumeAccepting,
        Instant::now() + ACCEPT_PAUSE,
    );
}

impl Connection<NodeState> for AdminListener {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        self.accept_or_pause(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        if self.socket.set_interest(Interest::READ).is_err() {
            schedule_resume(context);
        }
        self.accept_or_pause(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
