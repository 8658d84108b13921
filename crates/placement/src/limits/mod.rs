//! Limits on the load and the health checks that servers receive: concurrency limits, the setup window, slow start.

pub(crate) mod concurrency_limit;
pub(crate) mod health_check_budget;
pub(crate) mod health_checks;
pub(crate) mod load_reports;
pub(crate) mod machine_kinds;
pub(crate) mod message_delays;
pub(crate) mod overload;
pub(crate) mod setup_window;
pub(crate) mod slow_start;
pub(crate) mod slow_start_budget;
pub(crate) mod slow_start_wave;
