//! A stream that is read and written by lines, with a bound on both.

use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::Interest;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// What may wait in either direction.
const MOST: usize = 64 << 10;
/// Read in one turn.
const TURN: usize = 16 << 10;

/// See the module.
pub struct Lines {
    /// The stream.
    pub stream: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The other side has ended its sending.
    pub ended: bool,
}

impl Lines {
    /// Over a stream that is or will be up.
    pub fn new(stream: Registered<TcpStream>) -> Lines {
        Lines {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            ended: false,
        }
    }

    /// Reads what is there; an error is the end of the stream.
    pub fn read(&mut self) -> io::Result<()> {
        let (mut scratch, mut taken) = ([0; 4 << 10], 0);
        while taken < TURN && self.input.len() < MOST {
            match self.stream.read(&mut scratch) {
                Ok(0) => {
                    self.ended = true;
                    break;
                }
                Ok(read) => {
                    self.input.extend_from_slice(&scratch[..read]);
                    taken += read;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The next whole line, without its end.
    pub fn line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.input.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim_end().to_string())
    }

    /// Writes this, as far as the socket takes it; the rest waits.
    pub fn say(&mut self, text: &str) -> io::Result<()> {
        if self.output.len() + text.len() > MOST {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.output.extend_from_slice(text.as_bytes());
        self.flush()
    }

    /// Writes what waits.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(sent) => drop(self.output.drain(..sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.stream.set_interest(Interest {
                        readable: !self.ended,
                        writable: true,
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.stream.set_interest(Interest {
            readable: !self.ended,
            writable: false,
        })
    }

    /// The stream ends with a reset when it is dropped.
    pub fn abort(&self) {
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}
