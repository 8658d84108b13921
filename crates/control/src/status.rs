//! What people are told of the council.

use crate::member::{ClusterId, Member};
use serde::Serialize;

/// Messages that changed nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedMessages {
    /// Of a council that is fenced off.
    pub fenced: u64,
    /// For another incarnation, from another than who sends it, or not to be read.
    #[serde(rename = "strange")]
    pub invalid: u64,
}

/// One line of `fleet log`.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// Its place in the log.
    pub index: u64,
    /// Under which leadership.
    pub term: u64,
    /// What it says.
    #[serde(rename = "what")]
    pub description: String,
}

/// One incarnation of a node as the council has it.
#[derive(Clone, Debug, Serialize)]
pub struct Participant {
    /// Who.
    pub member: Member,
    /// `leader`, `voter` or `learner`.
    pub role: &'static str,
    /// Membership takes it to live.
    pub alive: bool,
    /// What it may have in use of the cold budget.
    #[serde(rename = "slice")]
    pub lease: u32,
}

/// How this node stands.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This node.
    #[serde(rename = "me")]
    pub local_member: Member,
    /// The council it takes part in.
    #[serde(rename = "stamp")]
    pub cluster_id: Option<ClusterId>,
    /// Entries that led to the state.
    pub epoch: u64,
    /// The raft term and the last entry that is applied.
    pub term: u64,
    /// See `term`.
    pub index: u64,
    /// The leader's name.
    pub leader: Option<String>,
    /// The capacity that is handed out, and what is taken of it.
    #[serde(rename = "whole")] // as scripts of staff read it
    pub capacity: u32,
    /// See `capacity`.
    #[serde(rename = "sum")]
    pub granted: u32,
    /// What this node may use now.
    #[serde(rename = "limit")]
    pub lease_limit: u32,
    /// Its lease is over in so many milliseconds, by its own clock.
    pub lease_ms: Option<u64>,
    /// Messages that changed nothing.
    #[serde(rename = "refused")]
    pub rejected: RejectedMessages,
    /// All that take part.
    #[serde(rename = "parts")]
    pub participants: Vec<Participant>,
}
