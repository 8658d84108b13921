//! The control group of a fleet, without I/O: a replicated log of members and budget leases.
//!
//! [`ControlNode`] receives time, messages and the set of live members, and returns messages and writes. The few
//! facts that all nodes must agree on are [`entry`]s of a log that the `raft` crate replicates. Applied in order,
//! they yield the replicated [`state`].
//!
//! Machines may lose their disks, so a vote lasts only as long as the process that cast it, unless stable storage is
//! configured ([`durable`]). Each incarnation of a node therefore has its own identity ([`member`]), and a new
//! incarnation is added only after the old one of the same name is removed. [`lease`] implements both sides of a
//! lease, holder and granter.

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
