//! A listener whose backlog is full.

use super::line_stream::LineStream;
use super::wait::wait_until;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::TcpListener;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Keeps a listener's backlog full, so that no connection to it is established.
pub struct FullBacklog {
    listener: TcpListener,
    fillers: Vec<Socket>,
}

impl FullBacklog {
    /// Fills the backlog of this listener.
    pub fn fill(listener: &TcpListener) -> FullBacklog {
        let listener = listener.try_clone().unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        loop {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let is_connected = filler
                .connect_timeout(&address.into(), CONNECT_TIMEOUT)
                .is_ok();
            fillers.push(filler);
            if !is_connected {
                break;
            }
        }
        FullBacklog { listener, fillers }
    }

    /// Lets connections be established again. Returns the next one apart from those that filled the backlog.
    pub fn release(self) -> LineStream {
        SockRef::from(&self.listener).listen(128).unwrap();
        let filler_addresses: Vec<_> = self
            .fillers
            .iter()
            .filter_map(|filler| filler.local_addr().ok()?.as_socket())
            .collect();
        drop(self.fillers);
        wait_until("a connection behind the backlog", || {
            let (stream, from) = self.listener.accept().ok()?;
            (!filler_addresses.contains(&from)).then(|| LineStream::new(stream))
        })
    }
}
