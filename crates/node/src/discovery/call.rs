//! One HTTP call to the discovery service that opens a watch: a response without end, whose body is one JSON object for
//! each change of the endpoint list.

use super::chunked::{BodyState, ChunkError, ChunkedDecoder};
use super::endpoint_list::EndpointListError;
use super::json_stream::{JsonStream, JsonStreamError};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::Interest;
use polling::Poller;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Instant, SystemTime};
use thiserror::Error;

/// The longest response head that is read.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Header fields that a response may have.
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

/// Why a call to the discovery service has failed.
#[derive(Debug, Error)]
pub(crate) enum DiscoveryError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The service closed the connection.
    #[error("it ended the connection")]
    ConnectionClosed,
    /// The service ended the response.
    #[error("the watch ended")]
    WatchEnded,
    /// The connection, the answer or the next part of the list is overdue.
    #[error("nothing came in time")]
    TimedOut,
    /// The response head can't be read.
    #[error(transparent)]
    ResponseHead(#[from] httparse::Error),
    /// The response head is longer than any that is read.
    #[error("the head is too long")]
    HeadTooLong,
    /// The response does not open a watch.
    #[error("status {0}")]
    Status(u16),
    /// The response is not in the chunked coding.
    #[error("the answer is not chunked")]
    NotChunked,
    /// The body is not in the chunked coding.
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
}

/// How far a call has come.
enum CallPhase {
    /// The connection is not established yet.
    Connecting,
    /// What was received of the response head.
    ResponseHead(Vec<u8>),
    /// The body is received: the call is a watch.
    Watching(WatchBody),
}

/// The body of a watch.
#[derive(Default)]
struct WatchBody {
    decoder: ChunkedDecoder,
    json_stream: JsonStream,
}

/// Whether the request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteState {
    /// All of it was.
    Sent,
    /// The socket takes no more for now.
    Pending,
}

/// What was added to the body of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Data was received, if only an empty line.
    pub(crate) has_data: bool,
    /// An object had begun before it.
    pub(crate) had_partial_object: bool,
    /// Whether the body goes on.
    pub(crate) state: BodyState,
}

/// The head of a response that opens a watch.
struct WatchHead {
    /// Its length in bytes.
    length: usize,
    /// The service's wall clock when it answered, to the second, if it tells that.
    date: Option<SystemTime>,
}

/// A response head was received to its end.
pub(crate) struct WatchStart {
    /// The bytes after it, which belong to the body.
    pub(crate) body: Vec<u8>,
    /// The service's wall clock when it answered, to the second, if it tells that.
    pub(crate) date: Option<SystemTime>,
}

/// A call to the discovery service.
pub(crate) struct Call {
    started_at: Instant,
    stream: Registered<TcpStream>,
    unsent: Vec<u8>,
    phase: CallPhase,
}

impl Call {
    /// Begins to connect, for a watch of the list from this version on. `key` is the poller's key of the socket.
    ///
    /// # Errors
    /// Where no connection can be begun.
    pub(crate) fn start(
        poller: &Rc<Poller>,
        key: usize,
        address: SocketAddr,
        version: u64,
        now: Instant,
    ) -> io::Result<Call> {
        let request = format!(
            "GET /v1/endpoints?watch=1&from={version} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        Ok(Call {
            started_at: now,
            stream: poll::connect(poller, address, key)?,
            unsent: request.into_bytes(),
            phase: CallPhase::Connecting,
        })
    }

    /// When the call was made.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether the connection is not established yet.
    pub(crate) fn is_connecting(&self) -> bool {
        matches!(self.phase, CallPhase::Connecting)
    }

    /// Whether the response head was received, so that the call is a watch.
    pub(crate) fn is_watching(&self) -> bool {
        matches!(self.phase, CallPhase::Watching(_))
    }

    /// Whether an object of the body has begun and not ended.
    pub(crate) fn has_partial_object(&self) -> bool {
        match &self.phase {
            CallPhase::Watching(body) => body.json_stream.has_partial_object(),
            CallPhase::Connecting | CallPhase::ResponseHead(_) => false,
        }
    }

    /// The socket has reported the outcome of the connect.
    ///
    /// # Errors
    /// Where the connection was not established.
    pub(crate) fn finish_connect(&mut self) -> Result<(), DiscoveryError> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error.into());
        }
        self.phase = CallPhase::ResponseHead(Vec::new());
        Ok(())
    }

    /// Writes what is left of the request; once all is written, the socket is read.
    ///
    /// # Errors
    /// Where the connection fails.
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

    /// Reads bytes of the response; `None` if there are none now.
    ///
    /// # Errors
    /// Where the connection fails or is closed by the service.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> Result<Option<usize>, DiscoveryError> {
        match self.stream.read(buffer) {
            Ok(0) => Err(DiscoveryError::ConnectionClosed),
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Adds bytes to the response head. Once it is complete the call is a watch; `None` while it is incomplete.
    ///
    /// # Errors
    /// Where the response does not open a watch.
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
    /// Where they are not in the chunked coding.
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
    /// Where the body is not a stream of JSON objects.
    pub(crate) fn next_object(&mut self) -> Result<Option<Vec<u8>>, DiscoveryError> {
        match &mut self.phase {
            CallPhase::Watching(body) => Ok(body.json_stream.next_object()?),
            CallPhase::Connecting | CallPhase::ResponseHead(_) => Ok(None),
        }
    }
}

/// A complete response head that opens a watch; `None` while it is incomplete.
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

/// The time of a `Date` header. One that can't be read tells nothing.
fn parse_date(header: &httparse::Header<'_>) -> Option<SystemTime> {
    if !header.name.eq_ignore_ascii_case("date") {
        return None;
    }
    let value = std::str::from_utf8(header.value).ok()?;
    httpdate::parse_http_date(value).ok()
}
