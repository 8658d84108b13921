//! The sockets between two processes of one node. Each packet carries one message, followed by its payload, and the
//! file descriptors that belong to it.

use super::message::HandoffMessage;
use crate::component::WellKnownComponent;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest};
use polling::Poller;
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;

/// Maximum length of a packet: a message and the full buffers of both directions of a connection.
const MAX_PACKET_BYTES: usize = 256 << 10;
/// Maximum number of descriptors in one packet.
const MAX_DESCRIPTORS: usize = 2;
/// Maximum number of successors whose connections wait to be accepted.
const LISTEN_BACKLOG: i32 = 4;

/// The sockets of the handoff, with their indices in the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoffSocket {
    /// The listener to which a successor connects.
    Listener = 0,
    /// The connection to the other process.
    PeerConnection = 1,
}

impl HandoffSocket {
    /// Returns the socket with this index in the event loop.
    pub(crate) fn from_index(index: usize) -> HandoffSocket {
        if index == HandoffSocket::Listener as usize {
            HandoffSocket::Listener
        } else {
            HandoffSocket::PeerConnection
        }
    }

    fn register(self, poller: &Rc<Poller>, socket: Socket) -> io::Result<Registered<Socket>> {
        let key = poller_key(WellKnownComponent::Handoff.id(), self as usize);
        Registered::new(poller, socket, key, Interest::READ)
    }
}

/// The result of sending a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The message was sent.
    Sent,
    /// The message was not sent: the socket buffer has no space for it.
    WouldBlock,
}

/// The socket to which a successor connects.
pub(crate) struct HandoffListener {
    socket: Registered<Socket>,
}

impl HandoffListener {
    /// Listens at this path.
    ///
    /// # Errors
    /// If the path is in use or the socket can't be opened.
    pub(crate) fn bind(poller: &Rc<Poller>, path: &Path) -> io::Result<HandoffListener> {
        let socket = packet_socket()?;
        socket.bind(&SockAddr::unix(path)?)?;
        socket.listen(LISTEN_BACKLOG)?;
        let socket = HandoffSocket::Listener.register(poller, socket)?;
        Ok(HandoffListener { socket })
    }

    /// Accepts the next successor.
    ///
    /// # Errors
    /// If no successor waits or no descriptor is free.
    pub(crate) fn accept(&self) -> io::Result<Socket> {
        let (socket, _) = self.socket.accept()?;
        Ok(socket)
    }

    /// Sets whether a waiting successor wakes the event loop.
    ///
    /// # Errors
    /// If the poller reports an error.
    pub(crate) fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.socket.set_interest(interest)
    }
}

/// A received message.
pub(crate) struct ReceivedMessage {
    pub(crate) message: HandoffMessage,
    /// The bytes that follow the message in its packet.
    pub(crate) payload: Vec<u8>,
    /// The descriptors of the packet.
    pub(crate) descriptors: Vec<OwnedFd>,
}

/// The connection to the other process.
pub(crate) struct PeerConnection {
    socket: Registered<Socket>,
}

impl PeerConnection {
    /// Connects to the process that listens at this path.
    ///
    /// # Errors
    /// If no process listens there.
    pub(crate) fn connect(poller: &Rc<Poller>, path: &Path) -> io::Result<PeerConnection> {
        let socket = packet_socket()?;
        socket.connect(&SockAddr::unix(path)?)?;
        PeerConnection::register(poller, socket)
    }

    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// If the socket can't be set up.
    pub(crate) fn from_accepted(poller: &Rc<Poller>, socket: Socket) -> io::Result<PeerConnection> {
        socket.set_nonblocking(true)?;
        PeerConnection::register(poller, socket)
    }

    fn register(poller: &Rc<Poller>, socket: Socket) -> io::Result<PeerConnection> {
        let socket = HandoffSocket::PeerConnection.register(poller, socket)?;
        Ok(PeerConnection { socket })
    }

    /// Sends one message with its payload and descriptors.
    ///
    /// # Errors
    /// If there are too many descriptors, or the other process has closed the connection.
    pub(crate) fn send(
        &self,
        message: &HandoffMessage,
        payload: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<SendOutcome> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors))
        {
            return Err(io::Error::other(
                "too many descriptors for a handoff message",
            ));
        }
        let parts = [IoSlice::new(&line), IoSlice::new(payload)];
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        match retry_on_intr(|| sendmsg(&*self.socket, &parts, &mut ancillary, flags)) {
            Ok(_) => Ok(SendOutcome::Sent),
            Err(rustix::io::Errno::AGAIN) => Ok(SendOutcome::WouldBlock),
            Err(error) => Err(error.into()),
        }
    }

    /// Receives one message. Returns `None` if none has arrived.
    ///
    /// # Errors
    /// `UnexpectedEof` at the end of the connection, `InvalidData` for an invalid packet, and any error of the operating
    /// system.
    pub(crate) fn receive(&self) -> io::Result<Option<ReceivedMessage>> {
        let mut bytes = vec![0; MAX_PACKET_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        let mut buffers = [IoSliceMut::new(&mut bytes)];
        let mut receive =
            || retry_on_intr(|| recvmsg(&*self.socket, &mut buffers, &mut ancillary, flags));
        // A process that ends with unread messages resets the connection. The kernel reports this once, ahead of the
        // messages that the process had sent, and the end of the connection after them.
        let received = match receive() {
            Err(rustix::io::Errno::CONNRESET) => receive(),
            received => received,
        };
        let packet = match received {
            Ok(packet) => packet,
            Err(rustix::io::Errno::AGAIN) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if packet.bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let truncated = ReturnFlags::TRUNC | ReturnFlags::CTRUNC;
        if packet.flags.intersects(truncated) {
            return Err(invalid_data(
                "handoff message truncated: too many bytes or descriptors",
            ));
        }
        let descriptors = received_descriptors(&mut ancillary);
        bytes.truncate(packet.bytes);
        parse_packet(bytes, descriptors).map(Some)
    }
}

fn received_descriptors(ancillary: &mut RecvAncillaryBuffer<'_>) -> Vec<OwnedFd> {
    ancillary
        .drain()
        .filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        })
        .flatten()
        .collect()
}

/// Splits a packet into the message, which is its first line, and the payload.
fn parse_packet(mut bytes: Vec<u8>, descriptors: Vec<OwnedFd>) -> io::Result<ReceivedMessage> {
    let line_end = bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(io::ErrorKind::InvalidData)?;
    let message = serde_json::from_slice(&bytes[..line_end]).map_err(invalid_data)?;
    bytes.drain(..=line_end);
    Ok(ReceivedMessage {
        message,
        payload: bytes,
        descriptors,
    })
}

fn invalid_data(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Creates a non-blocking Unix socket that preserves message boundaries.
fn packet_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
