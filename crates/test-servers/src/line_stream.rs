//! A non-blocking stream of lines with bounded buffers.

use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::Interest;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Limit of the buffered bytes of each direction.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Bytes after which a call of [`LineStream::read`] returns.
const READ_BUDGET_BYTES: usize = 16 << 10;
/// Bytes of one read.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// A stream with a buffer for each direction.
pub struct LineStream {
    stream: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    is_ended: bool,
}

impl LineStream {
    /// Wraps a stream that is connected or being connected.
    pub fn new(stream: Registered<TcpStream>) -> LineStream {
        LineStream {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            is_ended: false,
        }
    }

    /// Returns true if the connect of this stream has failed. The result is valid once the stream has become ready.
    pub fn has_connect_failed(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Returns true if the peer has closed its direction or [`LineStream::mark_ended`] was called.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Treats the stream as closed by the peer.
    pub fn mark_ended(&mut self) {
        self.is_ended = true;
    }

    /// Reads available bytes, within the limits of this module.
    ///
    /// # Errors
    ///
    /// Any error of the socket, after which the stream can't be used.
    pub fn read(&mut self) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < READ_BUDGET_BYTES && self.input.len() < MAX_BUFFERED_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    self.is_ended = true;
                    break;
                }
                Ok(length) => {
                    self.input.extend_from_slice(&chunk[..length]);
                    read_bytes += length;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Removes and returns the next complete line, without its terminator.
    pub fn next_line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.input.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim_end().to_string())
    }

    /// Sends text, and buffers what the socket does not accept yet.
    ///
    /// # Errors
    ///
    /// `OutOfMemory` if the buffer would exceed its limit, or any error of the socket.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        if self.output.len() + text.len() > MAX_BUFFERED_BYTES {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.output.extend_from_slice(text.as_bytes());
        self.flush()
    }

    /// Writes buffered output, and requests an event for when the socket is writable if some remains.
    ///
    /// # Errors
    ///
    /// Any error of the socket, after which the stream can't be used.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(length) => drop(self.output.drain(..length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.set_interest(true);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.set_interest(false)
    }

    fn set_interest(&mut self, writable: bool) -> io::Result<()> {
        self.stream.set_interest(Interest {
            readable: !self.is_ended,
            writable,
        })
    }

    /// Makes the stream end with a reset when it is dropped.
    pub fn reset_on_drop(&self) {
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }
}
