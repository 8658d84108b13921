//! Limits on what servers are sent.

pub(crate) mod health_checks;
pub(crate) mod lease_usage;
pub(crate) mod overload;
pub(crate) mod setup_window;
pub(crate) mod slow_start;
pub(crate) mod slow_start_budget;
