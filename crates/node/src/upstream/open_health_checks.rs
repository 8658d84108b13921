//! The open connections for health checks.

use lupincrank_placement::ServerId;
use lupincrank_reactor::ComponentId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The open connections for health checks, at most one per server.
#[derive(Default)]
pub(crate) struct HealthChecks {
    pub(super) connections: HashMap<ServerId, CheckedServer>,
}

/// The connection to a server at its current address.
#[derive(Clone, Copy)]
pub(super) struct CheckedServer {
    pub(super) connection: ComponentId,
    pub(super) address: SocketAddr,
}
