//! One end of a connection that is read by lines.

use super::wait::WAIT_TIMEOUT;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A connection of a client or of a server.
pub struct LineStream {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl LineStream {
    pub fn new(stream: TcpStream) -> LineStream {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        LineStream {
            stream,
            received: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Receives the next line without its terminator, the rest if the connection has ended, or `RST` if it was reset.
    pub fn receive(&mut self) -> String {
        let mut byte = [0];
        loop {
            match self.stream.read(&mut byte) {
                Ok(0) => {
                    return std::mem::take(&mut self.received)
                        .iter()
                        .map(|byte| *byte as char)
                        .collect()
                }
                Ok(_) => self.received.push(byte[0]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return "RST".into(),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => panic!("receive failed: {error}"),
            }
            if self.received.ends_with(b"\r\n") {
                let line = String::from_utf8(std::mem::take(&mut self.received)).unwrap();
                return line.trim_end().to_string();
            }
        }
    }

    /// Receives the next line without its terminator, or `None` if the connection has ended or failed, or nothing
    /// arrived in [`WAIT_TIMEOUT`].
    pub fn try_receive(&mut self) -> Option<String> {
        let mut byte = [0];
        while !self.received.ends_with(b"\r\n") {
            match self.stream.read(&mut byte) {
                Ok(1) => self.received.push(byte[0]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return None,
            }
        }
        let line = String::from_utf8(std::mem::take(&mut self.received)).unwrap();
        Some(line.trim_end().to_string())
    }

    /// Sends text on a connection that may have ended.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Returns true if neither data nor the end of the connection has arrived.
    pub fn is_quiet(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let result = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Sends a line to the server and another one back to the client.
pub fn exchange_lines(client: &mut LineStream, server: &mut LineStream) {
    client.send("hello\r\n");
    assert_eq!(server.receive(), "hello");
    server.send("hello\r\n");
    assert_eq!(client.receive(), "hello");
}

/// Closes a connection with a reset.
#[allow(clippy::needless_pass_by_value)] // Dropping the value closes the connection.
pub fn reset_connection(connection: LineStream) {
    SockRef::from(&connection.stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}
