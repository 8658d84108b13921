//! Registration of sockets with the poller; no other module does this.
#![allow(unsafe_code)]

use crate::interrupted::retry_interrupted;
use crate::Interest;
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::ops::{Deref, DerefMut};
use std::os::fd::AsFd;
use std::rc::Rc;

/// A socket or other source that stays registered with the poller for as long as this value owns it.
pub struct Registered<S: AsFd> {
    source: S,
    poller: Rc<Poller>,
    registration: Event,
}

/// The error of a failed registration, with the source.
#[derive(Debug)]
pub struct RegistrationError<S> {
    /// The unregistered source.
    pub source: S,
    /// The poller's error.
    pub error: io::Error,
}

impl<S: AsFd> Registered<S> {
    /// Registers the source under a key, level-triggered. If registration fails, the source is closed.
    ///
    /// # Errors
    /// If the poller rejects the registration.
    pub fn new(poller: &Rc<Poller>, source: S, key: usize, interest: Interest) -> io::Result<Self> {
        Registered::try_new(poller, source, key, interest).map_err(|rejected| rejected.error)
    }

    /// Like [`Registered::new`], but returns the source if registration fails.
    ///
    /// # Errors
    /// If the poller rejects the registration; the error contains the source.
    pub fn try_new(
        poller: &Rc<Poller>,
        source: S,
        key: usize,
        interest: Interest,
    ) -> Result<Self, RegistrationError<S>> {
        let registration = Event::new(key, interest.readable, interest.writable);
        // SAFETY: the descriptor must stay open until it is deleted from the poller. `Registered` owns the source,
        // exposes it by reference only, and deletes it in `drop`, before the source itself is closed.
        let added = unsafe { poller.add_with_mode(&source.as_fd(), registration, PollMode::Level) };
        match added {
            Ok(()) => Ok(Registered {
                source,
                poller: Rc::clone(poller),
                registration,
            }),
            Err(error) => Err(RegistrationError { source, error }),
        }
    }

    /// Returns the poller that the source is registered with.
    pub fn poller(&self) -> &Rc<Poller> {
        &self.poller
    }

    /// Changes which events are reported; makes a system call only if `interest` differs from the current one.
    ///
    /// # Errors
    /// If the poller rejects the change.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.modify(Event::new(
            self.registration.key,
            interest.readable,
            interest.writable,
        ))
    }

    /// Changes the key under which events are reported.
    ///
    /// # Errors
    /// If the poller rejects the change.
    pub fn rekey(&mut self, key: usize) -> io::Result<()> {
        self.modify(Event::new(
            key,
            self.registration.readable,
            self.registration.writable,
        ))
    }

    fn modify(&mut self, registration: Event) -> io::Result<()> {
        if registration != self.registration {
            self.poller
                .modify_with_mode(self.source.as_fd(), registration, PollMode::Level)?;
            self.registration = registration;
        }
        Ok(())
    }
}

/// Reads and writes that are retried if a signal interrupts them. These methods shadow those of the source.
impl<S: AsFd> Registered<S> {
    /// Reads available data into `buffer`, like [`Read::read`].
    ///
    /// # Errors
    /// Those of the source, except for [`io::ErrorKind::Interrupted`].
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize>
    where
        for<'a> &'a S: Read,
    {
        retry_interrupted(|| (&self.source).read(buffer))
    }

    /// Writes as much of `bytes` as the source accepts, like [`Write::write`].
    ///
    /// # Errors
    /// Those of the source, except for [`io::ErrorKind::Interrupted`].
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize>
    where
        for<'a> &'a S: Write,
    {
        retry_interrupted(|| (&self.source).write(bytes))
    }
}

impl Registered<TcpListener> {
    /// Accepts the next connection, like [`TcpListener::accept`].
    ///
    /// # Errors
    /// Those of the listener, except for [`io::ErrorKind::Interrupted`].
    pub fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        retry_interrupted(|| self.source.accept())
    }
}

impl Registered<Socket> {
    /// Accepts the next connection, like [`Socket::accept`].
    ///
    /// # Errors
    /// Those of the socket, except for [`io::ErrorKind::Interrupted`].
    pub fn accept(&self) -> io::Result<(Socket, SockAddr)> {
        retry_interrupted(|| self.source.accept())
    }
}

impl Registered<UdpSocket> {
    /// Receives the next datagram, like [`UdpSocket::recv_from`].
    ///
    /// # Errors
    /// Those of the socket, except for [`io::ErrorKind::Interrupted`].
    pub fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        retry_interrupted(|| self.source.recv_from(buffer))
    }

    /// Sends a datagram, like [`UdpSocket::send_to`].
    ///
    /// # Errors
    /// Those of the socket, except for [`io::ErrorKind::Interrupted`].
    pub fn send_to(&self, bytes: &[u8], address: SocketAddr) -> io::Result<usize> {
        retry_interrupted(|| self.source.send_to(bytes, address))
    }
}

/// The maximum length of the accept queue.
pub const LISTEN_BACKLOG: usize = 1024;

/// EINPROGRESS, which has no stable name in the standard library.
const IN_PROGRESS: i32 = 115;

/// The errors of a connect that fails on this machine, for lack of resources or of a network: EPERM, EAGAIN, ENOMEM,
/// EACCES, ENFILE, EMFILE, ENOSPC (no more registrations), EADDRNOTAVAIL, ENETDOWN, ENETUNREACH and ENOBUFS.
const LOCAL_FAILURE_ERRNOS: [i32; 11] = [1, 11, 12, 13, 23, 24, 28, 99, 100, 101, 105];

/// Returns true if a connect that failed at once did so for a local reason, which is no evidence against the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| LOCAL_FAILURE_ERRNOS.contains(&code))
}

/// Starts a non-blocking connect. When the socket becomes writable, it is connected or `take_error` returns the error.
///
/// # Errors
/// If the connect fails at once.
pub fn connect(
    poller: &Rc<Poller>,
    address: SocketAddr,
    key: usize,
) -> io::Result<Registered<TcpStream>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(IN_PROGRESS) => {}
        // The interrupted connect continues in the background.
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(error),
    }
    Registered::new(poller, TcpStream::from(socket), key, Interest::WRITE)
}

/// Creates a non-blocking listener on `address`.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    Ok(TcpListener::from(socket))
}

impl<S: AsFd> Deref for Registered<S> {
    type Target = S;
    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: AsFd> DerefMut for Registered<S> {
    fn deref_mut(&mut self) -> &mut S {
        &mut self.source
    }
}

impl<S: AsFd> Drop for Registered<S> {
    fn drop(&mut self) {
        // An error can be ignored: the source may be deregistered already, and closing it deregisters it too.
        let _ = self.poller.delete(self.source.as_fd());
    }
}

#[cfg(test)]
mod tests;
