//! The bytes of one direction of a relayed connection.

use lupincrank_reactor::poll::Registered;
use std::io;
use std::net::{Shutdown, TcpStream};

/// Bytes that were read from one side and are not written to the other yet, and the end of stream after them.
pub(super) struct ByteBuffer {
    bytes: Vec<u8>,
    /// The buffer allocates no more than this, unless it has to hold more.
    max_allocated_bytes: usize,
    /// The number of `bytes` already written.
    written: usize,
    /// The reading side has ended; once all bytes are written, the writing side is shut down.
    has_ended: bool,
    is_shut_down: bool,
}

impl ByteBuffer {
    /// Creates an empty buffer, to which no more than `max_bytes` are added as a rule.
    pub(super) fn new(max_bytes: usize) -> ByteBuffer {
        ByteBuffer {
            bytes: Vec::new(),
            max_allocated_bytes: max_bytes,
            written: 0,
            has_ended: false,
            is_shut_down: false,
        }
    }

    /// The size of the allocation.
    #[cfg(test)]
    pub(super) fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// The bytes that are still to be written.
    pub(super) fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Returns true if the reading side has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns true if all bytes are written and the writing side was shut down.
    pub(super) fn is_shut_down(&self) -> bool {
        self.is_shut_down
    }

    /// Appends bytes of the reading side.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let doubled = 2 * self.bytes.capacity();
            let allocated = doubled.min(self.max_allocated_bytes).max(needed);
            self.bytes.reserve_exact(allocated - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Marks the end of the reading side.
    pub(super) fn end(&mut self) {
        self.has_ended = true;
    }

    /// Drops the bytes that are still to be written.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.written = 0;
    }

    /// Writes as much as the stream accepts; shuts its writing side down after the last byte.
    ///
    /// # Errors
    /// If writing or shutting down fails, that is, if the connection broke.
    pub(super) fn write_to(&mut self, stream: &Registered<TcpStream>) -> io::Result<()> {
        while self.written < self.bytes.len() {
            match stream.write(&self.bytes[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.bytes.drain(..self.written);
                    self.written = 0;
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.clear();
        if self.has_ended && !self.is_shut_down {
            self.is_shut_down = true;
            stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }
}
