//! The platform's line protocol towards clients: the listener, the first line, and the answers to it.

use crate::command::{
    AcceptedAttempt, AttemptCommand, ClientCommand, ListenerCommand, Message, TransferCommand,
};
use crate::component::WellKnownComponent;
use crate::deadline::{ClientDeadline, DeadlineKind};
use crate::handoff::message::{HandoffMessage, UnidentifiedClientTransfer};
use crate::handoff::socket::SendOutcome;
use crate::placement_driver::ClientState;
use crate::state::{ClientSlot, NodeContext, NodeState, UnidentifiedClients};
use crate::upstream::attempt::{Peer, Try, LONGEST_LINE};
use crate::upstream::relay::Relay;
use lupincrank_placement::{RequestId, RequestInfo, Timestamp};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::{debug, warn};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::Range;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long accepting rests when the process has no descriptor left.
const REST: Duration = Duration::from_millis(50);
/// How long a client may take for its first line, and to end after its answer. Some need 2 s to write it, and whoever
/// connects is owed an answer or an end in 3 s.
const FIRST_LINE: Duration = Duration::from_millis(2500);
const LINGER: Duration = Duration::from_secs(1);
/// Reads in one turn of the loop. Guards against a client that sends at full speed and keeps the others waiting.
const READS: usize = 4;
/// What is still read of a client that has its answer: enough for one that had sent a little more by then, so that
/// its answer is not lost to a reset; one that sends on and on is cut off.
const MOST_DRAINED: usize = 64 << 10;
/// Connections from before this node's life come in its first moments only.
const OLD_COME: Duration = Duration::from_secs(60);
/// A connection from before this node's life is tried this often, so long apart, and for at most so long.
const OLD_TRIES: u32 = 3;
const OLD_PAUSE: Duration = Duration::from_millis(300);
const OLD_WAIT: Duration = Duration::from_secs(40);

/// A connection's place among the strangers; given back when dropped.
struct Place {
    among: UnidentifiedClients,
    key: (Instant, ComponentId),
}

impl Place {
    /// Takes a place until the connection has to be gone.
    fn take(context: &mut NodeContext, id: ComponentId, patience: Duration) -> Place {
        let key = (Instant::now() + patience, id);
        context
            .deadlines
            .set(id, ClientDeadline::Close.into(), key.0);
        context.unidentified_clients.borrow_mut().insert(key);
        Place {
            among: Rc::clone(&context.unidentified_clients),
            key,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.among.borrow_mut().remove(&self.key);
    }
}

/// Takes clients in.
pub struct Listener {
    socket: Registered<TcpListener>,
    /// Another process takes clients in from the same socket; what waits there is left to it.
    rests: bool,
}

impl Listener {
    /// Listens on the configured address only, or at the socket that was inherited.
    pub fn new(context: &NodeContext, inherited: Option<TcpListener>) -> io::Result<Listener> {
        let socket = match inherited {
            Some(socket) => socket,
            None => poll::listen(context.config.listen)?,
        };
        let socket = Registered::new(
            &context.poller,
            socket,
            poller_key(WellKnownComponent::ClientListener.id(), 0),
            Interest::READ,
        )?;
        Ok(Listener {
            socket,
            rests: false,
        })
    }

    fn take(&mut self, context: &mut NodeContext) -> io::Result<()> {
        for _ in 0..context.config.most_accepts() {
            let stream = match self.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The client gave up while it waited to be taken.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            let _ = stream.set_nodelay(true);
            let id = context.allocate_id();
            let stream =
                Registered::new(&context.poller, stream, poller_key(id, 0), Interest::READ)?;
            let place = Some(Place::take(context, id, FIRST_LINE));
            let (stream, bytes, state) = (Some(stream), Vec::new(), State::First);
            let mut client = Client {
                id,
                seat: None,
                place,
                stream,
                bytes,
                state,
                frozen: false,
            };
            // Most have sent their line by now: guards against taking one that asks for one that says nothing.
            if client.read(context) == Lifecycle::Continue {
                context.register(id, Box::new(client));
            } else {
                context.deadlines.clear_all(id);
            }
            self.make_room(context);
        }
        Ok(())
    }

