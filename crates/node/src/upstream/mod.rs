//! Connections to servers: attempts, health checks, and the relay between a client and its server.

pub(crate) mod attempt;
mod byte_buffer;
pub(crate) mod health_check;
pub(crate) mod open_health_checks;
pub(crate) mod relay;
mod reset_on_close;
pub(crate) mod server_line;

use lupincrank_reactor::poll::RESOURCE_EXHAUSTED_ERRNOS;
use std::io;

/// Whether a connect failed for want of descriptors, ports or memory of this machine, which says nothing of the server.
fn is_local_resource_exhaustion(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| RESOURCE_EXHAUSTED_ERRNOS.contains(&code))
}
