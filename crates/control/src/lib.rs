//! The control group of a fleet, without I/O: a replicated log of members and budget leases.
//!
//! Time, messages and the members that are alive come in, messages and writes go out. The few facts that all nodes must
//! agree on are [`entry`]s of a log that the `raft` crate replicates; applied in order they lead to one [`state`].
//! [`ControlNode`] drives it.
//!
//! Machines lose their disks, so a vote lasts no longer than the process that gave it, unless stable storage is
//! configured ([`durable`]). Each incarnation of a node therefore has an identity of its own ([`member`]), and a new one
//! is added only after the old one of its name is removed. [`lease`] has both sides of a lease, holder and granter.

#![forbid(unsafe_code)]

mod control_node;
pub mod durable;
pub mod entry;
mod error;
pub mod lease;
mod lease_client;
mod lease_granter;
pub mod member;
mod member_tracker;
mod membership;
pub mod message;
mod raft_log;
pub mod state;
pub mod status;

pub use control_node::{ControlConfig, ControlNode, TICK_INTERVAL};
pub use error::ControlError;
pub use membership::MembershipChange;
