//! The clients' listening socket where the platform holds it and every process of the node inherits it.
#![allow(unsafe_code)]

use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::FromRawFd;

/// Takes the descriptor over, if it is a listening socket at this address. The other processes hold the same socket: it
/// is closed by nobody's end and must never be shut down.
pub fn listener(descriptor: i32, listen: SocketAddr) -> io::Result<TcpListener> {
    let wrong = |why: &str| {
        let what = format!("RELAY_INHERITED_FD: descriptor {descriptor} {why}");
        io::Error::new(io::ErrorKind::InvalidInput, what)
    };
    let named = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| wrong("is not open"))?;
    if !named.to_string_lossy().starts_with("socket:") {
        return Err(wrong("is no socket"));
    }
    // SAFETY: the descriptor is open, as was just seen, and named by whoever started the process for this one use; nothing
    // else in the process takes it, as the node calls this once, before it opens connections.
    let socket = unsafe { Socket::from_raw_fd(descriptor) };
    if !socket.is_listener()? || socket.r#type()? != socket2::Type::STREAM {
        return Err(wrong("does not listen"));
    }
    match socket.local_addr()?.as_socket() {
        Some(address) if address == listen => {}
        other => return Err(wrong(&format!("listens on {other:?}, not on {listen}"))),
    }
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