    /// Ends the strangers that had to go first anyway when descriptors are needed. Guards against hundreds that
    /// connect and say nothing.
    fn make_room(&self, context: &mut NodeContext) {
        let other = context.handoff.peer_heartbeat();
        let most = context
            .config
            .most_strangers(context.client_count.get() + other.client_count);
        while context.unidentified_clients.borrow().len() + other.unidentified_count > most {
            let Some((_, id)) = context.unidentified_clients.borrow_mut().pop_first() else {
                break;
            };
            context.send(id, ClientCommand::Close);
        }
    }
}

impl Connection<NodeState> for Listener {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if let Err(error) = self.take(context) {
            // No descriptor is left: guards against a loop that spins on a listener that stays ready.
            warn!(context.log, "cannot take clients for now"; "error" => %error);
            if self.socket.set_interest(Interest::NONE).is_ok() {
                context.deadlines.set(
                    WellKnownComponent::ClientListener.id(),
                    DeadlineKind::ResumeAccepting,
                    Instant::now() + REST,
                );
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        if let Err(error) = self.socket.set_interest(Interest {
            readable: !self.rests,
            writable: false,
        }) {
            warn!(context.log, "cannot listen again yet"; "error" => %error);
            context.deadlines.set(
                WellKnownComponent::ClientListener.id(),
                DeadlineKind::ResumeAccepting,
                Instant::now() + REST,
            );
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Listener(command) = message else {
            return Lifecycle::Continue;
        };
        self.rests = match command {
            ListenerCommand::Pause => true,
            ListenerCommand::Resume => false,
        };
        self.on_deadline(context, DeadlineKind::ResumeAccepting)
    }
}

/// What a first line asks for.
#[derive(Debug, PartialEq)]
pub enum First {
    /// `PING`.
    Ping,
    /// `OPEN ...`.
    Open(Open),
}

/// The fields of an `OPEN` line that the decisions need.
#[derive(Debug, PartialEq)]
pub struct Open {
    request: u64,
    flow: String,
    class: usize,
    left_ms: u64,
    /// Where in the line the digits of `d` stand.
    left_at: Range<usize>,
    subject: Option<String>,
    again: bool,
    holder: Option<String>,
    load: Option<Duration>,
}

/// Reads a first line without its end; `None` if it is malformed.
pub fn first_line(line: &[u8], classes: &[String]) -> Option<First> {
    let text = std::str::from_utf8(line).ok()?;
    if text == "PING" {
        return Some(First::Ping);
    }
    let mut parts = text.split(' ');
    let (word, id, flow, list) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    if word != "OPEN" || parts.next().is_some() || !plain(flow) {
        return None;
    }
    let hexadecimal = id.len() == 16
        && id
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    let request = u64::from_str_radix(id, 16).ok().filter(|_| hexadecimal)?;
    let mut at = text.len() - list.len();
    let (mut class, mut left, mut subject, mut again, mut holder, mut load) =
        (None, None, None, false, None, None);
    for field in list.split(',') {
        let (name, value) = field.split_once('=')?;
        if !plain(name) || !plain(value) {
            return None;
        }
        let value_at = at + name.len() + 1;
        at += field.len() + 1;
        match name {
            "c" => class = Some(classes.iter().position(|class| class == value)?),
            "d" => {
                let digits = value.bytes().all(|byte| byte.is_ascii_digit());
                let span = value.parse::<u32>().ok().filter(|_| digits)?;
                left = Some((u64::from(span), value_at..value_at + value.len()));
            }
            "g" => subject = Some(value.to_string()),
            "again" => again = value == "1",
            "at" => holder = Some(value.to_string()),
            "h" => {
                let micros = value
                    .parse::<f64>()
                    .ok()
                    .filter(|load| (0.0..1e12).contains(load))?;
                load = Some(Duration::from_secs_f64(micros / 1e6));
            }
            _ => {}
        }
    }
    let (left_ms, left_at) = left?;
    let flow = flow.to_string();
    Some(First::Open(Open {
        request,
        flow,
        class: class?,
        left_ms,
        left_at,
        subject,
        again,
        holder,
        load,
    }))
}

/// A field that holds something and no control characters.
fn plain(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(char::is_control)
}

impl Open {
    fn incoming(&self, groups: bool) -> RequestInfo {
        let subject = self.subject.clone();
        let (group, key) = if groups {
            (subject, Some(self.flow.clone()))
        } else {
            (None, subject)
        };
        RequestInfo {
            request: RequestId(self.request),
            class: self.class,
            tenant: None,
            group,
            key: key.or_else(|| Some(self.flow.clone())),
            load: self.load,
            deadline: Timestamp(0),
            is_mid_flow: false,
            is_reconnect: self.again,
        }
    }
}

/// The answer that refuses, with how long to stay away.
fn busy(after: Duration) -> Vec<u8> {
    match after.as_millis() {
        0 => b"BUSY\r\n".to_vec(),
        wait => format!("BUSY {wait}\r\n").into_bytes(),
    }
}

struct Waiting {
    open: Open,
    /// The first line as it came, its end included.
    line: Vec<u8>,
    until: Instant,
    peer: Option<ComponentId>,
    /// Tries made for a connection from before this node's life.
    old_tries: u32,
}

enum State {
    /// Its first line is still to come.
    First,
    /// It waits for its answer.
    Waiting(Waiting),
    /// It has its answer; what of that is not written yet is in `bytes`. So much was read since.
    Closing(usize),
}

/// A client until its connection is up.
pub struct Client {
    id: ComponentId,
    /// While it asks, and while it does not.
    seat: Option<ClientSlot>,
    place: Option<Place>,
    stream: Option<Registered<TcpStream>>,
    /// What was read and is not used yet; once it is closing, what is still to be written.
    bytes: Vec<u8>,
    state: State,
    /// On its way to another process: nothing is read until it is known whose it is.
    frozen: bool,
}

impl Client {
    /// Goes on with a client of another process whose first line is not whole yet.
    pub fn take_over(context: &mut NodeContext, socket: OwnedFd, bytes: Vec<u8>, left: Duration) {
        let id = context.allocate_id();
        let Ok(stream) = Registered::new(
            &context.poller,
            TcpStream::from(socket),
            poller_key(id, 0),
            Interest::READ,
        ) else {
            return;
        };
        let place = Some(Place::take(context, id, left.min(FIRST_LINE)));
        let (stream, state) = (Some(stream), State::First);
        context.register(
            id,
            Box::new(Client {
                id,
                seat: None,
                place,
                stream,
                bytes,
                state,
                frozen: false,
            }),
        );
    }

