//! Placement decisions of a balancer for long-lived connections, by rendezvous hashing.
//!
//! The crate does no I/O, reads no clock and holds no globals. A proxy passes its observations ([`Event`]) to a
//! [`Balancer`] and carries out the returned [`Action`]s. The same settings, seed and events always give the same
//! actions. `api` contains the types. `events` dispatches events to the modules that decide: `policy` on requests,
//! `limits` and `recovery` on servers. `state` holds the data that they use.
#![forbid(unsafe_code)]

pub mod admin_drain;
mod api;
mod balancer;
#[cfg(test)]
mod cost_tests;
mod endpoints;
mod events;
mod hashing;
mod limits;
mod policy;
pub mod poll_schedule;
mod recovery;
mod state;
mod timer;

pub use api::{
    Action, Class, Endpoint, Event, Health, IdempotencyScope, Outcome, RequestId, RequestInfo,
    RetrySafety, ServerId, Settings, SlowStartLease, Tenant, Timer, Timestamp,
};
pub use balancer::Balancer;
pub use hashing::{key_hash, rank_score, server_hash};
pub use limits::slow_start::SlowStartStatus;
pub use limits::slow_start_budget::SlowStartUsage;
pub use state::learned_state;
