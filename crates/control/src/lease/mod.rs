//! Leases of the budget, for both holder and granter.
//!
//! The holder measures the duration of a lease from the time of its request, the granter from the time when the grant
//! was applied, which is later. The granter also waits for the maximum clock drift and for the accounting window,
//! since usage just before the lease expired still counts towards the budget. Neither side ever reads the other's
//! clock.

mod grant_clocks;
mod holder;
mod terms;

pub use grant_clocks::GrantClocks;
pub use holder::{LeaseHolder, UsageLimit};
pub use terms::{LeaseRequest, LeaseTerms};
