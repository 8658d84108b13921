//! What two processes of one node say to each other: one message a packet, some with descriptors.

use lupincrank_placement::learned_state::LearnedServer;
use lupincrank_reactor::poll::Registered;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;

/// The form of the messages; another one is not understood.
pub const VERSION: u32 = 3;
/// The longest message: both directions of a connection full, and the record.
const LONGEST: usize = 256 << 10;
/// Descriptors that one message brings at the most.
const MOST_FDS: usize = 2;

/// A connection that is up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Standing {
    /// Its request's id.
    pub request: u64,
    /// Its class by name, its group, its key, and whether it had come back from a break or a move.
    pub class: String,
    /// See `class`.
    pub group: Option<String>,
    /// See `class`.
    pub key: Option<String>,
    /// See `class`.
    pub returned: bool,
    /// Where it stands.
    pub server: String,
    /// Its load as last told, in microseconds of work a second.
    pub load_us: Option<u64>,
    /// For each line of the client that nothing has come back for: how long ago it went on.
    pub unanswered_ms: Vec<u64>,
    /// How many of the bytes that come along wait for the transcriber, for the client, and are the start of a line of the
    /// transcriber: in this order.
    pub lengths: [usize; 3],
}

/// What a process is and holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// See `VERSION`.
    pub version: u32,
    /// How many clients it holds, and how many connections that ask for nothing.
    pub clients: usize,
    /// See `clients`.
    pub strangers: usize,
    /// It takes clients in.
    pub open: bool,
}

/// What was learnt of one transcriber: see `lupincrank_placement::learned_state`. Spans are milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lesson {
    server: String,
    started: Option<u64>,
    cap: Option<f64>,
    crowded: Option<u64>,
    barred: Option<u64>,
    bars: u32,
    strikes: u32,
    crashed: bool,
}

impl From<LearnedServer> for Lesson {
    fn from(learnt: LearnedServer) -> Lesson {
        let ms = |span: Option<Duration>| {
            span.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
        };
        Lesson {
            server: learnt.server.0.to_string(),
            started: ms(learnt.started_ago),
            cap: learnt.concurrency_limit,
            crowded: ms(learnt.overloaded_ago),
            barred: ms(learnt.ejected_for),
            bars: learnt.ejection_count,
            strikes: learnt.consecutive_failures,
            crashed: learnt.restart_suspected,
        }
    }
}

impl From<Lesson> for LearnedServer {
    fn from(lesson: Lesson) -> LearnedServer {
        let span = |ms: Option<u64>| ms.map(Duration::from_millis);
        LearnedServer {
            server: lesson.server.as_str().into(),
            started_ago: span(lesson.started),
            concurrency_limit: lesson.cap,
            overloaded_ago: span(lesson.crowded),
            ejected_for: span(lesson.barred),
            ejection_count: lesson.bars,
            consecutive_failures: lesson.strikes,
            restart_suspected: lesson.crashed,
        }
    }
}

/// One message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Said {
    /// The first one of both, and then one every 100 ms.
    Beat(Beat),
    /// Who is out by hand has changed.
    Out,
    /// What was learnt of the transcribers, ahead of the connections.
    Learnt(Vec<Lesson>),
    /// A connection that is up, with both sockets, the client's first.
    Standing(u64, Standing),
    /// A client whose first line is not whole yet; it may take so many more milliseconds.
    First(u64, u64),
    /// The connection of this number is the other's from now on.
    Took(u64),
    /// It is not: the sender keeps it.
    Refused(u64),
}

/// Sends one message, with the bytes and descriptors that belong to it; false if there is no room for it now.
pub fn send(
    link: &Registered<Socket>,
    said: &Said,
    bytes: &[u8],
    fds: &[BorrowedFd<'_>],
) -> io::Result<bool> {
    let mut record = serde_json::to_vec(said)?;
    record.push(b'\n');
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(io::Error::other("too many descriptors"));
    }
    let parts = [IoSlice::new(&record), IoSlice::new(bytes)];
    match sendmsg(
        &**link,
        &parts,
        &mut ancillary,
        SendFlags::NOSIGNAL | SendFlags::DONTWAIT,
    ) {
        Ok(_) => Ok(true),
        Err(rustix::io::Errno::AGAIN) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

/// What came, with its bytes and descriptors.
pub struct Came {
    /// The message.
    pub said: Said,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Its descriptors.
    pub fds: Vec<OwnedFd>,
}

/// Takes one message; `None` if there is none now. The other's end is an error.
pub fn receive(link: &Registered<Socket>) -> io::Result<Option<Came>> {
    let mut bytes = vec![0; LONGEST];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    let got = match recvmsg(
        &**link,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut ancillary,
        flags,
    ) {
        Ok(got) => got,
        Err(rustix::io::Errno::AGAIN) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    if got.bytes == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if got
        .flags
        .intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC)
    {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a message was too long",
        ));
    }
    let fds = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    });
    let fds = fds.flatten().collect();
    bytes.truncate(got.bytes);
    let end = bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(io::ErrorKind::InvalidData)?;
    let said = serde_json::from_slice(&bytes[..end]);
    let said = said.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    bytes.drain(..=end);
    Ok(Some(Came { said, bytes, fds }))
}

/// A socket for packets, not bound yet.
fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Waits for the other process at this path.
pub fn listen(path: &Path) -> io::Result<Socket> {
    let socket = socket()?;
    socket.bind(&SockAddr::unix(path)?)?;
    socket.listen(4)?;
    Ok(socket)
}

/// Reaches the process that waits at this path.
pub fn connect(path: &Path) -> io::Result<Socket> {
    let socket = socket()?;
    socket.connect(&SockAddr::unix(path)?)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
