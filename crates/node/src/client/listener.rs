//! The listening socket for clients.

use super::connection::ClientConnection;
use crate::state::{Message, Node, NodeState, LISTENER};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Connection, Interest, Lifecycle, Readiness};
use slog::warn;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long accepting pauses when the process has no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts clients.
pub(crate) struct Listener {
    socket: Registered<TcpListener>,
    /// Another process accepts clients from the same socket; what waits there is left to it.
    is_paused: bool,
}

impl Listener {
    /// Listens on the configured address only, or on the socket that was inherited.
    ///
    /// # Errors
    /// Where the address cannot be bound or the socket cannot be registered.
    pub(crate) fn new(node: &Node, inherited: Option<TcpListener>) -> io::Result<Listener> {
        let socket = match inherited {
            Some(socket) => socket,
            None => poll::listen(node.config.listen)?,
        };
        let socket = Registered::new(
            &node.poller,
            socket,
            poller_key(LISTENER, 0),
            Interest::READ,
        )?;
        Ok(Listener {
            socket,
            is_paused: false,
        })
    }

    /// Accepts what waits, up to the number of one turn.
    fn accept_clients(&mut self, node: &mut Node) -> io::Result<()> {
        for _ in 0..node.config.most_accepts() {
            match self.socket.accept() {
                Ok((stream, _)) => accept_client(node, stream)?,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The client gave up while it waited to be accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Listens again, or pauses, as `is_paused` says.
    fn apply_pause(&mut self, node: &mut Node) {
        let interest = Interest {
            readable: !self.is_paused,
            writable: false,
        };
        if let Err(error) = self.socket.set_interest(interest) {
            warn!(node.log, "listener not resumed"; "error" => %error);
            retry_later(node);
        }
    }
}

fn accept_client(node: &mut Node, stream: TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let _ = stream.set_nodelay(true);
    ClientConnection::accept(node, stream)?;
    close_excess_unidentified(node);
    Ok(())
}

/// Closes the unidentified connections that expire first anyway when descriptors are needed. Guards against hundreds
/// that connect and send nothing.
fn close_excess_unidentified(node: &mut Node) {
    let other = node.upgrade.other;
    let max_unidentified = node
        .config
        .most_strangers(node.clients.get() + other.clients);
    while node.strangers.len() + other.strangers > max_unidentified {
        let Some(id) = node.strangers.pop_first() else {
            break;
        };
        node.send(id, Message::Close);
    }
}

fn retry_later(node: &mut Node) {
    node.deadlines
        .set(LISTENER, 0, Instant::now() + ACCEPT_BACKOFF);
}

impl Connection<NodeState> for Listener {
    fn on_ready(&mut self, node: &mut Node, _socket: usize, _readiness: Readiness) -> Lifecycle {
        if let Err(error) = self.accept_clients(node) {
            // No descriptor is left: guards against a loop that spins on a listener that stays ready.
            warn!(node.log, "accept failed"; "error" => %error);
            if self.socket.set_interest(Interest::NONE).is_ok() {
                retry_later(node);
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, node: &mut Node, _kind: u64) -> Lifecycle {
        self.apply_pause(node);
        Lifecycle::Continue
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        match message {
            Message::Rest => self.is_paused = true,
            Message::Begin => self.is_paused = false,
            _ => return Lifecycle::Continue,
        }
        self.apply_pause(node);
        Lifecycle::Continue
    }
}
