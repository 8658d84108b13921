//! The listener of the admin address.

use super::connection::{AdminConnection, OpenConnections};
use crate::command::{AdminConnectionCommand, Message};
use crate::component::{WellKnownComponent, FIRST_ADMIN_CONNECTION_ID};
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::acceptor::Acceptor;
use lupincrank_reactor::{
    poll, poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness,
};
use slog::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause of the listener after accepting has failed, for example because no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limit of connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 8;

/// Accepts connections at the admin address.
pub(crate) struct AdminListener {
    acceptor: Acceptor,
    open_connections: OpenConnections,
    last_id: ComponentId,
}

impl AdminListener {
    /// Listens on this address.
    ///
    /// # Errors
    /// If the address is in use or not an address of this machine. The error contains the address.
    pub(crate) fn new(context: &NodeContext, address: SocketAddr) -> io::Result<AdminListener> {
        let socket = poll::listen(address).map_err(|error| {
            io::Error::other(format!(
                "cannot listen on management address {address}: {error}"
            ))
        })?;
        let key = poller_key(WellKnownComponent::AdminListener.id(), 0);
        let acceptor = Acceptor::new(&context.poller, socket, key)?;
        info!(context.log, "listening for admin calls"; "address" => %address);
        Ok(AdminListener {
            acceptor,
            open_connections: OpenConnections::default(),
            last_id: FIRST_ADMIN_CONNECTION_ID,
        })
    }

    /// Accepts waiting connections, and pauses the listener if that fails.
    fn accept_or_pause(&mut self, context: &mut NodeContext) {
        if let Err(error) = self.accept_connections(context) {
            warn!(context.log, "accepting admin calls paused"; "error" => %error);
            if self.acceptor.set_interest(Interest::NONE).is_ok() {
                schedule_resume(context);
            }
        }
    }

    fn accept_connections(&mut self, context: &mut NodeContext) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let id = self.last_id + 1;
            let Some(stream) = self.acceptor.accept(poller_key(id, 0))? else {
                return Ok(());
            };
            self.last_id = id;
            let connection = AdminConnection::new(id, stream, Rc::clone(&self.open_connections));
            self.close_oldest_over_limit(context);
            connection.start(context);
        }
        Ok(())
    }

    /// Closes the oldest connection if there are too many. Hundreds of connections without a call would otherwise
    /// exclude one that carries a call.
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
        if self.acceptor.set_interest(Interest::READ).is_err() {
            schedule_resume(context);
        }
        self.accept_or_pause(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
