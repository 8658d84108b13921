//! The sockets bound to the cluster address.

use crate::component::WellKnownComponent;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest};
use polling::Poller;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

/// The numbers by which the event loop identifies the cluster agent's two sockets.
pub(super) const DATAGRAM_SOCKET: usize = 0;
pub(super) const LISTENER_SOCKET: usize = 1;

/// The sockets of this node, both bound to the cluster address.
pub(super) struct ClusterSockets {
    pub(super) datagrams: Registered<UdpSocket>,
    pub(super) listener: Registered<TcpListener>,
}

impl ClusterSockets {
    /// Binds both sockets.
    ///
    /// # Errors
    /// If the address is not available, for example while the previous process still uses it.
    pub(super) fn bind(poller: &Rc<Poller>, address: SocketAddr) -> io::Result<ClusterSockets> {
        let agent_id = WellKnownComponent::ClusterAgent.id();
        let listener = poll::listen(address)?;
        let datagrams = UdpSocket::bind(address)?;
        datagrams.set_nonblocking(true)?;
        let datagram_key = poller_key(agent_id, DATAGRAM_SOCKET);
        let listener_key = poller_key(agent_id, LISTENER_SOCKET);
        Ok(ClusterSockets {
            datagrams: Registered::new(poller, datagrams, datagram_key, Interest::READ)?,
            listener: Registered::new(poller, listener, listener_key, Interest::READ)?,
        })
    }
}
