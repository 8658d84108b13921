//! The decisions of a balancer for long-lived connections, by rendezvous hashing.
//!
//! The crate does no I/O, reads no clock and holds no globals. A proxy feeds a [`Balancer`] with what it sees
//! ([`Event`]) and carries out what comes back ([`Action`]). The same settings, seed and events always give the same
//! actions. [`interface`] has the types; `balance` has every decision.
#![doc = include_str!("../../../README.md")]
#![forbid(unsafe_code)]

pub mod admin_drain;
mod balance;
mod bits;
mod cold;
mod fleet;
pub mod interface;
pub mod learned_state;
mod order;
pub mod poll_schedule;
mod request;
mod shares;
mod table;
mod used;
#[cfg(test)]
mod work_tests;

pub use balance::{key_hash, rank_score, server_hash, Balancer};
pub use interface::*;
