//! What the node's components tell each other: one enum of commands for each kind of receiver.

use crate::placement_driver::AttemptOrder;
use lupincrank_placement::{Outcome, RequestId};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::ComponentId;
use std::net::TcpStream;
use std::time::Duration;

/// A message to a component. A component ignores commands to another kind of receiver: its id may have passed from a
/// client connection to a relay while the command was on its way.
pub(crate) enum Message {
    /// To a client connection.
    Client(ClientCommand),
    /// To a connection that can be transferred to another process: a client connection or a relay.
    Transfer(TransferCommand),
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
    /// To the receiver of signals.
    Signals(SignalCommand),
    /// To a connection between two nodes of the cluster.
    ClusterConnection(ClusterConnectionCommand),
}

/// Commands to a client connection.
pub(crate) enum ClientCommand {
    /// Start an attempt.
    StartAttempt(AttemptOrder),
    /// Reject the request; the client may come again after this time.
    Reject(Duration),
    /// End the request as failed.
    Fail,
    /// The attempt of this id has its connection: its line may be sent if the client still waits.
    AttemptConnected(ComponentId),
    /// The attempt's server has accepted the request; the connection comes along.
    AttemptAccepted(AcceptedAttempt),
    /// The attempt's server has served the request to its end at once; the line for the client.
    AttemptServed(Vec<u8>),
    /// The attempt to restore a connection from before this process's start has ended like this.
    RestoreFailed(Outcome),
    /// Close: the descriptor is needed for another client.
    Close,
    /// The process exits soon: answer if this connection is among those that are to be answered now.
    AnswerBeforeExit(ExitScope),
}

/// Which connections are answered because the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitScope {
    /// Restored ones that wait for their server.
    RestoredConnections,
    /// Those that rest without a first line too.
    AllConnections,
}

/// An attempt whose server has accepted the request.
pub(crate) struct AcceptedAttempt {
    /// The request.
    pub(crate) request: RequestId,
    /// The connection to the server.
    pub(crate) stream: Registered<TcpStream>,
    /// What has been received on it: the `UP` line and perhaps more.
    pub(crate) bytes: Vec<u8>,
}

/// Commands to a connection that is to go over to another process of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferCommand {
    /// Transfer to the successor.
    Start,
    /// The successor has taken the connection over.
    Completed,
    /// The successor has not taken it: it stays here.
    Cancelled,
}

/// Commands to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptCommand {
    /// The client still waits: send the first line.
    SendFirstLine,
    /// Close: nobody waits for the answer.
    Close,
}

/// Commands to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayCommand {
    /// Send the client away between two lines; it connects anew.
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
    /// Apply the endpoint list that the configuration holds.
    ApplyKnownList,
    /// Watch the endpoint list.
    Watch,
    /// The configuration names another address: connect there.
    AddressChanged,
}

/// Commands to the client listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerCommand {
    /// Accept no clients for now: another process does.
    Pause,
    /// Accept clients again.
    Resume,
    /// The process exits: accept all that waits now.
    AcceptAll,
}

/// Commands to an admin connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminConnectionCommand {
    /// Close: the descriptor is needed for another one.
    Close,
}

/// Commands to the handoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoffCommand {
    /// Accept clients if this process can serve them now.
    OpenListener,
}

/// Commands to the receiver of signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalCommand {
    /// Handle the signals that have come: the event loop may not have been woken for them.
    Check,
}

/// Commands to a connection between two nodes of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClusterConnectionCommand {
    /// Close: the cluster agent has dropped the connection.
    Close,
}

macro_rules! wrapped_in_message {
    ($($receiver:ident($command:ty)),+ $(,)?) => {
        $(impl From<$command> for Message {
            fn from(command: $command) -> Message {
                Message::$receiver(command)
            }
        })+
    };
}

wrapped_in_message!(
    Client(ClientCommand),
    Transfer(TransferCommand),
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
