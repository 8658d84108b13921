//! The messages between two processes of one node, encoded as JSON. The two processes may run different builds, so the
//! JSON names must not change.

use super::machine_time::MachineTime;
use super::request_table::ClientCounts;
use crate::discovery::endpoint_list::ListedEndpoint;
use lupincrank_placement::learned_state::LearnedServer;
use serde::{Deserialize, Serialize};
use std::ops::Not;
use std::sync::Arc;
use std::time::Duration;

/// The version of the messages. Two processes with different versions exchange no connections.
pub(crate) const PROTOCOL_VERSION: u32 = 3;

/// A message from one process of a node to the other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum HandoffMessage {
    /// The first message of each process, repeated every 100 ms.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// A server was drained or released, so the file of admin drains has changed.
    #[serde(rename = "Out")]
    AdminDrainChanged,
    /// The state that the sender has learned about servers; several messages if there are many. It is sent to a successor
    /// that shares its endpoint list once the two are connected, and to any successor before the connections.
    #[serde(rename = "Learnt")]
    LearnedState(Vec<LearnedServerRecord>),
    /// A connection with both of its sockets, the client's socket first. Its buffered bytes follow the message.
    #[serde(rename = "Standing")]
    Connection(ConnectionTransfer),
    /// A client whose first line is incomplete, with its socket. The received bytes of the line follow the message.
    #[serde(rename = "First")]
    UnidentifiedClient(UnidentifiedClientTransfer),
    /// The sender of this message has accepted the connection with this number and owns it.
    #[serde(rename = "Took")]
    Accepted(u64),
    /// The connection with this number was rejected; the process that offered it still owns it.
    #[serde(rename = "Refused")]
    Rejected(u64),
    /// Asks whether a request id that the receiver has claimed is still in use. Sent only to a process whose heartbeat
    /// says that it answers.
    #[serde(rename = "Holds")]
    ClaimQuery(ClaimQuery),
    /// The answer to a query.
    #[serde(rename = "Held")]
    ClaimReport(ClaimReport),
    /// A part of the sender's endpoint list, or of changes that discovery has sent it. Sent only to a process whose
    /// heartbeat says that it shares its list.
    #[serde(rename = "List")]
    EndpointList(EndpointListPart),
}

/// The state that a process reports periodically.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Heartbeat {
    /// The sender's [`PROTOCOL_VERSION`].
    pub(crate) version: u32,
    /// Number of clients with a request.
    #[serde(rename = "clients")]
    pub(crate) client_count: usize,
    /// Number of clients that have not sent a request or have received their answer.
    #[serde(rename = "strangers")]
    pub(crate) unidentified_count: usize,
    /// The process accepts clients.
    #[serde(rename = "open")]
    pub(crate) accepts_clients: bool,
    /// The process answers [`HandoffMessage::ClaimQuery`]. Builds that do not know this message omit the field.
    #[serde(rename = "confirms", default, skip_serializing_if = "Not::not")]
    pub(crate) answers_claim_queries: bool,
    /// The process sends and receives [`HandoffMessage::EndpointList`]. Builds that do not know this message omit the
    /// field.
    #[serde(rename = "lists", default, skip_serializing_if = "Not::not")]
    pub(crate) shares_endpoint_lists: bool,
}

impl From<Heartbeat> for ClientCounts {
    fn from(heartbeat: Heartbeat) -> ClientCounts {
        ClientCounts {
            clients: heartbeat.client_count,
            unidentified: heartbeat.unidentified_count,
        }
    }
}

/// A question about a request id.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) struct ClaimQuery {
    /// The number that the answer refers to.
    pub(crate) number: u64,
    /// The request id.
    pub(crate) request: u64,
}

/// The answer to a [`ClaimQuery`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) struct ClaimReport {
    /// The number of the query.
    pub(crate) number: u64,
    /// The id is in use in the process that answers. If not, the inquirer may claim it again.
    #[serde(rename = "held")]
    pub(crate) is_in_use: bool,
}

/// A part of an endpoint list. All parts of a list but for `index` and `endpoints` are alike.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EndpointListPart {
    /// How often discovery was seen to begin its versions anew.
    pub(crate) generation: u32,
    /// Discovery's version of the sender's list.
    #[serde(rename = "seq")]
    pub(crate) version: u64,
    /// For changes, the version of the sender's list before them; `None` for a complete list.
    #[serde(rename = "after")]
    pub(crate) previous_version: Option<u64>,
    /// When discovery confirmed the list.
    #[serde(rename = "confirmed_ns")]
    pub(crate) confirmed_at: MachineTime,
    /// The number of this part, from 0.
    #[serde(rename = "part")]
    pub(crate) index: u32,
    /// The number of parts.
    #[serde(rename = "parts")]
    pub(crate) count: u32,
    /// The endpoints of this part.
    #[serde(rename = "hosts")]
    pub(crate) endpoints: Vec<Arc<ListedEndpoint>>,
}

/// An offered connection and its number, encoded as a JSON array of number and connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    from = "(u64, TransferredConnection)",
    into = "(u64, TransferredConnection)"
)]
pub(crate) struct ConnectionTransfer {
    /// The number that the answer refers to.
    pub(crate) number: u64,
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

/// An offered client whose first line is incomplete, encoded as a JSON array of the two fields.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub(crate) struct UnidentifiedClientTransfer {
    /// The number that the answer refers to.
    pub(crate) number: u64,
    /// Time left for the client to complete its first line, in milliseconds.
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
    /// The id of the request.
    pub(crate) request: u64,
    /// The name of the request's class.
    pub(crate) class: String,
    /// The request's group.
    pub(crate) group: Option<String>,
    /// The request's key.
    pub(crate) key: Option<String>,
    /// Whether the client had reconnected after a broken connection or a migration.
    #[serde(rename = "returned")]
    pub(crate) is_reconnect: bool,
    /// The server's id.
    pub(crate) server: String,
    /// The load last reported for the connection, in microseconds of work per second.
    pub(crate) load_us: Option<u64>,
    /// The time since each unanswered line of the client was relayed to the server, in milliseconds.
    pub(crate) unanswered_ms: Vec<u64>,
    /// The lengths of the buffers in the bytes that follow the message.
    pub(crate) lengths: BufferLengths,
}

/// The lengths of a connection's buffers, whose bytes follow the message in this order. Encoded as a JSON array.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "[usize; 3]", into = "[usize; 3]")]
pub(crate) struct BufferLengths {
    /// Bytes to be sent to the server.
    pub(crate) to_server: usize,
    /// Bytes to be sent to the client.
    pub(crate) to_client: usize,
    /// The start of an incomplete line from the server.
    pub(crate) partial_line: usize,
}

impl BufferLengths {
    /// Returns the total length of the buffers, or `None` if it overflows.
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

/// The learned state of one server: see [`LearnedServer`]. Durations are in milliseconds.
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

/// The size of a [`LearnedServerRecord`] in a message, without the server's id.
const BARE_LEARNED_SERVER_BYTES: usize = 200;

impl LearnedServerRecord {
    /// The estimated size of the record in a message, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        BARE_LEARNED_SERVER_BYTES + self.server.len()
    }
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
