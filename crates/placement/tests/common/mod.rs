//! What the tests of the placement crate share: fixtures, and a harness that plays the proxy around one balancer.
#![allow(dead_code, unused_imports, reason = "each test target uses a part")]

mod fixtures;
mod harness;
mod invariants;
mod records;
mod waves;

pub use fixtures::*;
pub use harness::Harness;
pub use records::{AttemptRecord, EndpointRecord, PendingTimer, RequestRecord};
pub use waves::*;
