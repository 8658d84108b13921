//! Messages between the node's components: one enum of commands for each kind of receiver.

use crate::placement_driver::AttemptOrder;
use lupincrank_placement::{Outcome, RequestId};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::ComponentId;
use std::net::TcpStream;
use std::time::Duration;

/// A message to a component. A component ignores commands for another kind of receiver: a relay may have taken over the
/// id of a client connection while the command was queued.
pub(crate) enum Message {
    /// To a client connection.
    Client(ClientCommand),
    /// To a connection that can be transferred to another process: a client connection or a relay.
    Transfer(TransferCommand),
    /// To a connection of a client with a request: a client connection or a relay.
    ClientSocket(ClientSocketCommand),
    /// To an attempt.
    Attempt(AttemptCommand),
    /// To a relay.
    Relay(RelayCommand),
    /// To a health check's connection.
    HealthCheck(HealthCheckCommand),
    /// To the discovery client.
    Discovery(DiscoveryCommand),
    /// To the client listener.
    Listener(ListenerCommand),
    /// To an admin connection.
    AdminConnection(AdminConnectionCommand),
    /// To the handoff.
    Handoff(HandoffCommand),
    /// To the signal receiver.
    Signals(SignalCommand),
    /// To a connection between two nodes of the cluster.
    ClusterConnection(ClusterConnectionCommand),
}

/// Commands to a client connection.
pub(crate) enum ClientCommand {
    /// Start an attempt.
    StartAttempt(AttemptOrder),
    /// Reject the request; the client may retry after this time.
    Reject(Duration),
    /// Answer the request as failed.
    Fail,
    /// The attempt with this id is connected: it may send the first line if the client still waits.
    AttemptConnected(ComponentId),
    /// The attempt's server has accepted the request; contains the connection to it.
    AttemptAccepted(AcceptedAttempt),
    /// The attempt's server has completed the request with a single answer; contains the line for the client.
    AttemptServed(Vec<u8>),
    /// The attempt to restore a connection from before this process's start has failed with this outcome.
    RestoreFailed(Outcome),
    /// The answer to the question whether the claimed id of this client's request is still in use by another request.
    ClaimReport {
        /// The id is in use. If not, the client connection may claim it again.
        is_in_use: bool,
    },
    /// Close: the descriptor is needed for another client.
    Close,
    /// The process exits soon: answer the client if the scope includes this connection.
    AnswerBeforeExit(ExitScope),
}

/// The connections that are answered because the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitScope {
    /// Restored connections that wait for their server.
    RestoredConnections,
    /// Also connections without a first line.
    AllConnections,
}

/// An attempt whose server has accepted the request.
pub(crate) struct AcceptedAttempt {
    /// The request.
    pub(crate) request: RequestId,
    /// The connection to the server.
    pub(crate) stream: Registered<TcpStream>,
    /// The bytes received from the server: the `UP` line and possibly more.
    pub(crate) bytes: Vec<u8>,
}

/// Commands to a connection that is transferred to another process of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferCommand {
    /// Transfer to the successor.
    Start,
    /// The successor has taken the connection over.
    Completed,
    /// The successor has not taken the connection over: it stays in this process.
    Cancelled,
}

/// Commands to a connection of a client with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientSocketCommand {
    /// Read what the client has sent, out of turn: it may have disconnected.
    Read,
}

/// Commands to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptCommand {
    /// The client still waits: send the first line.
    SendFirstLine,
    /// Close: the client does not wait for the answer.
    Close,
}

/// Commands to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayCommand {
    /// Ask the client to reconnect (`MOVE`), between two lines.
    Migrate,
}

/// Commands to a health check's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthCheckCommand {
    /// Check again.
    Check,
    /// Close: the server's address has changed.
    Close,
}

/// Commands to the discovery client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryCommand {
    /// Apply the endpoint list from the configuration file.
    ApplyKnownList,
    /// Watch the endpoint list.
    Watch,
    /// The discovery address in the configuration has changed: connect to the new one.
    AddressChanged,
}

/// Commands to the client listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerCommand {
    /// Stop accepting clients: another process of this node accepts them.
    Pause,
    /// Accept clients again.
    Resume,
    /// The process exits: accept all connections in the accept queue.
    AcceptAll,
}

/// Commands to an admin connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminConnectionCommand {
    /// Close: the descriptor is needed for another admin connection.
    Close,
}

/// Commands to the handoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoffCommand {
    /// Start to accept clients if this process can serve them.
    OpenListener,
    /// Report whether the request id is still in use in this process: the connection of its client has been read.
    ReportClaim {
        /// The request id.
        request: RequestId,
        /// Who asks.
        inquirer: ClaimInquirer,
    },
}

/// Who asks whether a request id is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimInquirer {
    /// A client connection of this process.
    Client(ComponentId),
    /// The other process, in the query with this number.
    OtherProcess(u64),
}

/// Commands to the signal receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalCommand {
    /// Handle pending signals: the event loop may not have been woken for them.
    Check,
}

/// Commands to a connection between two nodes of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClusterConnectionCommand {
    /// Close: the cluster agent has dropped the connection.
    Close,
}

macro_rules! impl_into_message {
    ($($receiver:ident($command:ty)),+ $(,)?) => {
        $(impl From<$command> for Message {
            fn from(command: $command) -> Message {
                Message::$receiver(command)
            }
        })+
    };
}

impl_into_message!(
    Client(ClientCommand),
    Transfer(TransferCommand),
    ClientSocket(ClientSocketCommand),
    Attempt(AttemptCommand),
    Relay(RelayCommand),
    HealthCheck(HealthCheckCommand),
    Discovery(DiscoveryCommand),
    Listener(ListenerCommand),
    AdminConnection(AdminConnectionCommand),
    Handoff(HandoffCommand),
    Signals(SignalCommand),
    ClusterConnection(ClusterConnectionCommand),
);
