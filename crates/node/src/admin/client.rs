//! Makes an admin call at another process.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a call waits for its answer, which is due within 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// What is read of an answer: a line on each of a thousand nodes.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Makes one call at the admin address and returns its answer, without the line's end.
///
/// # Errors
/// Where the address can't be reached or does not answer in time.
pub(crate) fn ask(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(format!("{call}\r\n").as_bytes())?;
    let mut answer = String::new();
    // The end of the connection follows the line.
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    match answer.trim_end() {
        "" => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "it ended without an answer",
        )),
        answer => Ok(answer.to_string()),
    }
}
