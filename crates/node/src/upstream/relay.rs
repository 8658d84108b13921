//! A connection that is up: passes bytes both ways unchanged and taps what the decisions need of them.

use crate::command::{AcceptedAttempt, Message, RelayCommand, TransferCommand};
use crate::deadline::DeadlineKind;
use crate::handoff::message::{ConnectionTransfer, HandoffMessage, TransferredConnection};
use crate::handoff::socket::SendOutcome;
use crate::placement_driver::ClientState;
use crate::state::{ClientSlot, NodeContext, NodeState};
use crate::upstream::attempt::{said, Said, LONGEST_LINE};
use lupincrank_placement::{Outcome, RequestId, RequestInfo, Timestamp};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::debug;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// What one side may bring in one turn of the loop, and in one read.
const TURN: usize = 32 << 10;
const READ: usize = 4 << 10;
/// Once one side has ended, the other may bring nothing for this long.
const HALF_CLOSED: Duration = Duration::from_secs(10);
/// A client that was sent away, or cut off by its transcriber's end, has this long to end its side.
const LINGER: Duration = Duration::from_secs(2);
/// A transcriber that ends a connection so soon after a line that it did not answer could not read the line.
const UNREADABLE: Duration = Duration::from_millis(250);
const CLIENT: usize = 0;

/// One direction: what was read from one side and is not written to the other yet.
#[derive(Default)]
struct Pipe {
    bytes: Vec<u8>,
    sent: usize,
    /// The reading side has ended; once all is written the writing side is ended likewise.
    ended: bool,
    shut: bool,
}

impl Pipe {
    fn waiting(&self) -> usize {
        self.bytes.len() - self.sent
    }

    fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    fn write(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        while self.sent < self.bytes.len() {
            match stream.write(&self.bytes[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.bytes.drain(..self.sent);
                    self.sent = 0;
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.bytes.clear();
        self.sent = 0;
        if self.ended && !self.shut {
            self.shut = true;
            stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }
}

/// A client and its peer.
pub struct Relay {
    id: ComponentId,
    _seat: ClientSlot,
    request: RequestId,
    client: Registered<TcpStream>,
    /// `None` once the client has been sent away.
    peer: Option<Registered<TcpStream>>,
    up: Pipe,
    down: Pipe,
    /// A side that has this much waiting for it is not read for: what the other sends stays with the sender.
    most_held: usize,
    /// The start of a line of the peer whose end is still to come. Lines go to the client whole: guards against
    /// a MOVE in the middle of one.
    part: Vec<u8>,
    last: Said,
    /// The core knows that it has ended.
    told: bool,
    /// On its way to another process: nothing is read or written until it is known whose it is. And whether it is to be
    /// sent away if it stays.
    frozen: bool,
    moves: bool,
}

impl Relay {
    /// Takes both sockets over and passes on what has already come on them.
    pub fn begin(
        context: &mut NodeContext,
        id: ComponentId,
        seat: ClientSlot,
        client: Registered<TcpStream>,
        accepted: AcceptedAttempt,
    ) {
        let AcceptedAttempt {
            request,
            mut stream,
            bytes,
        } = accepted;
        let rekeyed = stream.rekey(poller_key(id, 1));
        let mut relay = Relay {
            id,
            _seat: seat,
            request,
            client,
            peer: Some(stream),
            up: Pipe::default(),
            down: Pipe::default(),
            most_held: context.config.most_held(),
            part: Vec::new(),
            last: Said::Other,
            told: false,
            frozen: false,
            moves: false,
        };
        if rekeyed.is_err() {
            return relay.end(context, Outcome::Reset);
        }
        relay.peer_sent(context, &bytes, false);
        if relay.pump(context) == Lifecycle::Continue {
            if context.handoff.is_handing_over() {
                context.handoff.enqueue([id]);
            }
            context.register(id, Box::new(relay));
        }
    }

    /// Whether a connection that another process hands over can go on here.
    pub fn may_take(context: &NodeContext, record: &TransferredConnection, bytes: &[u8]) -> bool {
        record.lengths.total() == Some(bytes.len())
            && !context.placement.has_request(RequestId(record.request))
    }

    /// Goes on with a connection of another process, where that one left off.
    pub fn take_over(
        context: &mut NodeContext,
        record: TransferredConnection,
        bytes: &[u8],
        [client, peer]: [OwnedFd; 2],
    ) {
        let id = context.allocate_id();
        let watch = |fd: OwnedFd, side| {
            let stream = TcpStream::from(fd);
            Registered::new(
                &context.poller,
                stream,
                poller_key(id, side),
                Interest::READ,
            )
        };
        let (Ok(client), Ok(peer)) = (watch(client, CLIENT), watch(peer, 1)) else {
            return;
        };
        let request = RequestId(record.request);
        let (up, rest) = bytes.split_at(record.lengths.to_server.min(bytes.len()));
        let (down, part) = rest.split_at(record.lengths.to_client.min(rest.len()));
        let pipe = |bytes: &[u8]| Pipe {
            bytes: bytes.to_vec(),
            ..Pipe::default()
        };
        let mut relay = Relay {
            id,
            _seat: ClientSlot::take(&context.client_count),
            request,
            client,
            peer: Some(peer),
            up: pipe(up),
            down: pipe(down),
            most_held: context.config.most_held(),
            part: part.to_vec(),
            last: Said::Other,
            told: false,
            frozen: false,
            moves: false,
        };
        let class = context
            .config
            .classes
            .iter()
            .position(|class| *class == record.class);
        let incoming = RequestInfo {
            request,
            // A class that is not there any more: what stands needs none.
            class: class.unwrap_or(usize::MAX),
            tenant: None,
            group: record.group,
            key: record.key,
            load: None,
            deadline: Timestamp::default(),
            is_mid_flow: false,
            is_reconnect: record.is_reconnect,
        };
        let now = Instant::now();
        let before = |ms: &u64| now.checked_sub(Duration::from_millis(*ms)).unwrap_or(now);
        let unanswered = record.unanswered_ms.iter().map(before).collect();
        let load = record.load_us.map(|load| load as f64);
        context
            .placement
            .on_transferred_connection(id, incoming, &record.server, load, unanswered);
        if relay.pump(context) == Lifecycle::Continue {
            context.register(id, Box::new(relay));
        }
    }

    /// Sends both sockets and all that waits between them to the process that takes this one's place. One that is ending
    /// ends here.
    fn hand_over(&mut self, context: &mut NodeContext) -> Lifecycle {
        let Some(peer) = self
            .peer
            .as_ref()
            .filter(|_| !self.frozen && !self.up.ended && !self.down.ended)
        else {
            return Lifecycle::Continue;
        };
        let Some(connection) = context.placement.established_connection(self.request) else {
            return Lifecycle::Continue;
        };
        let parts = [
            &self.up.bytes[self.up.sent..],
            &self.down.bytes[self.down.sent..],
            &self.part,
        ];
        let record = TransferredConnection {
            request: self.request.0,
            class: context
                .config
                .classes
                .get(connection.request.class)
                .cloned()
                .unwrap_or_default(),
            group: connection.request.group.clone(),
            key: connection.request.key.clone(),
            is_reconnect: connection.request.is_reconnect,
            server: connection.server.0.to_string(),
            load_us: connection.load.map(|load| load as u64),
            unanswered_ms: connection
                .unanswered_lines
                .iter()
                .map(|sent| sent.elapsed().as_millis() as u64)
                .collect(),
            lengths: parts.map(<[u8]>::len).into(),
        };
        let (bytes, fds) = (parts.concat(), [self.client.as_fd(), peer.as_fd()]);
        let message = |number| {
            HandoffMessage::Connection(ConnectionTransfer {
                number,
                connection: record,
            })
        };
        match context.handoff.transfer(self.id, message, &bytes, &fds) {
            Ok(SendOutcome::Sent) => {
                debug!(context.log, "on its way"; "request" => format!("{:016x}", self.request.0));
                self.frozen = true;
                let quiet = self.client.set_interest(Interest::NONE);
                if quiet
                    .and(
                        self.peer
                            .as_mut()
                            .map_or(Ok(()), |peer| peer.set_interest(Interest::NONE)),
                    )
                    .is_err()
                {
                    debug!(context.log, "cannot rest"; "request" => format!("{:016x}", self.request.0));
                }
                Lifecycle::Continue
            }
            Ok(SendOutcome::WouldBlock) => Lifecycle::Continue,
            Err(error) => {
                debug!(context.log, "cannot hand over"; "error" => %error);
                self.send_away(context)
            }
        }
    }

    fn end(&mut self, context: &mut NodeContext, outcome: Outcome) {
        if !std::mem::replace(&mut self.told, true) {
            context
                .placement
                .on_attempt_ended(self.request, outcome, ClientState::Answered);
        }
    }

    fn client_sent(&mut self, context: &mut NodeContext, bytes: &[u8]) {
        self.up.push(bytes);
        for _ in bytes.iter().filter(|byte| **byte == b'\n') {
            context.placement.on_line_sent(self.request);
        }
    }

    /// `answers`: lines that are neither the first nor a load come back for lines of the client.
    fn peer_sent(&mut self, context: &mut NodeContext, bytes: &[u8], mut answers: bool) {
        self.part.extend_from_slice(bytes);
        let mut at = 0;
        while let Some(length) = self.part[at..].iter().position(|byte| *byte == b'\n') {
            let end = at + length + 1;
            self.last = said(&self.part[at..end]);
            match self.last {
                Said::Load(micros) => context.placement.on_load_report(self.request, micros),
                _ if answers => context.placement.on_line_returned(self.request),
                _ => answers = true,
            }
            at = end;
        }
        // A line longer than any may be goes on as it is, rather than being held for ever.
        if self.part.len() - at > LONGEST_LINE {
            at = self.part.len();
        }
        self.down.push(&self.part[..at]);
        self.part.drain(..at);
    }

    /// Writes what waits, sets what is waited for, and says whether there is anything left to do.
    fn pump(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.down.write(&mut self.client).is_err() {
            return self.broke(context, CLIENT);
        }
        let peer_writes = self.peer.as_mut().map(|peer| self.up.write(peer));
        if peer_writes.is_some_and(|written| written.is_err()) {
            return self.broke(context, 1);
        }
        if self.down.shut && self.up.ended && (self.up.shut || self.peer.is_none()) {
            return Lifecycle::Close;
        }
        let reads_client = !self.up.ended && self.up.waiting() < self.most_held;
        let mut wanted = self.client.set_interest(Interest {
            readable: reads_client,
            writable: self.down.waiting() > 0,
        });
        if let Some(peer) = &mut self.peer {
            let reads_peer = !self.down.ended && self.down.waiting() < self.most_held;
            wanted = wanted.and(peer.set_interest(Interest {
                readable: reads_peer,
                writable: self.up.waiting() > 0,
            }));
        }
        if wanted.is_err() {
            self.broke(context, CLIENT)
        } else {
            Lifecycle::Continue
        }
    }

    /// The transcriber has ended the connection unasked. Lines come back at once, so if one has just gone out it was
    /// that one that the transcriber could not read: guards against blaming it for what a client sends.
    fn cut_off(&self, context: &NodeContext) -> Outcome {
        let sent = context.placement.oldest_unanswered_line(self.request);
        if sent.is_some_and(|sent| sent.elapsed() < UNREADABLE) {
            Outcome::Cancelled
        } else {
            Outcome::Reset
        }
    }

    /// One side was reset: the other is reset too, after what it can still take at once.
    fn broke(&mut self, context: &mut NodeContext, side: usize) -> Lifecycle {
        let outcome = if side == CLIENT {
            Outcome::Cancelled
        } else {
            self.cut_off(context)
        };
        self.end(context, outcome);
        if side == CLIENT {
            if let Some(peer) = &mut self.peer {
                let _ = self.up.write(peer);
                let _ = SockRef::from(&**peer).set_linger(Some(Duration::ZERO));
            }
        } else {
            let _ = self.down.write(&mut self.client);
            let _ = SockRef::from(&*self.client).set_linger(Some(Duration::ZERO));
        }
        Lifecycle::Close
    }

    fn read(&mut self, context: &mut NodeContext, side: usize) -> Lifecycle {
        let mut scratch = [0; READ];
        let mut taken = 0;
        while taken < TURN {
            let (pipe, stream) = match (side, &mut self.peer) {
                (CLIENT, _) => (&mut self.up, &mut self.client),
                (_, Some(peer)) => (&mut self.down, peer),
                (_, None) => return Lifecycle::Continue,
            };
            let read = if pipe.ended || pipe.waiting() >= self.most_held {
                // Told of without being asked: the connection broke.
                match stream.take_error() {
                    Ok(None) => return self.pump(context),
                    _ => return self.broke(context, side),
                }
            } else {
                stream.read(&mut scratch)
            };
            match read {
                Ok(0) => {
                    self.ended(context, side);
                    break;
                }
                Ok(read) => {
                    taken += read;
                    if side == CLIENT {
                        if self.peer.is_some() {
                            self.client_sent(context, &scratch[..read]);
                        }
                    } else {
                        self.peer_sent(context, &scratch[..read], true);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.broke(context, side),
            }
        }
        self.pump(context)
    }

    /// One side has ended its sending: the other hears of it after all that was sent.
    fn ended(&mut self, context: &mut NodeContext, side: usize) {
        let left = if self.peer.is_some() {
            HALF_CLOSED
        } else {
            LINGER
        };
        context
            .deadlines
            .set(self.id, DeadlineKind::RelayClose, Instant::now() + left);
        if side == CLIENT {
            self.up.ended = true;
            self.end(context, Outcome::Cancelled);
        } else {
            let part = std::mem::take(&mut self.part);
            self.down.push(&part);
            self.down.ended = true;
            context
                .deadlines
                .set(self.id, DeadlineKind::RelayClose, Instant::now() + LINGER);
            let outcome = match self.last {
                Said::Bye => Outcome::Served,
                Said::Move => Outcome::Cancelled,
                Said::Err => Outcome::Error,
                _ => self.cut_off(context),
            };
            self.end(context, outcome);
        }
    }

    /// The client is to be sent away; while it is on its way to another process that has to wait.
    fn on_migrate(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.frozen {
            self.moves = true;
            return Lifecycle::Continue;
        }
        self.send_away(context)
    }

    fn on_transfer(&mut self, context: &mut NodeContext, command: TransferCommand) -> Lifecycle {
        match command {
            TransferCommand::Start => self.hand_over(context),
            TransferCommand::Completed => {
                self.end(context, Outcome::Cancelled);
                Lifecycle::Close
            }
            TransferCommand::Cancelled => {
                self.frozen = false;
                if self.moves {
                    self.send_away(context)
                } else {
                    self.pump(context)
                }
            }
        }
    }

    /// Sends the client away between two lines, and ends both sides.
    fn send_away(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.peer.take().is_some() {
            self.part.clear();
            self.up.bytes.clear();
            self.up.sent = 0;
            if !self.down.ended {
                self.down.push(b"MOVE\r\n");
                self.down.ended = true;
            }
            self.end(context, Outcome::Cancelled);
            context
                .deadlines
                .set(self.id, DeadlineKind::RelayClose, Instant::now() + LINGER);
        }
        self.pump(context)
    }
}

impl Connection<NodeState> for Relay {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.frozen {
            Lifecycle::Continue
        } else if readiness.readable {
            self.read(context, socket)
        } else {
            self.pump(context)
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        self.end(context, Outcome::Cancelled);
        Lifecycle::Close
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::Relay(RelayCommand::Migrate) => self.on_migrate(context),
            Message::Transfer(command) => self.on_transfer(context, command),
            _ => Lifecycle::Continue,
        }
    }
}
