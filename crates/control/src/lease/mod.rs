//! Leases of the budget, as seen by both sides.
//!
//! The holder counts the duration of a lease from when it sent the request, the granter from when the grant was applied,
//! which is later. The granter waits longer by the most that two clocks may differ, and by the accounting window, since
//! what was sent just before the lease expired still counts. Neither side ever reads the other's clock.

mod grant_clocks;
mod holder;
mod terms;

pub use grant_clocks::GrantClocks;
pub use holder::{LeaseHolder, UsageLimit};
pub use terms::{LeaseRequest, LeaseTerms};