    fn hand_over(&mut self, context: &mut NodeContext) {
        let (State::First, Some(stream), Some(place)) =
            (&self.state, &mut self.stream, &self.place)
        else {
            return;
        };
        let left = place
            .key
            .0
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let message = |number| {
            HandoffMessage::UnidentifiedClient(UnidentifiedClientTransfer {
                number,
                remaining_ms: left,
            })
        };
        if matches!(
            context
                .handoff
                .transfer(self.id, message, &self.bytes, &[stream.as_fd()]),
            Ok(SendOutcome::Sent)
        ) {
            self.frozen = true;
            let _ = stream.set_interest(Interest::NONE);
        }
    }

    fn answer(&mut self, context: &mut NodeContext, answer: &[u8]) -> Lifecycle {
        self.state = State::Closing(0);
        self.bytes = answer.to_vec();
        self.seat = None;
        // The old place, if there is one, goes first: it may be the same.
        self.place = None;
        self.place = Some(Place::take(context, self.id, LINGER));
        context
            .deadlines
            .clear(self.id, ClientDeadline::RestoreRetry.into());
        self.flush()
    }

    /// Writes what is left of the answer, then ends the sending; the client's end is awaited, for closing at
    /// once could destroy an answer that it has not read yet.
    fn flush(&mut self) -> Lifecycle {
        let Some(stream) = &mut self.stream else {
            return Lifecycle::Close;
        };
        while !self.bytes.is_empty() {
            match stream.write(&self.bytes) {
                Ok(sent) => drop(self.bytes.drain(..sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return if stream.set_interest(Interest::READ_WRITE).is_ok() {
                        Lifecycle::Continue
                    } else {
                        Lifecycle::Close
                    };
                }
                Err(_) => return Lifecycle::Close,
            }
        }
        if stream.shutdown(Shutdown::Write).is_err() || stream.set_interest(Interest::READ).is_err()
        {
            return Lifecycle::Close;
        }
        Lifecycle::Continue
    }

    fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let mut scratch = [0; 4 << 10];
        for _ in 0..READS {
            let Some(stream) = &mut self.stream else {
                return Lifecycle::Close;
            };
            let flow = match stream.read(&mut scratch) {
                Ok(0) => self.gone(context),
                Ok(read) => self.take(context, &scratch[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => Lifecycle::Continue,
                Err(_) => self.gone(context),
            };
            if flow == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Continue
    }

    fn take(&mut self, context: &mut NodeContext, bytes: &[u8]) -> Lifecycle {
        match &mut self.state {
            State::First => {
                self.bytes.extend_from_slice(bytes);
                let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else {
                    let more = self.bytes.len() < LONGEST_LINE;
                    return if more {
                        Lifecycle::Continue
                    } else {
                        self.reject_line(context, "it does not end")
                    };
                };
                let rest = self.bytes.split_off(end + 1);
                let line = std::mem::take(&mut self.bytes);
                let flow = self.first(context, line);
                if flow == Lifecycle::Continue && !rest.is_empty() {
                    return self.take(context, &rest);
                }
                flow
            }
            // A client waits for its answer. One that does not sends what no transcriber can read: guards against
            // commands by the hundred, and against a transcriber that is blamed for closing on them.
            State::Waiting(_) => {
                self.leave(context);
                self.reject_line(context, "more than one line")
            }
            State::Closing(drained) => {
                *drained += bytes.len();
                if *drained > MOST_DRAINED {
                    Lifecycle::Close
                } else {
                    Lifecycle::Continue
                }
            }
        }
    }

    /// The client has left: nothing is owed.
    fn gone(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.leave(context);
        Lifecycle::Close
    }

    /// Its place is needed, or its time is up: what has come of it by now is read first. Guards against ending a connection
    /// whose request has been taken: its last byte may have come while this process was kept from reading.
    fn last_look(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.read(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        match self.state {
            State::First if self.bytes.is_empty() => Lifecycle::Close,
            State::First => self.reject_line(context, "it takes too long"),
            _ => Lifecycle::Continue,
        }
    }

    /// Nobody waits for the request any more, and its try is closed. That says nothing of the transcriber.
    fn leave(&mut self, context: &mut NodeContext) {
        if let State::Waiting(waiting) = &self.state {
            debug!(context.log, "client left"; "request" => format!("{:016x}", waiting.open.request));
            if let Some(peer) = waiting.peer {
                context.send(peer, AttemptCommand::Close);
            }
            if waiting.open.holder.is_none() {
                context
                    .placement
                    .on_client_gone(RequestId(waiting.open.request));
            }
        }
    }

    fn reject_line(&mut self, context: &mut NodeContext, why: &str) -> Lifecycle {
        debug!(context.log, "malformed first line"; "why" => why.to_string());
        self.answer(context, b"ERR\r\n")
    }

    fn first(&mut self, context: &mut NodeContext, line: Vec<u8>) -> Lifecycle {
        let Some(text) = line
            .strip_suffix(b"\r\n")
            .filter(|_| line.len() <= LONGEST_LINE)
        else {
            return self.reject_line(context, "its end");
        };
        let open = match first_line(text, &context.config.classes) {
            Some(First::Ping) => {
                // The front sends clients once this is answered: only when they can be served.
                let able = context.check_serving().is_ok();
                return self.answer(context, if able { b"PONG\r\n" } else { b"BUSY\r\n" });
            }
            Some(First::Open(open)) => open,
            None => return self.reject_line(context, "its fields"),
        };
        let request = RequestId(open.request);
        if context.placement.has_request(request)
            || (open.holder.is_some() && context.started_at.elapsed() > OLD_COME)
        {
            return self.reject_line(context, "another's id, or a holder long after the start");
        }
        if context.client_count.get() + context.handoff.peer_heartbeat().client_count
            >= context.config.most_clients()
        {
            debug!(context.log, "too many clients"; "held" => context.client_count.get());
            return self.answer(context, &busy(context.config.settings.max_retry_after / 2));
        }
        context
            .deadlines
            .clear(self.id, ClientDeadline::Close.into());
        (self.seat, self.place) = (Some(ClientSlot::take(&context.client_count)), None);
        let left = Duration::from_millis(open.left_ms);
        let incoming = open.incoming(context.config.groups);
        let old = open.holder.is_some();
        let until = Instant::now() + if old { left.min(OLD_WAIT) } else { left };
        self.state = State::Waiting(Waiting {
            open,
            line,
            until,
            peer: None,
            old_tries: 0,
        });
        if old {
            return self.resume(context);
        }
        context.placement.on_request(self.id, incoming, left);
        Lifecycle::Continue
    }

    /// Sends a connection that stood before this node's life to the transcriber that holds it.
    fn resume(&mut self, context: &mut NodeContext) -> Lifecycle {
        let State::Waiting(waiting) = &mut self.state else {
            return Lifecycle::Continue;
        };
        let dial = waiting
            .open
            .holder
            .as_deref()
            .and_then(|holder| context.placement.available_address(holder));
        let Some(dial) =
            dial.filter(|_| waiting.old_tries < OLD_TRIES && Instant::now() < waiting.until)
        else {
            return self.answer(context, &busy(Duration::ZERO));
        };
        if context
            .placement
            .has_request(RequestId(waiting.open.request))
        {
            return self.reject_line(context, "another's id");
        }
        waiting.old_tries += 1;
        let (request, until) = (RequestId(waiting.open.request), waiting.until);
        self.dial(context, request, dial, until, true);
        Lifecycle::Continue
    }

    fn dial(
        &mut self,
        context: &mut NodeContext,
        request: RequestId,
        dial: std::net::SocketAddr,
        until: Instant,
        stood: bool,
    ) {
        let State::Waiting(waiting) = &mut self.state else {
            return;
        };
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let at = &waiting.open.left_at;
        let line = [
            &waiting.line[..at.start],
            left.to_string().as_bytes(),
            &waiting.line[at.end..],
        ]
        .concat();
        let id = context.allocate_id();
        waiting.peer = Some(id);
        Peer::open(
            context,
            id,
            Try {
                owner: self.id,
                request,
                dial,
                line,
                until,
                stood,
            },
        );
    }

    /// The try is up: both sockets go to a relay under this object's name.
    fn up(&mut self, context: &mut NodeContext, up: AcceptedAttempt) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        if waiting.open.holder.is_some() && context.placement.has_request(up.request) {
            return self.reject_line(context, "another's id");
        }
        let (Some(client), Some(seat)) = (self.stream.take(), self.seat.take()) else {
            return Lifecycle::Close;
        };
        match &waiting.open.holder {
            Some(holder) => {
                let incoming = waiting.open.incoming(context.config.groups);
                context
                    .placement
                    .on_inherited_connection(self.id, incoming, holder);
            }
            None => context.placement.on_attempt_accepted(up.request),
        }
        Relay::begin(context, self.id, seat, client, up);
        Lifecycle::Close
    }

    fn on_transfer(&mut self, context: &mut NodeContext, command: TransferCommand) -> Lifecycle {
        match command {
            TransferCommand::Start => {
                self.hand_over(context);
                Lifecycle::Continue
            }
            TransferCommand::Completed => Lifecycle::Close,
            TransferCommand::Cancelled => self.on_transfer_cancelled(context),
        }
    }

    fn on_transfer_cancelled(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.frozen = false;
        if let Some(place) = &self.place {
            context
                .deadlines
                .set(self.id, ClientDeadline::Close.into(), place.key.0);
        }
        let is_watched = self
            .stream
            .as_mut()
            .is_some_and(|stream| stream.set_interest(Interest::READ).is_ok());
        if is_watched {
            Lifecycle::Continue
        } else {
            Lifecycle::Close
        }
    }

    fn on_command(&mut self, context: &mut NodeContext, command: ClientCommand) -> Lifecycle {
        let State::Waiting(waiting) = &mut self.state else {
            return match (command, &self.state) {
                (ClientCommand::Close, State::First) => self.last_look(context),
                (ClientCommand::Close, _) => Lifecycle::Close,
                _ => Lifecycle::Continue,
            };
        };
        match command {
            ClientCommand::StartAttempt(order) => {
                if self.read(context) == Lifecycle::Close {
                    return Lifecycle::Close;
                }
                self.dial(context, order.request, order.address, order.deadline, false);
                Lifecycle::Continue
            }
            // Looked at once more, ahead of its turn: it may have left, and what tells so may wait behind much else where
            // the core is used up. What nobody waits for is not sent on.
            ClientCommand::AttemptConnected(peer) if waiting.peer == Some(peer) => {
                let flow = self.read(context);
                if flow == Lifecycle::Continue && matches!(self.state, State::Waiting(_)) {
                    context.send(peer, AttemptCommand::SendFirstLine);
                }
                flow
            }
            // Of an earlier attempt.
            ClientCommand::AttemptConnected(_) => Lifecycle::Continue,
            ClientCommand::Reject(retry_after) => {
                if let Some(peer) = waiting.peer {
                    context.send(peer, AttemptCommand::Close);
                }
                self.answer(context, &busy(retry_after))
            }
            ClientCommand::Fail => {
                if let Some(peer) = waiting.peer {
                    context.send(peer, AttemptCommand::Close);
                }
                self.answer(context, b"ERR\r\n")
            }
            ClientCommand::AnswerBeforeExit => self.on_exit(context),
            ClientCommand::AttemptAccepted(accepted) => self.up(context, accepted),
            ClientCommand::AttemptServed(line) => {
                if waiting.open.holder.is_none() {
                    context.placement.on_attempt_ended(
                        RequestId(waiting.open.request),
                        lupincrank_placement::Outcome::Served,
                        ClientState::Answered,
                    );
                }
                self.answer(context, &line)
            }
            ClientCommand::RestoreFailed => {
                waiting.peer = None;
                context.deadlines.set(
                    self.id,
                    ClientDeadline::RestoreRetry.into(),
                    Instant::now() + OLD_PAUSE,
                );
                Lifecycle::Continue
            }
            // Only connections without a request are closed for another one.
            ClientCommand::Close => Lifecycle::Continue,
        }
    }

    /// The process exits. The decisions answer their own requests but know nothing of a connection from before this
    /// node's life. Where its line may have gone out it may stand by now, so that it is not said to have been refused.
    fn on_exit(&mut self, context: &mut NodeContext) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        if waiting.open.holder.is_none() {
            return Lifecycle::Continue;
        }
        match waiting.peer {
            Some(peer) => {
                context.send(peer, AttemptCommand::Close);
                self.answer(context, b"ERR\r\n")
            }
            None => self.answer(context, &busy(Duration::ZERO)),
        }
    }
}

impl Connection<NodeState> for Client {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.frozen {
            return Lifecycle::Continue;
        }
        if readiness.writable
            && matches!(self.state, State::Closing(_))
            && self.flush() == Lifecycle::Close
        {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        match self.state {
            _ if self.frozen => Lifecycle::Continue,
            State::First => self.last_look(context),
            // Whether anybody still waits is seen before the next try.
            State::Waiting(_) if kind == ClientDeadline::RestoreRetry.into() => {
                match self.read(context) {
                    Lifecycle::Continue => self.resume(context),
                    Lifecycle::Close => Lifecycle::Close,
                }
            }
            _ => Lifecycle::Close,
        }
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::Client(command) => self.on_command(context, command),
            Message::Transfer(command) => self.on_transfer(context, command),
            _ => Lifecycle::Continue,
        }
    }
}
