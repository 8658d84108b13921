//! The client listener that the platform has opened and all processes of the node inherit.
#![allow(unsafe_code)]

use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::FromRawFd;
use thiserror::Error;

/// The inherited descriptor can't be used.
#[derive(Debug, Error)]
#[error("RELAY_INHERITED_FD: descriptor {descriptor} {problem}")]
struct InheritedListenerError {
    descriptor: i32,
    problem: DescriptorProblem,
}

/// The reason of an [`InheritedListenerError`].
#[derive(Debug, Error)]
enum DescriptorProblem {
    #[error("is not open")]
    NotOpen,
    #[error("is not a socket")]
    NotSocket,
    #[error("is not a listening stream socket")]
    NotListening,
    #[error("listens on {actual:?}, not on {expected}")]
    OtherAddress {
        actual: Option<SocketAddr>,
        expected: SocketAddr,
    },
}

/// Takes ownership of the descriptor if it is a listening socket at this address. The other processes hold the same
/// socket: it stays open when one of them terminates, and must never be shut down.
///
/// # Errors
/// `InvalidInput` if the descriptor is not such a socket, and any error of the operating system.
pub(crate) fn inherited_listener(descriptor: i32, listen: SocketAddr) -> io::Result<TcpListener> {
    let invalid = |problem| {
        let error = InheritedListenerError {
            descriptor,
            problem,
        };
        io::Error::new(io::ErrorKind::InvalidInput, error)
    };
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| invalid(DescriptorProblem::NotOpen))?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(invalid(DescriptorProblem::NotSocket));
    }
    // SAFETY: the check above has shown that the descriptor is open, and the platform passes it for this use only.
    // Nothing else in the process owns it: the node calls this function once, before it opens connections.
    let socket = unsafe { Socket::from_raw_fd(descriptor) };
    if !socket.is_listener()? || socket.r#type()? != socket2::Type::STREAM {
        return Err(invalid(DescriptorProblem::NotListening));
    }
    let actual = socket.local_addr()?.as_socket();
    if actual != Some(listen) {
        return Err(invalid(DescriptorProblem::OtherAddress {
            actual,
            expected: listen,
        }));
    }
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
