//! The listening socket for clients.

use super::connection::ClientConnection;
use crate::command::{ClientCommand, ListenerCommand, Message};
use crate::component::WellKnownComponent;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::acceptor::Acceptor;
use lupincrank_reactor::{poll, poller_key, Connection, Interest, Lifecycle, Readiness};
use slog::warn;
use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// How long accepting pauses when the process has no file descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// How long accepting pauses without a free file descriptor while the process exits, when little time is left.
const EXIT_ACCEPT_BACKOFF: Duration = Duration::from_millis(2);

/// Accepts clients.
pub(crate) struct Listener {
    acceptor: Acceptor,
    /// Another process accepts clients from the same socket; pending connections are left to it.
    is_paused: bool,
}

impl Listener {
    /// Listens only on the configured address, or on the inherited socket if there is one.
    ///
    /// # Errors
    /// If the address cannot be bound or the socket cannot be registered.
    pub(crate) fn new(
        context: &NodeContext,
        inherited: Option<TcpListener>,
    ) -> io::Result<Listener> {
        let socket = match inherited {
            Some(socket) => socket,
            None => poll::listen(context.config.listen_address)?,
        };
        let key = poller_key(WellKnownComponent::ClientListener.id(), 0);
        Ok(Listener {
            acceptor: Acceptor::new(&context.poller, socket, key)?,
            is_paused: false,
        })
    }

    /// Accepts pending connections, and pauses if that fails temporarily.
    fn accept_or_pause(&mut self, context: &mut NodeContext) {
        let is_exiting = context
            .shutdown
            .is_some_and(|shutdown| shutdown.is_last_step_done);
        let max_accepts = if is_exiting {
            poll::LISTEN_BACKLOG
        } else {
            context.config.max_accepts_per_turn()
        };
        let outcome = self.accept_clients(context, max_accepts);
        // The kernel has already completed the pending connections for this node, so the exit waits for the next
        // attempt to accept them.
        context.is_accept_retry_pending = outcome.is_err();
        if let Err(error) = outcome {
            // No file descriptor is left: guards against an event loop that spins on a listener that stays ready.
            warn!(context.log, "accept failed"; "error" => %error);
            if self.acceptor.set_interest(Interest::NONE).is_ok() || is_exiting {
                retry_later(context);
            }
        }
    }

    /// Accepts up to `max_accepts` pending connections.
    fn accept_clients(&mut self, context: &mut NodeContext, max_accepts: usize) -> io::Result<()> {
        for _ in 0..max_accepts {
            if self.is_paused && !self.acceptor.has_unregistered() {
                return Ok(());
            }
            let id = context.allocate_id();
            let Some(stream) = self.acceptor.accept(poller_key(id, 0))? else {
                return Ok(());
            };
            ClientConnection::accept(context, id, stream);
            close_excess_unidentified(context);
        }
        Ok(())
    }

    /// Pauses or resumes accepting, according to `is_paused`.
    fn apply_pause(&mut self, context: &mut NodeContext) {
        let interest = Interest {
            readable: !self.is_paused,
            writable: false,
        };
        if let Err(error) = self.acceptor.set_interest(interest) {
            warn!(context.log, "listener not restored"; "error" => %error);
            retry_later(context);
        }
    }
}

/// Closes the unidentified connections that expire first if their file descriptors are needed. Guards against
/// hundreds of clients that connect and send nothing.
fn close_excess_unidentified(context: &mut NodeContext) {
    let other = context.other_client_counts();
    let max_unidentified = context
        .config
        .max_unidentified_clients(context.client_count.get() + other.clients);
    while context.unidentified_clients.len() + other.unidentified > max_unidentified {
        let Some(id) = context.unidentified_clients.pop_first() else {
            break;
        };
        context.send(id, ClientCommand::Close);
    }
}

fn retry_later(context: &mut NodeContext) {
    let is_exiting = context
        .shutdown
        .is_some_and(|shutdown| shutdown.is_last_step_done);
    let backoff = if is_exiting {
        EXIT_ACCEPT_BACKOFF
    } else {
        ACCEPT_BACKOFF
    };
    context.deadlines.set(
        WellKnownComponent::ClientListener.id(),
        DeadlineKind::ResumeAccepting,
        Instant::now() + backoff,
    );
}

impl Connection<NodeState> for Listener {
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
        self.apply_pause(context);
        self.accept_or_pause(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Listener(command) = message else {
            return Lifecycle::Continue;
        };
        match command {
            ListenerCommand::Pause => self.is_paused = true,
            ListenerCommand::Resume => self.is_paused = false,
            ListenerCommand::AcceptAll => {
                self.accept_or_pause(context);
                return Lifecycle::Continue;
            }
        }
        self.apply_pause(context);
        Lifecycle::Continue
    }
}
