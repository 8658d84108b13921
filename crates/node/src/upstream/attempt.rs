//! One try: a connection to a transcriber from its making to the first line that comes back.

use crate::command::{AcceptedAttempt, AttemptCommand, ClientCommand, Message};
use crate::deadline::{AttemptDeadline, DeadlineKind};
use crate::placement_driver::ClientState;
use crate::state::{NodeContext, NodeState};
use lupincrank_placement::{Outcome, RequestId};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{unacknowledged, ComponentId, Connection, Lifecycle};
use slog::debug;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest line of the protocol, its end included.
pub const LONGEST_LINE: usize = 4 << 10;
/// What one turn reads of a transcriber. Guards against an answer that never ends and keeps the others waiting.
const TURN: usize = 16 << 10;

/// What is tried.
pub struct Try {
    /// The client's object.
    pub owner: ComponentId,
    /// For which request.
    pub request: RequestId,
    /// Where the transcriber listens.
    pub dial: SocketAddr,
    /// The first line.
    pub line: Vec<u8>,
    /// When to stop waiting.
    pub until: Instant,
    /// The connection stood before this node began: its end is the owner's matter, not a placement's.
    pub stood: bool,
}

/// What a transcriber's line says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// `UP RECEIPT`.
    Up,
    /// `BYE`.
    Bye,
    /// `MOVE`.
    Move,
    /// `ERR`.
    Err,
    /// `BUSY`.
    Busy,
    /// `SYNTAX`: it could not read what it was sent.
    Syntax,
    /// `LOAD X`: the load in microseconds of work a second.
    Load(f64),
    /// Anything else.
    Other,
}

/// Reads one line of a transcriber. What is spoilt says nothing: an `UP` whose receipt was lost or is no text is no service, and
/// what follows `BUSY` has to be a time, or it may not prove that nothing has run.
pub fn said(line: &[u8]) -> Said {
    let line = line.trim_ascii_end();
    let cut = line
        .iter()
        .position(|byte| *byte == b' ')
        .unwrap_or(line.len());
    let (word, rest) = (&line[..cut], line[cut..].trim_ascii());
    match word {
        b"UP" if !rest.is_empty() && rest.iter().all(|byte| matches!(byte, b' '..=b'~')) => {
            Said::Up
        }
        b"BYE" => Said::Bye,
        b"MOVE" => Said::Move,
        b"ERR" => Said::Err,
        b"BUSY" if rest.iter().all(u8::is_ascii_digit) => Said::Busy,
        b"SYNTAX" => Said::Syntax,
        b"LOAD" => {
            let load = std::str::from_utf8(rest)
                .ok()
                .and_then(|text| text.parse::<f64>().ok());
            load.filter(|load| (0.0..1e12).contains(load))
                .map_or(Said::Other, Said::Load)
        }
        _ => Said::Other,
    }
}

/// The connection of one try.
pub struct Peer {
    id: ComponentId,
    task: Try,
    stream: Option<Registered<TcpStream>>,
    connected: bool,
    /// The owner was asked whether the client still waits, and has said that it does.
    asked: bool,
    may_send: bool,
    sent: usize,
    bytes: Vec<u8>,
}

impl Peer {
    /// Begins a try; how it ends is told to the core, also when it cannot even begin.
    pub fn open(context: &mut NodeContext, id: ComponentId, task: Try) {
        let (stream, bytes) = (None, Vec::new());
        let mut peer = Peer {
            id,
            task,
            stream,
            connected: false,
            asked: false,
            may_send: false,
            sent: 0,
            bytes,
        };
        let now = Instant::now();
        match poll::connect(&context.poller, peer.task.dial, poller_key(id, 0)) {
            Ok(stream) => {
                peer.stream = Some(stream);
                context.deadlines.set(
                    id,
                    AttemptDeadline::Connect.into(),
                    peer.task.until.min(now + context.config.connect_timeout),
                );
                context
                    .deadlines
                    .set(id, AttemptDeadline::Answer.into(), peer.task.until);
                context.register(id, Box::new(peer));
            }
            Err(error) => {
                debug!(context.log, "cannot connect"; "dial" => %peer.task.dial, "error" => %error);
                // What this machine lacks says nothing of the transcriber.
                let lacks = error
                    .raw_os_error()
                    .is_some_and(|code| poll::RESOURCE_EXHAUSTED_ERRNOS.contains(&code));
                peer.end(
                    context,
                    if lacks {
                        Outcome::NotSent
                    } else {
                        Outcome::ConnectFailed
                    },
                );
            }
        }
    }

    /// Closes the connection, then says how the try ended: the next one must not start before.
    fn end(&mut self, context: &mut NodeContext, outcome: Outcome) -> Lifecycle {
        debug!(context.log, "try ended"; "request" => format!("{:016x}", self.task.request.0),
            "dial" => %self.task.dial, "outcome" => ?outcome);
        self.close();
        if self.task.stood {
            context.send(self.task.owner, ClientCommand::RestoreFailed);
        } else {
            context
                .placement
                .on_attempt_ended(self.task.request, outcome, ClientState::Waiting);
        }
        Lifecycle::Close
    }

    /// From here on nothing of this try may wait in the kernel to be sent once a network that is cut heals: if the connection
    /// ends, be it with this process, what it holds is dropped, and the transcriber sees a reset.
    fn arm(stream: &TcpStream) -> io::Result<()> {
        SockRef::from(stream).set_linger(Some(Duration::ZERO))
    }

