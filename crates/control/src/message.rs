//! What nodes say to each other of the council, and what one of them wants carried out.

use crate::durable::LogWrite;
use crate::lease::LeaseRequest;
use crate::member::{Bootstrap, ClusterId};
use crate::voters::Change;
use serde::{Deserialize, Serialize};

/// What nodes say to each other of the council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Do you know a council?
    ClusterQuery,
    /// The greatest that the sender knows, if any.
    KnownCluster(Option<ClusterId>),
    /// A council begins.
    Bootstrap(Bootstrap),
    /// Of the log.
    Raft(ClusterId, Vec<u8>),
    /// A slice is asked for.
    LeaseRequest(ClusterId, LeaseRequest),
    /// It is granted: the number of the request, and the slice.
    LeaseGranted(ClusterId, u64, u32),
    /// The sender ends in good order.
    Leaving(ClusterId),
    /// To one that leaves: it takes part no more.
    Removed(ClusterId),
    /// To the leader: another capacity is to be handed out.
    Capacity(ClusterId, u32),
}

/// What a person who reads the log should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// This node founds a council.
    Bootstrapping(ClusterId),
    /// This node takes part in a council.
    JoinedCluster(ClusterId),
    /// Another leader, or none.
    LeaderChanged(Option<u64>),
    /// The leader changes who takes part.
    ChangingMembership(Change),
    /// What this node may use has changed.
    LeaseLimitChanged(u32),
    /// Its lease has run out.
    LeaseExpired,
    /// The log broke its own rules: this incarnation takes no part any more.
    LogInconsistent,
}

/// What is to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the member with this id.
    Send {
        /// The incarnation that it is for.
        to: u64,
        /// The message.
        message: ControlMessage,
    },
    /// Onto the disk, where there is a folder.
    Write(LogWrite),
    /// For people.
    Log(LogEvent),
}
