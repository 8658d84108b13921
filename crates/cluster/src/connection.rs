//! One link: a stream between two nodes that carries whole messages, bounded in size, number and what waits.

use crate::PROTOCOL_VERSION;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::Interest;
use polling::Poller;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest message, and what may wait to be written.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
const MAX_PENDING_BYTES: usize = 1 << 20;
/// Read in one turn of the loop: what is left is read in the next.
const MAX_READ_PER_TURN_BYTES: usize = 64 << 10;
/// Messages in a second at the most; a peer that sends more is out of order.
const MAX_MESSAGES_PER_SECOND: u32 = 4_000;
/// A length and the form go before each message.
const HEADER_BYTES: usize = 5;
/// A link says something at least this often; one that brings nothing for as long as `SILENCE` is dead.
pub const PING_INTERVAL: Duration = Duration::from_millis(700);
/// See `PING`.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The first message of each side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// See `crate::tag`.
    pub cluster_tag: u32,
    /// Who speaks: its name and its life.
    pub name: String,
    /// See `name`.
    pub incarnation: u64,
    /// When that began, by its own clock; compared among lives of one name only.
    pub started_at_ms: u64,
    /// The build, to be named where it does not fit.
    pub build: String,
}

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Each side's first.
    Handshake(Handshake),
    /// Nothing but that it lives.
    Ping,
    /// Another life of the receiver's name began later: it has no place in the fleet any more.
    Replaced,
    /// Of a subject that knows how to read it.
    Payload(Subject, Vec<u8>),
}

/// Whose message it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The council's.
    Control,
}

/// Why a link ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// The network, or the other side's end: nobody has done anything wrong.
    Closed(String),
    /// What came is not in order.
    Protocol(String),
}

/// Takes whole messages out of what was read; an error ends the link.
#[derive(Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
}

impl FrameDecoder {
    /// More has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn next_message(&mut self) -> Result<Option<Message>, String> {
        let Some(head) = self.bytes.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if head[4] != PROTOCOL_VERSION {
            return Err(format!(
                "it speaks form {}, this node speaks form {PROTOCOL_VERSION}",
                head[4]
            ));
        }
        if length > MAX_MESSAGE_BYTES {
            return Err(format!(
                "a message of {length} bytes, {MAX_MESSAGE_BYTES} are the most"
            ));
        }
        if self.bytes.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let message = postcard::from_bytes(&self.bytes[HEADER_BYTES..HEADER_BYTES + length]);
        self.bytes.drain(..HEADER_BYTES + length);
        message
            .map(Some)
            .map_err(|error| format!("a message can't be read: {error}"))
    }
}

/// A message as it is written.
pub fn encode_frame(message: &Message) -> Result<Vec<u8>, String> {
    let body = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(format!(
            "a message of {} bytes, {MAX_MESSAGE_BYTES} are the most",
            body.len()
        ));
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// One end of a link.
pub struct ClusterConnection {
    stream: Registered<TcpStream>,
    connected: bool,
    decoder: FrameDecoder,
    pending: Vec<u8>,
    written: usize,
    /// When something last came, and went out.
    last_received: Instant,
    last_sent: Instant,
    message_rate: (Instant, u32),
    /// The other side, once it has said so.
    pub peer: Option<Handshake>,
    /// This side dialled.
    pub is_initiator: bool,
}

impl ClusterConnection {
    /// Dials.
    pub fn connect(
        poller: &Rc<Poller>,
        at: SocketAddr,
        key: usize,
    ) -> io::Result<ClusterConnection> {
        Ok(ClusterConnection::new(
            poll::connect(poller, at, key)?,
            true,
        ))
    }

    /// Takes one that came.
    pub fn accept(
        poller: &Rc<Poller>,
        stream: TcpStream,
        key: usize,
    ) -> io::Result<ClusterConnection> {
        stream.set_nonblocking(true)?;
        let _ = stream.set_nodelay(true);
        Ok(ClusterConnection::new(
            Registered::new(poller, stream, key, Interest::READ)?,
            false,
        ))
    }

    fn new(stream: Registered<TcpStream>, dialled: bool) -> ClusterConnection {
        let now = Instant::now();
        ClusterConnection {
            stream,
            connected: !dialled,
            decoder: FrameDecoder::default(),
            pending: Vec::new(),
            written: 0,
            last_received: now,
            last_sent: now,
            message_rate: (now, 0),
            peer: None,
            is_initiator: dialled,
        }
    }

    /// Says something, as soon as the socket takes it.
    pub fn send(&mut self, message: &Message) -> Result<(), String> {
        let bytes = encode_frame(message)?;
        if self.pending.len() - self.written + bytes.len() > MAX_PENDING_BYTES {
            return Err("too much waits to be written".into());
        }
        self.pending.extend_from_slice(&bytes);
        self.last_sent = Instant::now();
        if self.connected {
            self.flush().map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        while self.written < self.pending.len() {
            match self.stream.write(&self.pending[self.written..]) {
                Ok(sent) => self.written += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.stream.set_interest(Interest::READ_WRITE)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.pending.clear();
        self.written = 0;
        self.stream.set_interest(Interest::READ)
    }

    /// The socket is ready: the messages that are whole now, or why the link ends.
    pub fn on_ready(&mut self, readable: bool) -> Result<Vec<Message>, ConnectionError> {
        let named = |error: io::Error| ConnectionError::Closed(error.to_string());
        if !self.connected {
            if let Some(error) = self.stream.take_error().map_err(named)? {
                return Err(named(error));
            }
            self.connected = true;
            self.last_received = Instant::now();
        }
        self.flush().map_err(named)?;
        let mut messages = Vec::new();
        let (mut scratch, mut taken) = ([0; 16 << 10], 0);
        while readable && taken < MAX_READ_PER_TURN_BYTES {
            match self.stream.read(&mut scratch) {
                Ok(0) => return Err(ConnectionError::Closed("it was ended".into())),
                Ok(read) => {
                    taken += read;
                    self.decoder.push(&scratch[..read]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(named(error)),
            }
        }
        if taken > 0 {
            self.last_received = Instant::now();
        }
        while let Some(message) = self
            .decoder
            .next_message()
            .map_err(ConnectionError::Protocol)?
        {
            if self.message_rate.0.elapsed() >= Duration::from_secs(1) {
                self.message_rate = (Instant::now(), 0);
            }
            self.message_rate.1 += 1;
            if self.message_rate.1 > MAX_MESSAGES_PER_SECOND {
                return Err(ConnectionError::Protocol(format!(
                    "over {MAX_MESSAGES_PER_SECOND} messages in a second"
                )));
            }
            messages.push(message);
        }
        Ok(messages)
    }

    /// Keeps the link alive; an error says that it is dead.
    pub fn keep_alive(&mut self) -> Result<(), String> {
        if self.last_received.elapsed() >= IDLE_TIMEOUT {
            return Err("it is silent".into());
        }
        if self.connected && self.last_sent.elapsed() >= PING_INTERVAL {
            self.send(&Message::Ping)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
