//! The HTTP side of discovery: a listener for each node, and watches that send changes as chunks of one response.

use super::endpoint_list::{DiscoveryMode, ListScope};
use crate::line_stream::LineStream;
use crate::observation::Observation;
use crate::{Command, DeadlineKind, Environment};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{
    poller_key, ComponentId, Connection, Context, Interest, Lifecycle, Readiness,
};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Interval between the heartbeats of a watch, which are empty lines.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between a watch's checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// An empty line as a chunk.
const HEARTBEAT_CHUNK: &str = "1\r\n\n\r\n";
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Listens for the watches of one node, and returns the address.
///
/// # Errors
///
/// Any error of the listening socket.
pub fn listen<E: Environment>(context: &mut Context<E>, node: usize) -> io::Result<SocketAddr> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let key = poller_key(id, 0);
    let listener = Registered::new(&context.poller, listener, key, Interest::READ)?;
    context.register(id, Box::new(DiscoveryListener { node, listener }));
    Ok(address)
}

struct DiscoveryListener {
    node: usize,
    listener: Registered<TcpListener>,
}

impl<E: Environment> Connection<E> for DiscoveryListener {
    fn on_ready(
        &mut self,
        context: &mut Context<E>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        while let Ok((stream, _)) = self.listener.accept() {
            let id = context.allocate_id();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let key = poller_key(id, 0);
            let Ok(stream) = Registered::new(&context.poller, stream, key, Interest::READ) else {
                continue;
            };
            let watch = Watch {
                id,
                node: self.node,
                lines: LineStream::new(stream),
                last_sequence: None,
                last_heartbeat: Instant::now(),
            };
            context.register(id, Box::new(watch));
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, _context: &mut Context<E>, _kind: E::DeadlineKind) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<E>, _command: Command) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One watch of a node.
struct Watch {
    id: ComponentId,
    node: usize,
    lines: LineStream,
    /// The newest sequence number that was sent; `None` until the request line is read.
    last_sequence: Option<u64>,
    last_heartbeat: Instant,
}

impl Watch {
    fn send_update<E: Environment>(
        &mut self,
        context: &mut Context<E>,
        scope: ListScope,
    ) -> io::Result<()> {
        let list = context.application.endpoint_list();
        let update = list.update_for(self.node, scope);
        self.last_sequence = Some(update.sequence);
        for announcement in &update.announcements {
            context.application.observe(Observation::EndpointAnnounced {
                node: self.node,
                server: announcement.server,
                is_ready: announcement.is_ready,
            });
        }
        let json = &update.json;
        self.lines
            .send(&format!("{:x}\r\n{json}\n\r\n", json.len() + 1))
    }

    fn handle_lines<E: Environment>(&mut self, context: &mut Context<E>) -> io::Result<()> {
        let mode = context.application.endpoint_list().mode(self.node);
        while let Some(line) = self.lines.next_line() {
            if self.last_sequence.is_none() && line.starts_with("GET ") {
                self.begin_response(context, mode)?;
            }
        }
        Ok(())
    }

    fn begin_response<E: Environment>(
        &mut self,
        context: &mut Context<E>,
        mode: DiscoveryMode,
    ) -> io::Result<()> {
        if mode == DiscoveryMode::Unavailable {
            self.lines.send(UNAVAILABLE_RESPONSE)?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.lines.send(RESPONSE_HEAD)?;
        if mode == DiscoveryMode::Stale {
            // Stale discovery sends no list even to a node that calls for the first time.
            self.last_sequence = Some(0);
            self.lines.send(HEARTBEAT_CHUNK)?;
        } else {
            self.send_update(context, ListScope::Snapshot)?;
        }
        self.schedule_check(context);
        Ok(())
    }

    fn send_pending<E: Environment>(&mut self, context: &mut Context<E>) -> io::Result<()> {
        let list = context.application.endpoint_list();
        if list.mode(self.node) == DiscoveryMode::Unavailable {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let since = self.last_sequence.unwrap_or(0);
        let changes = ListScope::Changes { since };
        let has_changes = !list.update_for(self.node, changes).announcements.is_empty();
        if has_changes {
            self.send_update(context, changes)?;
        }
        if self.last_heartbeat.elapsed() >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = Instant::now();
            self.lines.send(HEARTBEAT_CHUNK)?;
        }
        self.schedule_check(context);
        Ok(())
    }

    fn schedule_check<E: Environment>(&self, context: &mut Context<E>) {
        let next_check = Instant::now() + CHECK_INTERVAL;
        context
            .deadlines
            .set(self.id, DeadlineKind::CheckWatch.into(), next_check);
    }

    fn transfer<E: Environment>(
        &mut self,
        context: &mut Context<E>,
        readiness: Readiness,
    ) -> io::Result<()> {
        let written = if readiness.writable {
            self.lines.flush()
        } else {
            Ok(())
        };
        let read = if readiness.readable {
            self.lines.read()
        } else {
            Ok(())
        };
        written.and(read)?;
        self.handle_lines(context)
    }
}

impl<E: Environment> Connection<E> for Watch {
    fn on_ready(
        &mut self,
        context: &mut Context<E>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.transfer(context, readiness).is_err() || self.lines.is_ended() {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut Context<E>, _kind: E::DeadlineKind) -> Lifecycle {
        if self.send_pending(context).is_err() {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }

    fn on_message(&mut self, _context: &mut Context<E>, _command: Command) -> Lifecycle {
        Lifecycle::Close
    }
}
