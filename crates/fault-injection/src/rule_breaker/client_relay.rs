//! The client connections of a rule breaker. Each is relayed to one upstream server, or to two.

use super::{DeadlineKind, RuleBreaker, RuleBreakerKind, DROP_DELAY};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{
    poller_key, ComponentId, Connection, Context, Interest, Lifecycle, Readiness,
};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 4096;
/// Socket numbers of a relay.
const CLIENT_SOCKET: usize = 0;
const SERVER_SOCKET: usize = 1;

/// Accepts clients.
pub(super) struct ClientListener {
    listener: Registered<TcpListener>,
}

impl ClientListener {
    /// Listens at this address.
    pub(super) fn open(context: &mut Context<RuleBreaker>, address: SocketAddr) -> io::Result<()> {
        let id = context.allocate_id();
        let listener = poll::listen(address)?;
        let key = poller_key(id, 0);
        let listener = Registered::new(&context.poller, listener, key, Interest::READ)?;
        context.register(id, Box::new(ClientListener { listener }));
        Ok(())
    }
}

impl Connection<RuleBreaker> for ClientListener {
    fn on_ready(
        &mut self,
        context: &mut Context<RuleBreaker>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        while let Ok((stream, _)) = self.listener.accept() {
            // If the stream can't be used, it is dropped, which closes the client's connection.
            let _ = ClientRelay::open(context, stream);
        }
        Lifecycle::Continue
    }

    fn on_deadline(
        &mut self,
        _context: &mut Context<RuleBreaker>,
        _kind: DeadlineKind,
    ) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<RuleBreaker>, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// A client and the servers that its request was sent to. Only bytes of the first server are relayed to the client.
struct ClientRelay {
    id: ComponentId,
    client: Registered<TcpStream>,
    servers: Vec<Registered<TcpStream>>,
    first_line: Vec<u8>,
    is_answered: bool,
}

fn is_would_block(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}

impl ClientRelay {
    fn open(context: &mut Context<RuleBreaker>, stream: TcpStream) -> io::Result<()> {
        let id = context.allocate_id();
        stream.set_nonblocking(true)?;
        let key = poller_key(id, CLIENT_SOCKET);
        let client = Registered::new(&context.poller, stream, key, Interest::READ)?;
        let relay = ClientRelay {
            id,
            client,
            servers: Vec::new(),
            first_line: Vec::new(),
            is_answered: false,
        };
        context.register(id, Box::new(relay));
        Ok(())
    }

    fn on_client_readable(&mut self, context: &mut Context<RuleBreaker>) -> Lifecycle {
        let mut bytes = [0; READ_CHUNK_BYTES];
        let length = match self.client.read(&mut bytes) {
            Ok(0) => return Lifecycle::Close,
            Ok(length) => length,
            Err(error) if is_would_block(&error) => return Lifecycle::Continue,
            Err(_) => return Lifecycle::Close,
        };
        if !self.servers.is_empty() {
            return self.forward(&bytes[..length]);
        }
        self.first_line.extend_from_slice(&bytes[..length]);
        if !self.first_line.ends_with(b"\n") {
            return Lifecycle::Continue;
        }
        self.on_first_line(context)
    }

    /// Forwards a client's bytes to the first server; bytes before the answer are dropped.
    fn forward(&mut self, bytes: &[u8]) -> Lifecycle {
        let Some(server) = self.servers.first_mut() else {
            return Lifecycle::Continue;
        };
        if self.is_answered && server.write(bytes).is_err() {
            return Lifecycle::Close;
        }
        Lifecycle::Continue
    }

    fn on_first_line(&mut self, context: &mut Context<RuleBreaker>) -> Lifecycle {
        if self.first_line.starts_with(b"PING") {
            let _ = self.client.write(b"PONG\r\n");
            return Lifecycle::Close;
        }
        let attempt_count = match context.application.kind {
            RuleBreakerKind::NeverAnswers => 0,
            RuleBreakerKind::AttemptsTwice => 2,
            _ => 1,
        };
        // Events of the second server are reported under the client's socket number, so its bytes are never read.
        for socket in [SERVER_SOCKET, CLIENT_SOCKET]
            .into_iter()
            .take(attempt_count)
        {
            let Some(address) = context.application.choose_endpoint() else {
                return Lifecycle::Close;
            };
            let key = poller_key(self.id, socket);
            if let Ok(server) = poll::connect(&context.poller, address, key) {
                self.servers.push(server);
            }
        }
        Lifecycle::Continue
    }

    fn on_server_readable(&mut self, context: &mut Context<RuleBreaker>) -> Lifecycle {
        let Some(server) = self.servers.first_mut() else {
            return Lifecycle::Continue;
        };
        let mut bytes = [0; READ_CHUNK_BYTES];
        match server.read(&mut bytes) {
            Ok(length) if length > 0 => self.on_server_bytes(context, &bytes[..length]),
            Err(error) if is_would_block(&error) => Lifecycle::Continue,
            // A failure of the server must not break another rule, so the client still receives an answer.
            _ if !self.is_answered => self.reject(),
            _ => Lifecycle::Close,
        }
    }

    fn on_server_bytes(&mut self, context: &mut Context<RuleBreaker>, bytes: &[u8]) -> Lifecycle {
        let is_first = !self.is_answered;
        self.is_answered = true;
        if self.client.write(bytes).is_err() {
            return Lifecycle::Close;
        }
        if is_first {
            self.break_rule(context);
        }
        Lifecycle::Continue
    }

    /// Breaks the rules that concern an established connection.
    fn break_rule(&mut self, context: &mut Context<RuleBreaker>) {
        match context.application.kind {
            RuleBreakerKind::AnswersTwice => drop(self.client.write(b"BUSY\r\n")),
            RuleBreakerKind::DropsConnections => {
                let drop_at = Instant::now() + DROP_DELAY;
                context
                    .deadlines
                    .set(self.id, DeadlineKind::DropClient, drop_at);
            }
            _ => {}
        }
    }

    fn reject(&mut self) -> Lifecycle {
        let _ = self.client.write(b"ERR\r\n");
        Lifecycle::Close
    }

    /// Sends the first line to all servers, once the connection to one of them is established.
    fn send_first_line(&mut self) -> io::Result<()> {
        for server in &mut self.servers {
            server.set_interest(Interest::READ)?;
            server.write_all(&self.first_line)?;
        }
        Ok(())
    }
}

impl Connection<RuleBreaker> for ClientRelay {
    fn on_ready(
        &mut self,
        context: &mut Context<RuleBreaker>,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if readiness.writable && self.send_first_line().is_err() {
            return self.reject();
        }
        match (readiness.readable, socket) {
            (true, CLIENT_SOCKET) => self.on_client_readable(context),
            (true, _) => self.on_server_readable(context),
            _ => Lifecycle::Continue,
        }
    }

    fn on_deadline(
        &mut self,
        _context: &mut Context<RuleBreaker>,
        _kind: DeadlineKind,
    ) -> Lifecycle {
        Lifecycle::Close
    }

    fn on_message(&mut self, _context: &mut Context<RuleBreaker>, _message: ()) -> Lifecycle {
        Lifecycle::Close
    }
}
