//! A TCP connection between two nodes that transfers framed messages. Message size, message rate and the send buffer
//! are bounded.

use crate::frame::{encode_frame, FrameDecoder, FrameError};
use crate::message::{Handshake, Message};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::Interest;
use polling::Poller;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A connection on which nothing was sent for this long sends a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A connection on which nothing was received for this long has failed.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The limit of the send buffer.
const MAX_PENDING_BYTES: usize = 1 << 20;
/// The number of bytes read in one turn of the event loop. The next turn reads the rest.
const MAX_READ_PER_TURN_BYTES: usize = 64 << 10;
/// The size of a single read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// A peer that sends more messages than this violates the protocol.
const MAX_MESSAGES_PER_SECOND: u32 = 4_000;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Why a connection must be closed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The connection broke or was closed, without a protocol violation.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// The peer violated the protocol, or a message could not be encoded.
    #[error(transparent)]
    Protocol(#[from] ProtocolViolation),
}

/// The reason why a connection ended without a protocol violation.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The network failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    EndOfStream,
    /// Nothing was received for [`IDLE_TIMEOUT`].
    #[error("idle timeout")]
    IdleTimeout,
    /// The peer reads too slowly, so the send buffer is full.
    #[error("send buffer full")]
    SendBufferFull,
}

/// A violation of the protocol by a message or by the message rate.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// A frame can't be read or written.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer sent too many messages within one second.
    #[error("more than {MAX_MESSAGES_PER_SECOND} messages within one second")]
    RateExceeded,
}

impl From<FrameError> for ConnectionError {
    fn from(error: FrameError) -> ConnectionError {
        ConnectionError::Protocol(error.into())
    }
}

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> ConnectionError {
        ConnectionError::Closed(error.into())
    }
}

/// The side of a connection: the node that opened or the node that accepted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Initiator,
    Acceptor,
}

/// Counts the messages received in each window of [`RATE_WINDOW`].
struct MessageRate {
    window_start: Instant,
    message_count: u32,
}

impl MessageRate {
    fn record(&mut self) -> Result<(), ProtocolViolation> {
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.message_count = 0;
        }
        self.message_count += 1;
        if self.message_count > MAX_MESSAGES_PER_SECOND {
            return Err(ProtocolViolation::RateExceeded);
        }
        Ok(())
    }
}

/// One end of a connection between two nodes.
pub struct ClusterConnection {
    stream: Registered<TcpStream>,
    side: Side,
    is_connected: bool,
    decoder: FrameDecoder,
    /// Encoded frames that the socket has not accepted completely.
    pending: Vec<u8>,
    /// The number of bytes of `pending` that the socket has accepted.
    written: usize,
    last_received: Instant,
    last_sent: Instant,
    message_rate: MessageRate,
    peer: Option<Handshake>,
}

impl ClusterConnection {
    /// Starts to connect to a node.
    ///
    /// # Errors
    /// If the connect fails immediately.
    pub fn connect(
        poller: &Rc<Poller>,
        address: SocketAddr,
        key: usize,
    ) -> io::Result<ClusterConnection> {
        let stream = poll::connect(poller, address, key)?;
        Ok(ClusterConnection::new(stream, Side::Initiator))
    }

    /// Creates a connection from a stream that a listener accepted.
    ///
    /// # Errors
    /// If the stream can't be made non-blocking or registered.
    pub fn accept(
        poller: &Rc<Poller>,
        stream: TcpStream,
        key: usize,
    ) -> io::Result<ClusterConnection> {
        stream.set_nonblocking(true)?;
        // Without it, only latency increases.
        let _ = stream.set_nodelay(true);
        let stream = Registered::new(poller, stream, key, Interest::READ)?;
        Ok(ClusterConnection::new(stream, Side::Acceptor))
    }

    fn new(stream: Registered<TcpStream>, side: Side) -> ClusterConnection {
        let now = Instant::now();
        ClusterConnection {
            stream,
            side,
            is_connected: side == Side::Acceptor,
            decoder: FrameDecoder::default(),
            pending: Vec::new(),
            written: 0,
            last_received: now,
            last_sent: now,
            message_rate: MessageRate {
                window_start: now,
                message_count: 0,
            },
            peer: None,
        }
    }

    /// The peer's handshake, once [`ClusterConnection::set_peer`] has recorded it.
    pub fn peer(&self) -> Option<&Handshake> {
        self.peer.as_ref()
    }

    /// Records the handshake that the peer sent.
    pub fn set_peer(&mut self, handshake: Handshake) {
        self.peer = Some(handshake);
    }

    /// Returns true if this side opened the connection.
    pub fn is_initiator(&self) -> bool {
        self.side == Side::Initiator
    }

    /// Queues a message and writes as much as the socket accepts.
    ///
    /// # Errors
    /// If the message is too long, the send buffer is full, or the network failed.
    pub fn send(&mut self, message: &Message) -> Result<(), ConnectionError> {
        let frame = encode_frame(message)?;
        let waiting = self.pending.len() - self.written;
        if waiting + frame.len() > MAX_PENDING_BYTES {
            return Err(CloseReason::SendBufferFull.into());
        }
        self.pending.extend_from_slice(&frame);
        self.last_sent = Instant::now();
        if self.is_connected {
            self.flush()?;
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
                Err(error) => return Err(error),
            }
        }
        self.pending.clear();
        self.written = 0;
        self.stream.set_interest(Interest::READ)
    }

    /// Handles readiness of the socket and returns the messages that have arrived completely.
    ///
    /// # Errors
    /// If the connection must be closed. Messages that arrived earlier in the same turn are dropped.
    pub fn on_ready(&mut self, is_readable: bool) -> Result<Vec<Message>, ConnectionError> {
        if !self.is_connected {
            self.finish_connect()?;
        }
        self.flush()?;
        if is_readable {
            self.read_available()?;
        }
        self.decode_messages()
    }

    fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        self.is_connected = true;
        self.last_received = Instant::now();
        Ok(())
    }

    fn read_available(&mut self) -> Result<(), CloseReason> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut received = 0;
        while received < MAX_READ_PER_TURN_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(CloseReason::EndOfStream),
                Ok(length) => {
                    received += length;
                    self.decoder.push(&chunk[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error.into()),
            }
        }
        if received > 0 {
            self.last_received = Instant::now();
        }
        Ok(())
    }

    fn decode_messages(&mut self) -> Result<Vec<Message>, ConnectionError> {
        let mut messages = Vec::new();
        while let Some(message) = self.decoder.next_message()? {
            self.message_rate.record()?;
            messages.push(message);
        }
        Ok(messages)
    }

    /// Sends a ping if nothing was sent for [`PING_INTERVAL`]. Must be called more often than that.
    ///
    /// # Errors
    /// If nothing was received for [`IDLE_TIMEOUT`], or the ping can't be sent.
    pub fn keep_alive(&mut self) -> Result<(), ConnectionError> {
        if self.last_received.elapsed() >= IDLE_TIMEOUT {
            return Err(CloseReason::IdleTimeout.into());
        }
        if self.is_connected && self.last_sent.elapsed() >= PING_INTERVAL {
            self.send(&Message::Ping)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
