//! Connections to servers: attempts, health checks, and the relay between a client and its server.

pub(crate) mod attempt;
mod byte_buffer;
pub(crate) mod forwarded_line;
pub(crate) mod health_check;
pub(crate) mod open_health_checks;
pub(crate) mod relay;
mod reset_on_close;
pub(crate) mod server_line;
