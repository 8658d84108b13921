//! One HTTP call to discovery that opens a watch: an endless response whose body contains one JSON object for each
//! change of the endpoint list.

use super::chunked::{BodyState, ChunkError, ChunkedDecoder};
use super::endpoint_list::EndpointListError;
use super::json_stream::{JsonStream, JsonStreamError};
use super::merged_list::WatchPosition;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::Interest;
use polling::Poller;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Instant, SystemTime};
use thiserror::Error;

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

/// A call to discovery has failed.
#[derive(Debug, Error)]
pub(crate) enum DiscoveryError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Discovery closed the connection.
    #[error("discovery closed the connection")]
    ConnectionClosed,
    /// Discovery ended the response.
    #[error("discovery ended the watch")]
    WatchEnded,
    /// The connection, the answer or the next part of the list was not received in time.
    #[error("discovery did not answer in time")]
    TimedOut,
    /// The response head is invalid.
    #[error(transparent)]
    ResponseHead(#[from] httparse::Error),
    /// The response head is longer than [`MAX_HEAD_BYTES`].
    #[error("response head of discovery is longer than 16 KiB")]
    HeadTooLong,
    /// The status of the response is not 200.
    #[error("discovery answered with HTTP status {0}")]
    Status(u16),
    /// The response does not use the chunked transfer coding.
    #[error("response of discovery is not chunked")]
    NotChunked,
    /// The chunked transfer coding of the body is invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The body is not a stream of JSON objects.
    #[error(transparent)]
    JsonStream(#[from] JsonStreamError),
    /// An object is not an update of the endpoint list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The endpoint list can't be applied.
    #[error(transparent)]
    EndpointList(#[from] EndpointListError),
    /// The complete list is older than what discovery told the other process of the node. Either it is late, or discovery
    /// has begun its versions anew; the answer to a call from the newer version tells which.
    #[error("list of discovery is older than that of the other process")]
    OutdatedList,
}

/// The progress of a call.
enum CallPhase {
    /// The connection is not established yet.
    Connecting,
    /// The request is being sent, or the response head received. Contains the received part of the head.
    ResponseHead(Vec<u8>),
    /// The response head is complete, so the call is a watch and receives the body.
    Watching(WatchBody),
}

/// The body of a watch.
#[derive(Default)]
struct WatchBody {
    decoder: ChunkedDecoder,
    json_stream: JsonStream,
}

/// The progress of sending the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteState {
    /// The request was sent completely.
    Sent,
    /// The socket buffer is full.
    Pending,
}

/// The effect of bytes that were added to the body of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// The bytes contain data, if only an empty line.
    pub(crate) has_data: bool,
    /// The body ended with an incomplete object before these bytes.
    pub(crate) had_partial_object: bool,
    /// Whether the body has ended.
    pub(crate) state: BodyState,
}

/// The head of a response that opens a watch.
struct WatchHead {
    /// The length of the head in bytes.
    length: usize,
    /// The wall clock time of the answer according to discovery, with a resolution of 1 s, if the response contains it.
    date: Option<SystemTime>,
}

/// The result of a complete response head.
pub(crate) struct WatchStart {
    /// The bytes after the head, which belong to the body.
    pub(crate) body: Vec<u8>,
    /// The wall clock time of the answer according to discovery, with a resolution of 1 s, if the response contains it.
    pub(crate) date: Option<SystemTime>,
}

/// A call to discovery.
pub(crate) struct Call {
    started_at: Instant,
    /// The position from which the list is watched: the one in the request, then that of the last update.
    position: WatchPosition,
    stream: Registered<TcpStream>,
    unsent: Vec<u8>,
    phase: CallPhase,
}

