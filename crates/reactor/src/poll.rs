//! The one place where sockets are registered with the poller.
#![allow(unsafe_code)]

use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::os::fd::AsFd;
use std::rc::Rc;

/// A source that the poller watches for as long as this value owns it.
pub struct Watched<S: AsFd> {
    source: S,
    poller: Rc<Poller>,
    wanted: Event,
}

impl<S: AsFd> Watched<S> {
    /// Registers the source under a key; readiness is told again and again while it lasts.
    pub fn new(
        poller: &Rc<Poller>,
        source: S,
        key: usize,
        read: bool,
        write: bool,
    ) -> io::Result<Self> {
        let wanted = Event::new(key, read, write);
        // SAFETY: the descriptor must stay open until it is deleted from the poller. `Watched` owns the source,
        // gives it out by reference only, and deletes it in `drop`, before the source itself is closed.
        unsafe { poller.add_with_mode(&source.as_fd(), wanted, PollMode::Level)? };
        Ok(Watched {
            source,
            poller: Rc::clone(poller),
            wanted,
        })
    }

    /// Changes what is waited for; a system call is made only if that differs from before.
    pub fn want(&mut self, read: bool, write: bool) -> io::Result<()> {
        self.turn(Event::new(self.wanted.key, read, write))
    }

    /// Reports under another key from now on.
    pub fn rekey(&mut self, key: usize) -> io::Result<()> {
        self.turn(Event::new(key, self.wanted.readable, self.wanted.writable))
    }

    fn turn(&mut self, wanted: Event) -> io::Result<()> {
        if wanted != self.wanted {
            self.poller
                .modify_with_mode(self.source.as_fd(), wanted, PollMode::Level)?;
            self.wanted = wanted;
        }
        Ok(())
    }
}

/// EINPROGRESS, for which the standard library has no stable name.
const IN_PROGRESS: i32 = 115;

/// ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS and ENOMEM: this machine has nothing left to connect with.
pub const LACKS: [i32; 5] = [23, 24, 99, 105, 12];

/// Begins a connection; once it is writable it is up, or `take_error` says why not.
pub fn connect(
    poller: &Rc<Poller>,
    dial: SocketAddr,
    key: usize,
) -> io::Result<Watched<TcpStream>> {
    let socket = Socket::new(Domain::for_address(dial), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&dial.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => return Err(error),
        _ => {}
    }
    Watched::new(poller, TcpStream::from(socket), key, false, true)
}

/// Listens on this address only.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(TcpListener::from(socket))
}

impl<S: AsFd> Deref for Watched<S> {
    type Target = S;
    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: AsFd> DerefMut for Watched<S> {
    fn deref_mut(&mut self) -> &mut S {
        &mut self.source
    }
}

impl<S: AsFd> Drop for Watched<S> {
    fn drop(&mut self) {
        // Closing takes it out as well; nothing is left to do if the poller does not know it any more.
        let _ = self.poller.delete(self.source.as_fd());
    }
}
