//! The number of written bytes of a TCP connection that the peer has not acknowledged, queried from the kernel over
//! netlink.

use crate::retry_interrupted;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr, TcpStream};

/// The socket family and protocol for queries of the kernel's socket table; see `sock_diag(7)`.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
/// The type and flags of the request.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const IPPROTO_TCP: u8 = 6;
/// The lengths of a message header, a request and a response; the offset of the write queue's length in the response.
const HEADER_LENGTH: usize = 16;
const REQUEST_LENGTH: usize = HEADER_LENGTH + 56;
const MAX_RESPONSE_LENGTH: usize = 512;
const WRITE_QUEUE_OFFSET: usize = HEADER_LENGTH + 60;

fn append_address(bytes: &mut Vec<u8>, address: IpAddr) {
    let mut field = [0; 16];
    match address {
        IpAddr::V4(address) => field[..4].copy_from_slice(&address.octets()),
        IpAddr::V6(address) => field = address.octets(),
    }
    bytes.extend_from_slice(&field);
}

fn encode_request(local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(REQUEST_LENGTH);
    bytes.extend_from_slice(&(REQUEST_LENGTH as u32).to_ne_bytes());
    bytes.extend_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend_from_slice(&NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port id, unused for a single request and response.
    bytes.extend_from_slice(&[0; 8]);
    // No extensions, any connection state.
    bytes.extend_from_slice(&[
        if local.is_ipv4() { AF_INET } else { AF_INET6 },
        IPPROTO_TCP,
        0,
        0,
    ]);
    bytes.extend_from_slice(&u32::MAX.to_ne_bytes());
    bytes.extend_from_slice(&local.port().to_be_bytes());
    bytes.extend_from_slice(&peer.port().to_be_bytes());
    append_address(&mut bytes, local.ip());
    append_address(&mut bytes, peer.ip());
    // Any interface, any cookie.
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&[0xff; 8]);
    bytes
}

/// Returns the number of written bytes that the peer has not acknowledged yet.
///
/// # Errors
/// If the kernel does not return the number: the connection may have ended, or the request may not be permitted.
pub fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<u32> {
    let local = stream.local_addr()?;
    let peer = stream.peer_addr()?;
    let mut netlink = Socket::new(
        Domain::from(AF_NETLINK),
        Type::RAW,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    )?;
    // The kernel queues its response within the send, so the read does not need to wait.
    netlink.set_nonblocking(true)?;
    let request = encode_request(local, peer);
    retry_interrupted(|| netlink.send(&request))?;
    let mut response = [0; MAX_RESPONSE_LENGTH];
    let length = retry_interrupted(|| netlink.read(&mut response))?;
    let field = response[..length].get(WRITE_QUEUE_OFFSET..WRITE_QUEUE_OFFSET + 4);
    let has_expected_type = response[4..6] == SOCK_DIAG_BY_FAMILY.to_ne_bytes();
    match field
        .filter(|_| has_expected_type)
        .and_then(|field| <[u8; 4]>::try_from(field).ok())
    {
        Some(field) => Ok(u32::from_ne_bytes(field)),
        None => Err(io::ErrorKind::NotFound.into()),
    }
}
