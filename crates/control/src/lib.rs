//! What the nodes of a fleet agree on, without I/O: time, messages and who lives come in, messages and grants go out.
//!
//! The few facts that all must hold alike stand in a replicated log ([`entry`]) and lead to one [`state`]. The log is
//! carried by the `raft` crate, which [`council`] drives. No disk survives a machine, so a voter's vote is as mortal as
//! its process, unless a folder is configured ([`durable`]): each incarnation has an identity of its own ([`member`]), and [`voters`]
//! lets a new incarnation in only after the old one of that name is out. [`lease`] has both clocks of a lease, the holder's and the granter's.

#![forbid(unsafe_code)]

mod council;
pub mod durable;
pub mod entry;
mod error;
mod leader;
pub mod lease;
mod log;
pub mod member;
pub mod message;
pub mod state;
pub mod status;
mod store;
pub mod voters;

pub use council::{ControlConfig, ControlNode, TICK_INTERVAL};
pub use error::ControlError;
