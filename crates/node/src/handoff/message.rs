//! The messages between two processes of one node, as JSON. Names in the JSON are those of the first version and stay.

use lupincrank_placement::learned_state::LearnedServer;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The version of the messages; a process with another one is not understood.
pub(crate) const PROTOCOL_VERSION: u32 = 3;

/// One message from one process of a node to the other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum HandoffMessage {
    /// Each process's first message, then sent every 100 ms.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// An operator has drained or released a server: the file of admin drains has changed.
    #[serde(rename = "Out")]
    AdminDrainChanged,
    /// What the sender has learned of servers, ahead of its connections.
    #[serde(rename = "Learnt")]
    LearnedState(Vec<LearnedServerRecord>),
    /// A connection with both of its sockets, the client's first. Its buffered bytes follow the message.
    #[serde(rename = "Standing")]
    Connection(ConnectionTransfer),
    /// A client whose first line is incomplete, with its socket. The bytes of that line follow the message.
    #[serde(rename = "First")]
    UnidentifiedClient(UnidentifiedClientTransfer),
    /// The connection of this number belongs to the sender of this message from now on.
    #[serde(rename = "Took")]
    Accepted(u64),
    /// The connection of this number stays with the process that offered it.
    #[serde(rename = "Refused")]
    Rejected(u64),
}

/// What a process holds and does.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Heartbeat {
    /// See [`PROTOCOL_VERSION`].
    pub(crate) version: u32,
    /// Clients with a request.
    #[serde(rename = "clients")]
    pub(crate) client_count: usize,
    /// Clients that have asked for nothing yet or have their answer.
    #[serde(rename = "strangers")]
    pub(crate) unidentified_count: usize,
    /// The process accepts clients.
    #[serde(rename = "open")]
    pub(crate) accepts_clients: bool,
}

/// A connection offered under a number. In JSON it is an array of both.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    from = "(u64, TransferredConnection)",
    into = "(u64, TransferredConnection)"
)]
pub(crate) struct ConnectionTransfer {
    /// The number that the answer names.
    pub(crate) number: u64,
    /// The connection.
    pub(crate) connection: TransferredConnection,
}

impl From<(u64, TransferredConnection)> for ConnectionTransfer {
    fn from((number, connection): (u64, TransferredConnection)) -> ConnectionTransfer {
        ConnectionTransfer { number, connection }
    }
}

impl From<ConnectionTransfer> for (u64, TransferredConnection) {
    fn from(transfer: ConnectionTransfer) -> (u64, TransferredConnection) {
        (transfer.number, transfer.connection)
    }
}

/// A client whose first line is incomplete, offered under a number. In JSON it is an array of both numbers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub(crate) struct UnidentifiedClientTransfer {
    /// The number that the answer names.
    pub(crate) number: u64,
    /// Milliseconds in which the first line has to be complete.
    pub(crate) remaining_ms: u64,
}

impl From<(u64, u64)> for UnidentifiedClientTransfer {
    fn from((number, remaining_ms): (u64, u64)) -> UnidentifiedClientTransfer {
        UnidentifiedClientTransfer {
            number,
            remaining_ms,
        }
    }
}

impl From<UnidentifiedClientTransfer> for (u64, u64) {
    fn from(transfer: UnidentifiedClientTransfer) -> (u64, u64) {
        (transfer.number, transfer.remaining_ms)
    }
}

/// An established connection between a client and its server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TransferredConnection {
    /// The request's id.
    pub(crate) request: u64,
    /// The name of the request's class.
    pub(crate) class: String,
    /// The request's group.
    pub(crate) group: Option<String>,
    /// The request's key.
    pub(crate) key: Option<String>,
    /// Whether the client had connected anew after a broken connection or a migration.
    #[serde(rename = "returned")]
    pub(crate) is_reconnect: bool,
    /// The server's id.
    pub(crate) server: String,
    /// The load last reported for the connection, in microseconds of work a second.
    pub(crate) load_us: Option<u64>,
    /// For each line of the client without an answer: how long ago it was sent on.
    pub(crate) unanswered_ms: Vec<u64>,
    /// How the bytes that follow the message are divided.
    pub(crate) lengths: BufferLengths,
}

/// The lengths of a connection's buffers, whose bytes follow the message in this order. In JSON it is an array.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "[usize; 3]", into = "[usize; 3]")]
pub(crate) struct BufferLengths {
    /// Bytes that wait for the server.
    pub(crate) to_server: usize,
    /// Bytes that wait for the client.
    pub(crate) to_client: usize,
    /// The start of a line of the server.
    pub(crate) partial_line: usize,
}

impl BufferLengths {
    /// The length of all buffers together; `None` where it is not a number of this machine.
    pub(crate) fn total(self) -> Option<usize> {
        self.to_server
            .checked_add(self.to_client)?
            .checked_add(self.partial_line)
    }
}

impl From<[usize; 3]> for BufferLengths {
    fn from([to_server, to_client, partial_line]: [usize; 3]) -> BufferLengths {
        BufferLengths {
            to_server,
            to_client,
            partial_line,
        }
    }
}

impl From<BufferLengths> for [usize; 3] {
    fn from(lengths: BufferLengths) -> [usize; 3] {
        [lengths.to_server, lengths.to_client, lengths.partial_line]
    }
}

/// What was learned of one server: see [`LearnedServer`]. Spans are milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct LearnedServerRecord {
    server: String,
    #[serde(rename = "started")]
    started_ago: Option<u64>,
    #[serde(rename = "cap")]
    concurrency_limit: Option<f64>,
    #[serde(rename = "crowded")]
    overloaded_ago: Option<u64>,
    #[serde(rename = "barred")]
    ejected_for: Option<u64>,
    #[serde(rename = "bars")]
    ejection_count: u32,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    #[serde(rename = "crashed")]
    restart_suspected: bool,
}

impl From<LearnedServer> for LearnedServerRecord {
    fn from(learned: LearnedServer) -> LearnedServerRecord {
        LearnedServerRecord {
            server: learned.server.0.to_string(),
            started_ago: learned.started_ago.map(milliseconds),
            concurrency_limit: learned.concurrency_limit,
            overloaded_ago: learned.overloaded_ago.map(milliseconds),
            ejected_for: learned.ejected_for.map(milliseconds),
            ejection_count: learned.ejection_count,
            consecutive_failures: learned.consecutive_failures,
            restart_suspected: learned.restart_suspected,
        }
    }
}

impl From<LearnedServerRecord> for LearnedServer {
    fn from(record: LearnedServerRecord) -> LearnedServer {
        LearnedServer {
            server: record.server.as_str().into(),
            started_ago: record.started_ago.map(Duration::from_millis),
            concurrency_limit: record.concurrency_limit,
            overloaded_ago: record.overloaded_ago.map(Duration::from_millis),
            ejected_for: record.ejected_for.map(Duration::from_millis),
            ejection_count: record.ejection_count,
            consecutive_failures: record.consecutive_failures,
            restart_suspected: record.restart_suspected,
        }
    }
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
