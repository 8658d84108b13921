//! Messages between control nodes, and the actions that a control node wants carried out.

use crate::durable::LogWrite;
use crate::lease::LeaseRequest;
use crate::member::{Bootstrap, ClusterId, MemberId};
use crate::membership::MembershipChange;
use serde::{Deserialize, Serialize};

/// A message between control nodes. The order of variants and fields is the encoding: append only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Asks which control group the receiver has joined.
    ClusterQuery,
    /// The control group that the sender has joined, if any.
    KnownCluster(Option<ClusterId>),
    /// Announces a new control group.
    Bootstrap(Bootstrap),
    /// A Raft message as protobuf.
    Raft(ClusterId, Vec<u8>),
    /// Asks the leader for a lease.
    LeaseRequest(ClusterId, LeaseRequest),
    /// The leader grants a lease.
    LeaseGranted {
        /// The group that the leader leads.
        cluster_id: ClusterId,
        /// The number of the request that is granted.
        request_number: u64,
        /// The units that the holder may use.
        limit: u32,
    },
    /// The sender shuts down gracefully and has stopped using its lease.
    Leaving(ClusterId),
    /// The leader tells a member that is leaving that it is no longer part of the group.
    Removed(ClusterId),
    /// Asks the leader for another capacity of the budget.
    Capacity(ClusterId, u32),
}

impl ControlMessage {
    /// The group whose members alone may act on the message; `None` for those that are for any node.
    pub(crate) fn cluster_id(&self) -> Option<ClusterId> {
        match self {
            ControlMessage::ClusterQuery
            | ControlMessage::KnownCluster(_)
            | ControlMessage::Bootstrap(_) => None,
            ControlMessage::Raft(cluster_id, _)
            | ControlMessage::LeaseRequest(cluster_id, _)
            | ControlMessage::LeaseGranted { cluster_id, .. }
            | ControlMessage::Leaving(cluster_id)
            | ControlMessage::Removed(cluster_id)
            | ControlMessage::Capacity(cluster_id, _) => Some(*cluster_id),
        }
    }
}

/// An event for the program's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// This node bootstraps a control group.
    Bootstrapping(ClusterId),
    /// This node has joined a control group.
    JoinedCluster(ClusterId),
    /// The known leader changed; `None` if there is none.
    LeaderChanged(Option<MemberId>),
    /// This node, as leader, proposed a change of the membership.
    ChangingMembership(MembershipChange),
    /// The units that this node may use have changed.
    LeaseLimitChanged(u32),
    /// The lease of this node has expired, or was given back or revoked.
    LeaseExpired,
    /// The log is inconsistent: this incarnation takes no further part.
    LogInconsistent,
}

/// What a control node wants carried out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: ControlMessage,
    },
    /// Write to stable storage, then call `ControlNode::on_write_completed`. Only with persistence.
    Write(LogWrite),
    /// Log an event.
    Log(LogEvent),
}
