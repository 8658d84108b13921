//! The types that cross the boundary of the crate: the events that a proxy passes to a balancer, and the actions that
//! the balancer returns.
//!
//! They contain data and the arithmetic that belongs to it, but no decisions.

mod action;
mod endpoint;
mod event;
mod ids;
mod request;
mod settings;
mod slow_start_lease;
mod time;
mod timer;

pub use action::Action;
pub use endpoint::{Endpoint, Health};
pub use event::Event;
pub use ids::{RequestId, ServerId};
pub use request::{Outcome, RequestInfo};
pub use settings::{Class, IdempotencyScope, RetrySafety, Settings, Tenant};
pub use slow_start_lease::SlowStartLease;
pub use time::Timestamp;
pub use timer::Timer;
