//! One direction of a relayed stream: buffers bytes of the source, and writes them to the target when they are due.

use lupincrank_reactor::poll::Registered;
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// An end of a relayed stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The party that dialed.
    Dialer,
    /// The party that was dialed.
    Target,
}

impl Side {
    /// Both sides.
    pub const BOTH: [Side; 2] = [Side::Dialer, Side::Target];

    /// The opposite side.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Dialer => Side::Target,
            Side::Target => Side::Dialer,
        }
    }

    /// The side whose stream has this index among the component's sockets.
    pub fn of_socket(socket: usize) -> Side {
        if socket == Side::Dialer.socket() {
            Side::Dialer
        } else {
            Side::Target
        }
    }

    /// The index of this side's stream among the component's sockets.
    pub fn socket(self) -> usize {
        match self {
            Side::Dialer => 0,
            Side::Target => 1,
        }
    }
}

/// Bytes that are written to the target at their due time.
struct Chunk {
    due_at: Instant,
    bytes: Vec<u8>,
}

/// Buffers one direction of a stream, and preserves the order of the bytes.
pub struct StreamRelay {
    chunks: VecDeque<Chunk>,
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    last_due_at: Option<Instant>,
    is_source_ended: bool,
    is_target_shut_down: bool,
}

impl StreamRelay {
    /// Creates a relay that reads while it buffers less than `max_buffered_bytes`.
    pub fn new(max_buffered_bytes: usize) -> StreamRelay {
        StreamRelay {
            chunks: VecDeque::new(),
            buffered_bytes: 0,
            max_buffered_bytes,
            last_due_at: None,
            is_source_ended: false,
            is_target_shut_down: false,
        }
    }

    /// Returns true if the source is open and the buffer has room.
    pub fn accepts_input(&self) -> bool {
        !self.is_source_ended && self.buffered_bytes < self.max_buffered_bytes
    }

    /// Returns true if bytes are due at `now`.
    pub fn has_due(&self, now: Instant) -> bool {
        self.chunks.front().is_some_and(|chunk| chunk.due_at <= now)
    }

    /// Returns true if the source has closed its direction of the stream.
    pub fn is_source_ended(&self) -> bool {
        self.is_source_ended
    }

    /// Returns true if the close of the source has been passed on to the target.
    pub fn is_target_shut_down(&self) -> bool {
        self.is_target_shut_down
    }

    /// The due time of the most recently pushed bytes.
    pub fn last_due_at(&self) -> Option<Instant> {
        self.last_due_at
    }

    /// Reads the next bytes of the source into `buffer`, and returns their number; `None` if none are available or the
    /// source has closed.
    ///
    /// # Errors
    ///
    /// If reading from the source fails.
    pub fn read_chunk(
        &mut self,
        source: &mut Registered<TcpStream>,
        buffer: &mut [u8],
    ) -> io::Result<Option<usize>> {
        loop {
            match source.read(buffer) {
                Ok(0) => {
                    self.is_source_ended = true;
                    return Ok(None);
                }
                Ok(length) => return Ok(Some(length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Buffers bytes until `due_at`, or until the bytes before them are due, whichever is later.
    pub fn push(&mut self, bytes: &[u8], due_at: Instant) {
        let due_at = self.last_due_at.map_or(due_at, |last| due_at.max(last));
        self.last_due_at = Some(due_at);
        self.buffered_bytes += bytes.len();
        self.chunks.push_back(Chunk {
            due_at,
            bytes: bytes.to_vec(),
        });
    }

    /// Writes the bytes that are due, and shuts the target down after the last byte of a closed source. Returns the due
    /// time of the next bytes if they are not due yet.
    ///
    /// # Errors
    ///
    /// If writing to the target or shutting it down fails.
    pub fn write_due(
        &mut self,
        target: &mut Registered<TcpStream>,
        now: Instant,
    ) -> io::Result<Option<Instant>> {
        while let Some(chunk) = self.chunks.front_mut() {
            if chunk.due_at > now {
                return Ok(Some(chunk.due_at));
            }
            match target.write(&chunk.bytes) {
                Ok(length) => {
                    self.buffered_bytes -= length;
                    chunk.bytes.drain(..length);
                    if chunk.bytes.is_empty() {
                        self.chunks.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.is_source_ended && !self.is_target_shut_down {
            self.is_target_shut_down = true;
            target.shutdown(Shutdown::Write)?;
        }
        Ok(None)
    }
}
