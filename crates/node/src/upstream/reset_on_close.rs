//! What becomes of bytes that the kernel still holds when a connection to a client or server closes.

use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Bytes that are not delivered when the connection closes, be it with this process, are dropped, and the other end sees
/// a reset.
pub(super) fn enable_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// The kernel delivers what it holds after the connection closes.
pub(super) fn disable_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(None)
}
