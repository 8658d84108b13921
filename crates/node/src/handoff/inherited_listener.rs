//! The clients' listening socket where the platform opened it and every process of the node inherits it.
#![allow(unsafe_code)]

use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::FromRawFd;
use thiserror::Error;

/// Why an inherited descriptor can't be used.
#[derive(Debug, Error)]
#[error("RELAY_INHERITED_FD: descriptor {descriptor} {problem}")]
struct InheritedListenerError {
    descriptor: i32,
    problem: DescriptorProblem,
}

/// What is wrong with an inherited descriptor.
#[derive(Debug, Error)]
enum DescriptorProblem {
    #[error("is not open")]
    NotOpen,
    #[error("is no socket")]
    NotSocket,
    #[error("does not listen")]
    NotListening,
    #[error("listens on {actual:?}, not on {expected}")]
    OtherAddress {
        actual: Option<SocketAddr>,
        expected: SocketAddr,
    },
}

/// Takes the descriptor over, if it is a listening socket at this address. The other processes hold the same socket: it
/// is closed by nobody's end and must never be shut down.
///
/// # Errors
/// `InvalidInput` where the descriptor is not such a socket, and what the system reports.
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
    // SAFETY: the descriptor is open, as was just checked, and named by whoever started the process for this one use;
    // nothing else in the process takes it, as the node calls this once, before it opens connections.
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
