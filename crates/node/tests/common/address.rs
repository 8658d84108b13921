//! Addresses on the loopback interface.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A listener on a free port.
pub fn listen() -> TcpListener {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

/// An address for the node to listen at. The socket is bound but does not listen; it keeps others in this process from
/// getting the address.
pub struct ReservedAddress {
    pub address: SocketAddr,
    pub socket: Socket,
}

impl ReservedAddress {
    /// Reserves a free port.
    pub fn any() -> ReservedAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket
            .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        ReservedAddress { address, socket }
    }

    /// Reserves this address. Returns `None` while another socket uses it.
    pub fn at(address: SocketAddr) -> Option<ReservedAddress> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_reuse_address(true).ok()?;
        socket.bind(&address.into()).ok()?;
        Some(ReservedAddress { address, socket })
    }

    /// Starts to listen at the address.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).unwrap();
        self.socket.set_nonblocking(true).unwrap();
        self.socket.into()
    }
}
