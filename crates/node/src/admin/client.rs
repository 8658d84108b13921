//! The client for admin calls to another process.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time to connect, and to wait for the answer, which is due within 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit of the length of an answer, which may contain a line about each of a thousand nodes.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Makes one call to the admin address and returns its answer, without the line end.
///
/// # Errors
/// If the address can't be reached or does not answer in time.
pub(crate) fn ask(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(format!("{call}\r\n").as_bytes())?;
    let mut answer = String::new();
    // The node closes the connection after the line.
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    match answer.trim_end() {
        "" => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "node closed the connection without an answer",
        )),
        answer => Ok(answer.to_string()),
    }
}
