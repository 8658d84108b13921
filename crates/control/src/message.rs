//! What nodes say to each other of the council, and what one of them wants carried out.

use crate::durable::Write;
use crate::lease::LeaseRequest;
use crate::member::{Founding, Stamp};
use crate::voters::Change;
use serde::{Deserialize, Serialize};

/// What nodes say to each other of the council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CouncilMessage {
    /// Do you know a council?
    Seek,
    /// The greatest that the sender knows, if any.
    Known(Option<Stamp>),
    /// A council begins.
    Found(Founding),
    /// Of the log.
    Raft(Stamp, Vec<u8>),
    /// A slice is asked for.
    LeaseRequest(Stamp, LeaseRequest),
    /// It is granted: the number of the request, and the slice.
    Granted(Stamp, u64, u32),
    /// The sender ends in good order.
    Leaves(Stamp),
    /// To one that leaves: it takes part no more.
    Gone(Stamp),
    /// To the leader: another capacity is to be handed out.
    Capacity(Stamp, u32),
}

/// What a person who reads the log should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// This node founds a council.
    Founds(Stamp),
    /// This node takes part in a council.
    Joins(Stamp),
    /// Another leader, or none.
    Leads(Option<u64>),
    /// The leader changes who takes part.
    Changes(Change),
    /// What this node may use has changed.
    Slice(u32),
    /// Its lease has run out.
    LeaseOver,
    /// The log broke its own rules: this incarnation takes no part any more.
    Broke,
}

/// What is to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the member with this id.
    Send(u64, CouncilMessage),
    /// Onto the disk, where there is a folder.
    Write(Write),
    /// For people.
    Note(Note),
}
