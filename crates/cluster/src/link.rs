//! One link: a stream between two nodes that carries whole messages, bounded in size, number and what waits.

use crate::VERSION;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::Interest;
use polling::Poller;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest message, and what may wait to be written.
pub const LONGEST: usize = 256 << 10;
const MOST_WAITING: usize = 1 << 20;
/// Read in one turn of the loop: what is left is read in the next.
const TURN: usize = 64 << 10;
/// Messages in a second at the most; a peer that sends more is out of order.
const MOST_A_SECOND: u32 = 4_000;
/// A length and the form go before each message.
const HEAD: usize = 5;
/// A link says something at least this often; one that brings nothing for as long as `SILENCE` is dead.
pub const PING: Duration = Duration::from_millis(700);
/// See `PING`.
pub const SILENCE: Duration = Duration::from_millis(2500);

/// The first message of each side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See `crate::tag`.
    pub fleet: u32,
    /// Who speaks: its name and its life.
    pub name: String,
    /// See `name`.
    pub id: u64,
    /// When that began, by its own clock; compared among lives of one name only.
    pub born_ms: u64,
    /// The build, to be named where it does not fit.
    pub build: String,
}

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Each side's first.
    Hello(Hello),
    /// Nothing but that it lives.
    Ping,
    /// Another life of the receiver's name began later: it has no place in the fleet any more.
    Replaced,
    /// Of a subject that knows how to read it.
    Of(Subject, Vec<u8>),
}

/// Whose message it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The council's.
    Council,
}

/// Why a link ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The network, or the other side's end: nobody has done anything wrong.
    Broke(String),
    /// What came is not in order.
    Strange(String),
}

/// Takes whole messages out of what was read; an error ends the link.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
}

impl Inbox {
    /// More has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn message(&mut self) -> Result<Option<Message>, String> {
        let Some(head) = self.bytes.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if head[4] != VERSION {
            return Err(format!(
                "it speaks form {}, this node speaks form {VERSION}",
                head[4]
            ));
        }
        if length > LONGEST {
            return Err(format!(
                "a message of {length} bytes, {LONGEST} are the most"
            ));
        }
        if self.bytes.len() < HEAD + length {
            return Ok(None);
        }
        let message = postcard::from_bytes(&self.bytes[HEAD..HEAD + length]);
        self.bytes.drain(..HEAD + length);
        message
            .map(Some)
            .map_err(|error| format!("a message can't be read: {error}"))
    }
}

/// A message as it is written.
pub fn frame(message: &Message) -> Result<Vec<u8>, String> {
    let body = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
    if body.len() > LONGEST {
        return Err(format!(
            "a message of {} bytes, {LONGEST} are the most",
            body.len()
        ));
    }
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.push(VERSION);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// One end of a link.
pub struct Link {
    stream: Registered<TcpStream>,
    connected: bool,
    inbox: Inbox,
    waiting: Vec<u8>,
    sent: usize,
    /// When something last came, and went out.
    heard: Instant,
    spoke: Instant,
    second: (Instant, u32),
    /// The other side, once it has said so.
    pub peer: Option<Hello>,
    /// This side dialled.
    pub dialled: bool,
}

impl Link {
    /// Dials.
    pub fn dial(poller: &Rc<Poller>, at: SocketAddr, key: usize) -> io::Result<Link> {
        Ok(Link::over(poll::connect(poller, at, key)?, true))
    }

    /// Takes one that came.
    pub fn accepted(poller: &Rc<Poller>, stream: TcpStream, key: usize) -> io::Result<Link> {
        stream.set_nonblocking(true)?;
        let _ = stream.set_nodelay(true);
        Ok(Link::over(
            Registered::new(poller, stream, key, Interest::READ)?,
            false,
        ))
    }

    fn over(stream: Registered<TcpStream>, dialled: bool) -> Link {
        let now = Instant::now();
        Link {
            stream,
            connected: !dialled,
            inbox: Inbox::default(),
            waiting: Vec::new(),
            sent: 0,
            heard: now,
            spoke: now,
            second: (now, 0),
            peer: None,
            dialled,
        }
    }

    /// Says something, as soon as the socket takes it.
    pub fn say(&mut self, message: &Message) -> Result<(), String> {
        let bytes = frame(message)?;
        if self.waiting.len() - self.sent + bytes.len() > MOST_WAITING {
            return Err("too much waits to be written".into());
        }
        self.waiting.extend_from_slice(&bytes);
        self.spoke = Instant::now();
        if self.connected {
            self.flush().map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        while self.sent < self.waiting.len() {
            match self.stream.write(&self.waiting[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.stream.set_interest(Interest::READ_WRITE)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.waiting.clear();
        self.sent = 0;
        self.stream.set_interest(Interest::READ)
    }

    /// The socket is ready: the messages that are whole now, or why the link ends.
    pub fn ready(&mut self, readable: bool) -> Result<Vec<Message>, Fault> {
        let named = |error: io::Error| Fault::Broke(error.to_string());
        if !self.connected {
            if let Some(error) = self.stream.take_error().map_err(named)? {
                return Err(named(error));
            }
            self.connected = true;
            self.heard = Instant::now();
        }
        self.flush().map_err(named)?;
        let mut messages = Vec::new();
        let (mut scratch, mut taken) = ([0; 16 << 10], 0);
        while readable && taken < TURN {
            match self.stream.read(&mut scratch) {
                Ok(0) => return Err(Fault::Broke("it was ended".into())),
                Ok(read) => {
                    taken += read;
                    self.inbox.push(&scratch[..read]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(named(error)),
            }
        }
        if taken > 0 {
            self.heard = Instant::now();
        }
        while let Some(message) = self.inbox.message().map_err(Fault::Strange)? {
            if self.second.0.elapsed() >= Duration::from_secs(1) {
                self.second = (Instant::now(), 0);
            }
            self.second.1 += 1;
            if self.second.1 > MOST_A_SECOND {
                return Err(Fault::Strange(format!(
                    "over {MOST_A_SECOND} messages in a second"
                )));
            }
            messages.push(message);
        }
        Ok(messages)
    }

    /// Keeps the link alive; an error says that it is dead.
    pub fn keep(&mut self) -> Result<(), String> {
        if self.heard.elapsed() >= SILENCE {
            return Err("it is silent".into());
        }
        if self.connected && self.spoke.elapsed() >= PING {
            self.say(&Message::Ping)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
