//! Connections to servers: attempts, health checks, and the relay between a client and its server.

pub(crate) mod attempt;
pub(crate) mod health_check;
pub(crate) mod relay;