    /// All that was sent has arrived: the connection ends in good order.
    fn disarm(stream: &TcpStream) {
        let _ = SockRef::from(stream).set_linger(None);
    }

    /// Closes the connection, with a reset if bytes of it may not have arrived.
    fn close(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.sent > 0 && matches!(unacknowledged::unacknowledged_bytes(&stream), Ok(0)) {
            Peer::disarm(&stream);
        }
    }

    /// How a break counts now: whether it may have run hinges on the last byte of the first line.
    fn broken(&self) -> Outcome {
        match (self.connected, self.sent < self.task.line.len()) {
            (false, _) => Outcome::ConnectFailed,
            (true, true) => Outcome::ClosedBeforeSend,
            (true, false) => Outcome::Reset,
        }
    }

    fn write(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Ok(());
        };
        if !self.connected {
            if let Some(error) = stream.take_error()? {
                return Err(error);
            }
            self.connected = true;
            context
                .deadlines
                .clear(self.id, AttemptDeadline::Connect.into());
        }
        if !self.may_send {
            // It may have taken long: whether anybody still waits for it is seen first. The owner looks before the next
            // event; nothing is waited for meanwhile. Guards against a loop that spins on a writable socket.
            if !std::mem::replace(&mut self.asked, true) {
                context.send(self.task.owner, ClientCommand::AttemptConnected(self.id));
            }
            return stream.set_interest(Interest::READ);
        }
        if self.sent == 0 {
            Peer::arm(stream)?;
        }
        while self.sent < self.task.line.len() {
            match stream.write(&self.task.line[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // Before the rest goes out it is asked again.
                    (self.asked, self.may_send) = (false, false);
                    return stream.set_interest(Interest::READ_WRITE);
                }
                Err(error) => return Err(error),
            }
        }
        stream.set_interest(Interest::READ)
    }

    fn read(&mut self, context: &mut NodeContext) -> Option<Lifecycle> {
        let mut scratch = [0; 4 << 10];
        let mut taken = 0;
        while taken < TURN {
            let read = self.stream.as_mut()?.read(&mut scratch);
            match read {
                Ok(0) => return Some(self.end(context, self.broken())),
                Ok(read) => {
                    taken += read;
                    self.bytes.extend_from_slice(&scratch[..read]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Some(self.end(context, self.broken())),
            }
            while let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let whole = self.bytes[..end].ends_with(b"\r") && end < LONGEST_LINE;
                let says = said(&self.bytes[..end]);
                if !matches!(says, Said::Load(_)) {
                    // It answers, so it has the line.
                    Peer::disarm(self.stream.as_ref()?);
                }
                match says {
                    _ if !whole => return Some(self.end(context, Outcome::Error)),
                    Said::Up => {
                        let stream = self.stream.take()?;
                        let bytes = std::mem::take(&mut self.bytes);
                        context.send(
                            self.task.owner,
                            ClientCommand::AttemptAccepted(AcceptedAttempt {
                                request: self.task.request,
                                stream,
                                bytes,
                            }),
                        );
                        return Some(Lifecycle::Close);
                    }
                    Said::Bye => {
                        let line = self.bytes[..=end].to_vec();
                        self.stream = None;
                        context.send(self.task.owner, ClientCommand::AttemptServed(line));
                        return Some(Lifecycle::Close);
                    }
                    // A load told before the answer is of no use to anyone yet.
                    Said::Load(_) => drop(self.bytes.drain(..=end)),
                    Said::Busy => return Some(self.end(context, Outcome::Rejected)),
                    Said::Syntax if !self.task.stood => {
                        self.stream = None;
                        context.placement.on_unreadable_request(self.task.request);
                        return Some(Lifecycle::Close);
                    }
                    Said::Move => return Some(self.end(context, Outcome::Cancelled)),
                    Said::Err | Said::Syntax | Said::Other => {
                        return Some(self.end(context, Outcome::Error))
                    }
                }
            }
            if self.bytes.len() > LONGEST_LINE {
                return Some(self.end(context, Outcome::Error));
            }
        }
        None
    }

    /// The client waits: the first line goes out, unless its transcriber has begun to leave while the connection came up.
    /// Guards against something new to it past the grace, where connections may take longer than that. What stood there
    /// before is nothing new.
    fn send(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.may_send = true;
        if self.sent == 0 && !self.task.stood && !context.placement.may_send(self.task.request) {
            return self.end(context, Outcome::ClosedBeforeSend);
        }
        self.progress(context)
    }

    fn progress(&mut self, context: &mut NodeContext) -> Lifecycle {
        match self.write(context) {
            Ok(()) => Lifecycle::Continue,
            Err(error) => {
                debug!(context.log, "cannot send"; "dial" => %self.task.dial, "error" => %error);
                self.end(context, self.broken())
            }
        }
    }
}

impl Connection<NodeState> for Peer {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.sent < self.task.line.len() && self.progress(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context).unwrap_or(Lifecycle::Continue)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        // Its answer may have come while this process was kept from reading it.
        if self.connected {
            if let Some(flow) = self.read(context) {
                return flow;
            }
        }
        let written = self.sent == self.task.line.len();
        self.end(
            context,
            if written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            },
        )
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Attempt(command) = message else {
            return Lifecycle::Continue;
        };
        match command {
            AttemptCommand::SendFirstLine => self.send(context),
            AttemptCommand::Close => {
                self.close();
                Lifecycle::Close
            }
        }
    }
}

#[cfg(test)]
mod tests;
