//! The types that cross the boundary of the crate: what a proxy tells a balancer and what the balancer wants done.
//!
//! They hold data and the arithmetic that belongs to it, and no decision.

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
