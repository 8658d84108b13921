//! Fixtures shared by the tests of the placement crate, and a harness that acts as the proxy of one balancer.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test target uses only some of it"
)]

mod fixtures;
mod harness;
mod invariants;
mod records;
mod waves;

pub use fixtures::*;
pub use harness::Harness;
pub use records::{AttemptRecord, EndpointRecord, PendingTimer, RequestRecord};
pub use waves::*;
