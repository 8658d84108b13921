//! The answers that the node itself sends to clients.

use std::time::Duration;

/// The first line is malformed, or the request has failed.
pub(super) const ERROR: &[u8] = b"ERR\r\n";
/// The answer to `PING` if the node can serve clients.
pub(super) const PONG: &[u8] = b"PONG\r\n";

/// The rejection of a request. `retry_after` is how long the client should wait; zero is omitted.
pub(super) fn busy(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => b"BUSY\r\n".to_vec(),
        millis => format!("BUSY {millis}\r\n").into_bytes(),
    }
}
