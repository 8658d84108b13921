//! One connection to an upstream server, from its first line to its end.

use super::ServerMode;
use crate::line_stream::LineStream;
use crate::observation::Observation;
use crate::{Command, DeadlineKind, Environment};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{
    poller_key, ComponentId, Connection, Context, Interest, Lifecycle, Readiness,
};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time after which a connection without a first line is closed.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of echoes that take as long as one setup.
const ECHOES_PER_SETUP: u32 = 4;

/// One connection to a server.
pub(super) struct ServerSession {
    id: ComponentId,
    server: usize,
    peer_address: SocketAddr,
    lines: LineStream,
    /// Id of the request, set by the first line.
    request: Option<u64>,
    is_established: bool,
    pending_echo_count: u32,
}

/// Parses the request id of a first line.
fn parse_request_id(line: &str) -> Option<u64> {
    let id = line.strip_prefix("OPEN ")?.get(..16)?;
    u64::from_str_radix(id, 16).ok()
}

impl ServerSession {
    /// Registers a session for an accepted stream.
    pub(super) fn open<E: Environment>(
        context: &mut Context<E>,
        server: usize,
        stream: TcpStream,
        peer_address: SocketAddr,
    ) {
        let id = context.allocate_id();
        let key = poller_key(id, 0);
        let Ok(stream) = Registered::new(&context.poller, stream, key, Interest::READ) else {
            return;
        };
        let timeout = Instant::now() + FIRST_LINE_TIMEOUT;
        context
            .deadlines
            .set(id, DeadlineKind::Answer.into(), timeout);
        let session = ServerSession {
            id,
            server,
            peer_address,
            lines: LineStream::new(stream),
            request: None,
            is_established: false,
            pending_echo_count: 0,
        };
        context.register(id, Box::new(session));
    }

    fn close<E: Environment>(&self, context: &mut Context<E>) -> Lifecycle {
        let fleet = context.application.upstream_fleet();
        fleet.servers[self.server].sessions.remove(&self.id);
        Lifecycle::Close
    }

    fn send<E: Environment>(&mut self, context: &mut Context<E>, text: &str) -> Lifecycle {
        if self.lines.send(text).is_err() {
            return self.close(context);
        }
        Lifecycle::Continue
    }

    /// Sends a final answer and closes the connection.
    fn reject<E: Environment>(&mut self, context: &mut Context<E>, answer: &str) -> Lifecycle {
        let _ = self.lines.send(answer);
        self.close(context)
    }

    fn handle_lines<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let now = Instant::now();
        while let Some(line) = self.lines.next_line() {
            if self.request.is_some() {
                self.schedule_echo(context, now);
            } else if self.on_first_line(context, &line, now) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Continue
    }

    /// Schedules the echo of a line. A line that arrives before the answer is dropped, as by an unresponsive server.
    fn schedule_echo<E: Environment>(&mut self, context: &mut Context<E>, now: Instant) {
        if !self.is_established {
            return;
        }
        self.pending_echo_count = self.pending_echo_count.saturating_add(1);
        let fleet = context.application.upstream_fleet();
        let model = &fleet.capacity_model;
        let server = &fleet.servers[self.server];
        let echo_duration =
            server.operation_duration(model, model.setup_duration / ECHOES_PER_SETUP, now);
        context
            .deadlines
            .set(self.id, DeadlineKind::Echo.into(), now + echo_duration);
    }

    fn on_first_line<E: Environment>(
        &mut self,
        context: &mut Context<E>,
        line: &str,
        now: Instant,
    ) -> Lifecycle {
        let Some(request) = parse_request_id(line) else {
            return self.reject(context, "SYNTAX\r\n");
        };
        self.request = Some(request);
        let dialed_at = context
            .application
            .dialed_at(self.peer_address)
            .unwrap_or(now);
        let fleet = context.application.upstream_fleet();
        let model = fleet.capacity_model;
        let server = &mut fleet.servers[self.server];
        let was_warming_up = server.is_warming_up(&model, dialed_at);
        if server.mode == ServerMode::Draining || server.sessions.len() >= model.max_connections {
            return self.reject(context, "BUSY\r\n");
        }
        server.sessions.insert(self.id, request);
        let setup_duration = server.operation_duration(&model, model.setup_duration, now);
        context
            .deadlines
            .set(self.id, DeadlineKind::Answer.into(), now + setup_duration);
        if was_warming_up {
            context
                .application
                .observe(Observation::WarmingUpConnection {
                    server: self.server,
                    dialed_at,
                });
        }
        Lifecycle::Continue
    }

    fn answer<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let Some(request) = self.request else {
            return self.close(context);
        };
        if self.is_established {
            return self.echo(context);
        }
        self.is_established = true;
        self.send(context, &format!("UP {request:016x}\r\nLOAD 1000\r\n"))
    }

    fn echo<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let echo_count = std::mem::take(&mut self.pending_echo_count);
        self.send(context, &"ok\r\n".repeat(echo_count as usize))
    }
}

impl<E: Environment> Connection<E> for ServerSession {
    fn on_ready(
        &mut self,
        context: &mut Context<E>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if (readiness.writable && self.lines.flush().is_err())
            || (readiness.readable && self.lines.read().is_err())
        {
            return self.close(context);
        }
        if self.handle_lines(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if self.lines.is_ended() {
            return self.close(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<E>, kind: E::DeadlineKind) -> Lifecycle {
        let server = &context.application.upstream_fleet().servers[self.server];
        if server.mode == ServerMode::Unresponsive {
            return Lifecycle::Continue;
        }
        if kind == DeadlineKind::Answer.into() {
            self.answer(context)
        } else {
            self.echo(context)
        }
    }

    fn on_message(&mut self, context: &mut Context<E>, command: Command) -> Lifecycle {
        match command {
            Command::Reset => {
                self.lines.reset_on_drop();
                self.close(context)
            }
            Command::Close => self.reject(context, "MOVE\r\n"),
            Command::Reevaluate => Lifecycle::Continue,
        }
    }
}
