//! What the kernel still holds of a connection's bytes.

use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr, TcpStream};

/// AF_NETLINK with NETLINK_SOCK_DIAG: the kernel's own table of sockets, asked for one of them.
const NETLINK: i32 = 16;
const SOCK_DIAG: i32 = 4;
/// SOCK_DIAG_BY_FAMILY, asked with NLM_F_REQUEST.
const BY_FAMILY: u16 = 20;
const REQUEST: u16 = 1;
const INET: u8 = 2;
const INET6: u8 = 10;
const TCP: u8 = 6;
/// Lengths of a message's header and of a whole question; where an answer tells the bytes that wait to be sent.
const HEADER: usize = 16;
const QUESTION: usize = HEADER + 56;
const QUEUED_AT: usize = HEADER + 60;

fn address(bytes: &mut Vec<u8>, address: IpAddr) {
    let mut field = [0; 16];
    match address {
        IpAddr::V4(address) => field[..4].copy_from_slice(&address.octets()),
        IpAddr::V6(address) => field = address.octets(),
    }
    bytes.extend_from_slice(&field);
}

fn question(here: SocketAddr, there: SocketAddr) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(QUESTION);
    bytes.extend_from_slice(&(QUESTION as u32).to_ne_bytes());
    bytes.extend_from_slice(&BY_FAMILY.to_ne_bytes());
    bytes.extend_from_slice(&REQUEST.to_ne_bytes());
    // Sequence number and port: one question, one answer.
    bytes.extend_from_slice(&[0; 8]);
    // Nothing beyond the plain answer, in whatever state the connection is.
    bytes.extend_from_slice(&[if here.is_ipv4() { INET } else { INET6 }, TCP, 0, 0]);
    bytes.extend_from_slice(&u32::MAX.to_ne_bytes());
    bytes.extend_from_slice(&here.port().to_be_bytes());
    bytes.extend_from_slice(&there.port().to_be_bytes());
    address(&mut bytes, here.ip());
    address(&mut bytes, there.ip());
    // Any interface, any cookie.
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&[0xff; 8]);
    bytes
}

/// How many written bytes the other side has not acknowledged yet. An error where the kernel cannot say: the connection may
/// have ended, or the question is not allowed here.
pub fn unacknowledged(stream: &TcpStream) -> io::Result<u32> {
    let (here, there) = (stream.local_addr()?, stream.peer_addr()?);
    let mut kernel = Socket::new(
        Domain::from(NETLINK),
        Type::RAW,
        Some(Protocol::from(SOCK_DIAG)),
    )?;
    // The answer is there once the question has gone out: nothing is waited for.
    kernel.set_nonblocking(true)?;
    kernel.send(&question(here, there))?;
    let mut answer = [0; 512];
    let length = kernel.read(&mut answer)?;
    let field = answer[..length].get(QUEUED_AT..QUEUED_AT + 4);
    let tells = answer[4..6] == BY_FAMILY.to_ne_bytes();
    match field
        .filter(|_| tells)
        .and_then(|field| <[u8; 4]>::try_from(field).ok())
    {
        Some(field) => Ok(u32::from_ne_bytes(field)),
        None => Err(io::ErrorKind::NotFound.into()),
    }
}
