//! The decisions of a balancer for long-lived connections, by rendezvous hashing.
//!
//! The crate does no I/O, reads no clock and holds no globals. A proxy feeds a [`Balancer`] with what it sees
//! ([`Event`]) and carries out what comes back ([`Action`]). The same settings, seed and events always give the same
//! actions. `api` has the types; `balance` has every decision.
#![doc = include_str!("../../../README.md")]
#![forbid(unsafe_code)]

pub mod admin_drain;
mod api;
mod balance;
mod bits;
mod cold;
mod fleet;
pub mod learned_state;
mod order;
pub mod poll_schedule;
mod request;
mod shares;
mod table;
mod used;
#[cfg(test)]
mod work_tests;

// Until every module names `api`.
pub(crate) use api as interface;
pub use api::{
    Action, Class, Endpoint, Event, Health, IdempotencyScope, Outcome, RequestId, RequestInfo,
    RetrySafety, ServerId, Settings, SlowStartLease, Tenant, Timestamp,
};
pub use balance::{key_hash, rank_score, server_hash, Balancer};