impl Call {
    /// Starts to connect, for a watch of the list from this position on. `key` is the socket's key in the poller.
    ///
    /// # Errors
    /// If the connection can't be started.
    pub(crate) fn start(
        poller: &Rc<Poller>,
        key: usize,
        address: SocketAddr,
        position: WatchPosition,
        now: Instant,
    ) -> io::Result<Call> {
        let version = position.list.version;
        let request = format!(
            "GET /v1/endpoints?watch=1&from={version} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        Ok(Call {
            started_at: now,
            position,
            stream: poll::connect(poller, address, key)?,
            unsent: request.into_bytes(),
            phase: CallPhase::Connecting,
        })
    }

    /// The time when the call was started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// The position from which the list is watched; advanced with each update.
    pub(crate) fn position_mut(&mut self) -> &mut WatchPosition {
        &mut self.position
    }

    /// Returns true while the connection is not established.
    pub(crate) fn is_connecting(&self) -> bool {
        matches!(self.phase, CallPhase::Connecting)
    }

    /// Returns true if the response head is complete, so that the call is a watch.
    pub(crate) fn is_watching(&self) -> bool {
        matches!(self.phase, CallPhase::Watching(_))
    }

    /// Returns true if the received part of the body ends with an incomplete object.
    pub(crate) fn has_partial_object(&self) -> bool {
        match &self.phase {
            CallPhase::Watching(body) => body.json_stream.has_partial_object(),
            CallPhase::Connecting | CallPhase::ResponseHead(_) => false,
        }
    }

    /// Checks the result of the connect, which the socket has reported.
    ///
    /// # Errors
    /// If the connection was not established.
    pub(crate) fn finish_connect(&mut self) -> Result<(), DiscoveryError> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error.into());
        }
        self.phase = CallPhase::ResponseHead(Vec::new());
        Ok(())
    }

    /// Sends the rest of the request. When it is sent completely, the interest of the socket changes to reading.
    ///
    /// # Errors
    /// If the connection fails.
    pub(crate) fn send_request(&mut self) -> Result<WriteState, DiscoveryError> {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(length) => drop(self.unsent.drain(..length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(WriteState::Pending);
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.stream.set_interest(Interest::READ)?;
        Ok(WriteState::Sent)
    }

    /// Reads bytes of the response. Returns `None` if none have arrived.
    ///
    /// # Errors
    /// If the connection fails or is closed by discovery.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> Result<Option<usize>, DiscoveryError> {
        match self.stream.read(buffer) {
            Ok(0) => Err(DiscoveryError::ConnectionClosed),
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Adds bytes to the response head. Returns `None` while it is incomplete. When it is complete, the call is a watch.
    ///
    /// # Errors
    /// If the response does not open a watch.
    pub(crate) fn receive_head(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<WatchStart>, DiscoveryError> {
        let CallPhase::ResponseHead(head) = &mut self.phase else {
            return Ok(None);
        };
        head.extend_from_slice(bytes);
        let Some(WatchHead { length, date }) = parse_watch_head(head)? else {
            return Ok(None);
        };
        let body = head.split_off(length);
        self.phase = CallPhase::Watching(WatchBody::default());
        Ok(Some(WatchStart { body, date }))
    }

    /// Adds bytes to the body of the watch.
    ///
    /// # Errors
    /// If the chunked transfer coding is invalid.
    pub(crate) fn receive_body(&mut self, bytes: &[u8]) -> Result<BodyProgress, DiscoveryError> {
        let CallPhase::Watching(body) = &mut self.phase else {
            return Err(DiscoveryError::WatchEnded);
        };
        let mut data = Vec::new();
        let state = body.decoder.decode(bytes, &mut data)?;
        let had_partial_object = body.json_stream.has_partial_object();
        body.json_stream.push(&data);
        Ok(BodyProgress {
            has_data: !data.is_empty(),
            had_partial_object,
            state,
        })
    }

    /// Removes and returns the next complete object of the body.
    ///
    /// # Errors
    /// If the body is not a stream of JSON objects.
    pub(crate) fn next_object(&mut self) -> Result<Option<Vec<u8>>, DiscoveryError> {
        match &mut self.phase {
            CallPhase::Watching(body) => Ok(body.json_stream.next_object()?),
            CallPhase::Connecting | CallPhase::ResponseHead(_) => Ok(None),
        }
    }
}

/// Parses a response head that opens a watch. Returns `None` while it is incomplete.
fn parse_watch_head(bytes: &[u8]) -> Result<Option<WatchHead>, DiscoveryError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => return Err(DiscoveryError::HeadTooLong),
    };
    let status = response.code.unwrap_or(0);
    if status != STATUS_OK {
        return Err(DiscoveryError::Status(status));
    }
    if !response.headers.iter().any(is_chunked_coding) {
        return Err(DiscoveryError::NotChunked);
    }
    let date = response.headers.iter().find_map(parse_date);
    Ok(Some(WatchHead { length, date }))
}

fn is_chunked_coding(header: &httparse::Header<'_>) -> bool {
    header.name.eq_ignore_ascii_case("transfer-encoding")
        && header.value.eq_ignore_ascii_case(b"chunked")
}

/// Returns the time of a `Date` header. An invalid one is ignored.
fn parse_date(header: &httparse::Header<'_>) -> Option<SystemTime> {
    if !header.name.eq_ignore_ascii_case("date") {
        return None;
    }
    let value = std::str::from_utf8(header.value).ok()?;
    httpdate::parse_http_date(value).ok()
}
