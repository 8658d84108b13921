//! The handling of bytes that the kernel still holds when a connection to a client or server closes.

use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Makes the kernel drop undelivered bytes and send a reset when the connection closes, including when this process
/// ends.
pub(super) fn enable_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Makes the kernel deliver its remaining bytes after the connection closes.
pub(super) fn disable_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(None)
}
