//! The printed status of a control node. The serialized keys are part of the operators' interface.

use crate::member::{ClusterId, Member};
use serde::Serialize;

/// Counts of rejected messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedMessages {
    /// Messages from members of a fenced control group.
    pub fenced: u64,
    /// Messages that can't be decoded, are for another incarnation or group, or come from a member that may not send
    /// them.
    #[serde(rename = "strange")]
    pub invalid: u64,
}

/// A line of the printed log.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// The index of the entry.
    pub index: u64,
    /// The Raft term of the entry.
    pub term: u64,
    /// A description of the change that the entry makes.
    #[serde(rename = "what")]
    pub description: String,
}

/// A voter or learner of the control group.
#[derive(Clone, Debug, Serialize)]
pub struct Participant {
    /// The incarnation.
    pub member: Member,
    /// `leader`, `voter` or `learner`.
    pub role: &'static str,
    /// Whether gossip membership reports the member as live.
    pub alive: bool,
    /// The units of the capacity that the member's lease reserves.
    #[serde(rename = "slice")]
    pub lease: u32,
}

/// The status of a control node.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The local node.
    #[serde(rename = "me")]
    pub local_member: Member,
    /// The control group that the node has joined.
    #[serde(rename = "stamp")]
    pub cluster_id: Option<ClusterId>,
    /// The number of entries applied to the state. Unrelated to the epoch in `cluster_id`.
    pub epoch: u64,
    /// The current Raft term.
    pub term: u64,
    /// The index of the last applied entry.
    pub index: u64,
    /// The name of the leader.
    pub leader: Option<String>,
    /// The budget to lease out.
    #[serde(rename = "whole")]
    pub capacity: u32,
    /// The units of the capacity that active leases reserve.
    #[serde(rename = "sum")]
    pub granted: u32,
    /// The units that this node may currently use, its floor included.
    #[serde(rename = "limit")]
    pub lease_limit: u32,
    /// Milliseconds until the node's lease expires, by the node's clock.
    pub lease_ms: Option<u64>,
    /// Counts of rejected messages.
    #[serde(rename = "refused")]
    pub rejected: RejectedMessages,
    /// Voters, then learners.
    #[serde(rename = "parts")]
    pub participants: Vec<Participant>,
}
