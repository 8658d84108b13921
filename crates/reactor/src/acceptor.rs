//! A listening socket whose connections are accepted and registered with the poller. What fails for a moment drops nobody:
//! a connection that was accepted and not registered yet is kept.

use crate::poll::{Registered, RegistrationError};
use crate::Interest;
use polling::Poller;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Accepts connections.
pub struct Acceptor {
    listener: Registered<TcpListener>,
    /// Accepted, and not registered yet: closing it would drop what the other end has sent.
    unregistered: Option<TcpStream>,
}

impl Acceptor {
    /// Accepts from this listener, which is non-blocking, and reports under `key` what waits there.
    ///
    /// # Errors
    /// Where the poller refuses the listener.
    pub fn new(poller: &Rc<Poller>, listener: TcpListener, key: usize) -> io::Result<Acceptor> {
        Ok(Acceptor {
            listener: Registered::new(poller, listener, key, Interest::READ)?,
            unregistered: None,
        })
    }

    /// Whether a connection is kept that was accepted and could not be registered.
    pub fn has_unregistered(&self) -> bool {
        self.unregistered.is_some()
    }

    /// Sets whether connections that wait are reported.
    ///
    /// # Errors
    /// Where the poller refuses the change.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.listener.set_interest(interest)
    }

    /// The connection that is kept, or else the next one that waits, registered under `key` for reading; `None` if there
    /// is neither.
    ///
    /// # Errors
    /// Where accepting or registering fails, most likely for want of descriptors or memory: worth another attempt a little
    /// later.
    pub fn accept(&mut self, key: usize) -> io::Result<Option<Registered<TcpStream>>> {
        let stream = match self.unregistered.take() {
            Some(stream) => stream,
            None => match self.next_waiting()? {
                Some(stream) => stream,
                None => return Ok(None),
            },
        };
        // Only the latency suffers without it.
        let _ = stream.set_nodelay(true);
        if let Err(error) = stream.set_nonblocking(true) {
            self.unregistered = Some(stream);
            return Err(error);
        }
        let poller = self.listener.poller();
        match Registered::try_new(poller, stream, key, Interest::READ) {
            Ok(stream) => Ok(Some(stream)),
            Err(RegistrationError { source, error }) => {
                self.unregistered = Some(source);
                Err(error)
            }
        }
    }

    fn next_waiting(&self) -> io::Result<Option<TcpStream>> {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Ok(Some(stream)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The other end gave up while it waited to be accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
