//! The status of a control node, as it is printed. The serialized keys are part of the operators' interface.

use crate::member::{ClusterId, Member};
use serde::Serialize;

/// Counts of messages that were rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedMessages {
    /// From members of a control group that is fenced off.
    pub fenced: u64,
    /// Unreadable, for another incarnation or group, or from a member that may not send them.
    #[serde(rename = "strange")]
    pub invalid: u64,
}

/// A line of the printed log.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// The index of the entry.
    pub index: u64,
    /// The Raft term in which the entry was proposed.
    pub term: u64,
    /// What the entry changes.
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
    /// Whether membership takes it to be alive.
    pub alive: bool,
    /// The units of the capacity that its lease takes.
    #[serde(rename = "slice")]
    pub lease: u32,
}

/// The status of a control node.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This node.
    #[serde(rename = "me")]
    pub local_member: Member,
    /// The control group that it has joined.
    #[serde(rename = "stamp")]
    pub cluster_id: Option<ClusterId>,
    /// The number of entries that the state includes.
    pub epoch: u64,
    /// The Raft term.
    pub term: u64,
    /// The index of the last entry that was applied.
    pub index: u64,
    /// The leader's name.
    pub leader: Option<String>,
    /// The budget that is leased out.
    #[serde(rename = "whole")]
    pub capacity: u32,
    /// The units of the capacity that active leases take.
    #[serde(rename = "sum")]
    pub granted: u32,
    /// The units that this node may use now, its floor included.
    #[serde(rename = "limit")]
    pub lease_limit: u32,
    /// Milliseconds until its lease expires, by its own clock.
    pub lease_ms: Option<u64>,
    /// Messages that were rejected.
    #[serde(rename = "refused")]
    pub rejected: RejectedMessages,
    /// Voters, then learners.
    #[serde(rename = "parts")]
    pub participants: Vec<Participant>,
}
