//! Messages between control nodes, and the actions that a control node returns to its caller.

use crate::durable::LogWrite;
use crate::lease::LeaseRequest;
use crate::member::{Bootstrap, ClusterId, MemberId};
use crate::membership::MembershipChange;
use serde::{Deserialize, Serialize};

/// A message between control nodes. The encoding depends on the order of variants and fields, so new ones may only be
/// appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Queries which control group the receiver has joined.
    ClusterQuery,
    /// The control group that the sender has joined, if any.
    KnownCluster(Option<ClusterId>),
    /// Announces a new control group.
    Bootstrap(Bootstrap),
    /// A Raft message, encoded as protobuf.
    Raft(ClusterId, Vec<u8>),
    /// Requests a lease from the leader.
    LeaseRequest(ClusterId, LeaseRequest),
    /// The leader grants a lease.
    LeaseGranted {
        /// The group that the leader leads.
        cluster_id: ClusterId,
        /// The number of the granted request.
        request_number: u64,
        /// The units that the holder may use.
        limit: u32,
    },
    /// The sender is shutting down gracefully and has stopped using its lease.
    Leaving(ClusterId),
    /// The leader confirms to a leaving member that the member has been removed from the group.
    Removed(ClusterId),
    /// Requests that the leader change the capacity of the budget.
    Capacity(ClusterId, u32),
}

impl ControlMessage {
    /// The group that the message is restricted to; `None` if any node may process the message.
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
    /// This node is bootstrapping a control group.
    Bootstrapping(ClusterId),
    /// This node has joined a control group.
    JoinedCluster(ClusterId),
    /// The known leader changed; `None` if there is none.
    LeaderChanged(Option<MemberId>),
    /// This node, as leader, proposed a membership change.
    ChangingMembership(MembershipChange),
    /// The units that this node may use have changed.
    LeaseLimitChanged(u32),
    /// The lease of this node has expired, was released, or was revoked.
    LeaseExpired,
    /// The log is inconsistent or stable storage was lost: this incarnation has stopped participating.
    LogInconsistent,
}

/// An action for the caller of a control node. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed.
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
