//! A listening socket whose connections are accepted and registered with the poller. A temporary failure drops no
//! connection: one that was accepted but could not be registered is kept.

use crate::poll::{Registered, RegistrationError};
use crate::Interest;
use polling::Poller;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Accepts connections and registers them.
pub struct Acceptor {
    listener: Registered<TcpListener>,
    /// A connection that is accepted but not registered yet: closing it would drop the data that the peer has sent.
    unregistered: Option<TcpStream>,
}

impl Acceptor {
    /// Creates an acceptor for a non-blocking listener; waiting connections are reported under `key`.
    ///
    /// # Errors
    /// If the poller rejects the listener.
    pub fn new(poller: &Rc<Poller>, listener: TcpListener, key: usize) -> io::Result<Acceptor> {
        Ok(Acceptor {
            listener: Registered::new(poller, listener, key, Interest::READ)?,
            unregistered: None,
        })
    }

    /// Returns true if a connection is kept that was accepted but could not be registered.
    pub fn has_unregistered(&self) -> bool {
        self.unregistered.is_some()
    }

    /// Sets whether waiting connections are reported.
    ///
    /// # Errors
    /// If the poller rejects the change.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.listener.set_interest(interest)
    }

    /// Returns the kept connection, or else the next waiting one, registered under `key` for reading; `None` if there
    /// is neither.
    ///
    /// # Errors
    /// If accepting or registering fails, most likely for lack of descriptors or memory: the caller should retry a
    /// little later.
    pub fn accept(&mut self, key: usize) -> io::Result<Option<Registered<TcpStream>>> {
        let stream = match self.unregistered.take() {
            Some(stream) => stream,
            None => match self.next_waiting()? {
                Some(stream) => stream,
                None => return Ok(None),
            },
        };
        // An error can be ignored: it only affects latency.
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
                // The peer closed the connection while it waited to be accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
