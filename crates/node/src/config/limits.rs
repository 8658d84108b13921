//! Resource limits of the process, and the bounds derived from them.

use super::{Config, ConfigError};
use serde::Deserialize;

const DEFAULT_SOCKETS: usize = 1024;
const MIN_SOCKETS: usize = 64;
const DEFAULT_MEMORY_MB: usize = 192;
const MIN_MEMORY_MB: usize = 24;
const DEFAULT_CORES: f64 = 1.0;

/// Memory reserved for the program itself, the endpoint list and the placement state.
const PROGRAM_MEMORY_MB: usize = 12;
/// The fraction of the remaining memory for buffers, as a divisor.
const BUFFER_MEMORY_DIVISOR: usize = 2;
/// The number of full buffers assumed for each client.
const BUFFERS_PER_CLIENT: usize = 4;
/// Bounds of the bytes buffered for one direction of a connection: two lines of the maximum length (4 KiB each), and the
/// bytes that a relay reads from one side in two turns of the event loop (32 KiB each).
const MIN_BUFFERED_BYTES: usize = 8 << 10;
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Bounds of the new connections accepted in one turn of the event loop; the maximum is for a whole core.
const MAX_ACCEPTS: usize = 16;
const MIN_ACCEPTS: usize = 4;
/// Descriptors for the event loop, the listener, discovery, signals and the standard streams, and those that one turn
/// may use before excess connections are closed.
const OWN_DESCRIPTORS: usize = 40;
/// The limit of open admin connections is this fraction of the descriptors, as a divisor, within these bounds.
const ADMIN_CONNECTIONS_DIVISOR: usize = 24;
const MIN_ADMIN_CONNECTIONS: usize = 4;
const MAX_ADMIN_CONNECTIONS: usize = 32;
/// The limit of open health check connections, if allowed: also a fraction of the descriptors within bounds.
const HEALTH_CHECKS_DIVISOR: usize = 24;
const MIN_HEALTH_CHECKS: usize = 4;
const MAX_HEALTH_CHECKS: usize = 64;
/// The fraction of the descriptors, as a divisor, that is always available to unidentified connections: those that have
/// not sent a request yet or have received their answer.
const UNIDENTIFIED_CLIENTS_DIVISOR: usize = 12;
/// Descriptors for a client with a request: one for the client and one for its server.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// The limits as written in the configuration file.
#[derive(Deserialize, Default)]
pub(super) struct LimitsDocument {
    cores: Option<f64>,
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// The maximum number of open descriptors.
    pub sockets: usize,
    /// The maximum memory, in MiB.
    pub memory_mb: usize,
    /// The CPU limit, in cores.
    pub cores: f64,
}

impl From<LimitsDocument> for ResourceLimits {
    fn from(document: LimitsDocument) -> ResourceLimits {
        ResourceLimits {
            sockets: document.sockets.unwrap_or(DEFAULT_SOCKETS),
            memory_mb: document.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            cores: document.cores.unwrap_or(DEFAULT_CORES),
        }
    }
}

impl ResourceLimits {
    /// Checks that the program can run within the limits.
    ///
    /// # Errors
    /// The first limit that is too small.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets {
                value: self.sockets,
                min: MIN_SOCKETS,
            });
        }
        if !(self.cores > 0.0 && self.cores.is_finite()) {
            return Err(ConfigError::InvalidCores { value: self.cores });
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory {
                value: self.memory_mb,
                min: MIN_MEMORY_MB,
            });
        }
        Ok(())
    }
}

impl Config {
    /// The maximum number of unidentified connections: the descriptors that `client_count` clients with requests leave.
    pub fn max_unidentified_clients(&self, client_count: usize) -> usize {
        let used = self.own_descriptors() + DESCRIPTORS_PER_CLIENT * client_count;
        let remaining = self.limits.sockets.saturating_sub(used);
        remaining.max(self.limits.sockets / UNIDENTIFIED_CLIENTS_DIVISOR)
    }

    /// The maximum number of open admin connections.
    pub fn max_admin_connections(&self) -> usize {
        if self.admin_address.is_none() {
            return 0;
        }
        (self.limits.sockets / ADMIN_CONNECTIONS_DIVISOR)
            .clamp(MIN_ADMIN_CONNECTIONS, MAX_ADMIN_CONNECTIONS)
    }

    /// The maximum number of open health check connections.
    pub fn max_health_checks(&self) -> usize {
        if !self.settings.health_checks_allowed {
            return 0;
        }
        (self.limits.sockets / HEALTH_CHECKS_DIVISOR).clamp(MIN_HEALTH_CHECKS, MAX_HEALTH_CHECKS)
    }

    fn own_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.max_admin_connections() + self.max_health_checks()
    }

    /// The maximum number of clients with a request.
    pub fn max_clients(&self) -> usize {
        let sockets = self.limits.sockets;
        let remaining = (sockets - sockets / UNIDENTIFIED_CLIENTS_DIVISOR)
            .saturating_sub(self.own_descriptors());
        remaining / DESCRIPTORS_PER_CLIENT
    }

    /// The maximum number of new connections accepted in one turn of the event loop: small for a fraction of a core, so
    /// that established connections do not wait when the process is throttled.
    pub fn max_accepts_per_turn(&self) -> usize {
        let accepts = (self.limits.cores * MAX_ACCEPTS as f64).ceil() as usize;
        accepts.clamp(MIN_ACCEPTS, MAX_ACCEPTS)
    }

    /// The maximum bytes buffered for one direction of a connection, such that all buffers fit into half of the memory
    /// that is not reserved for the program.
    pub fn max_buffered_bytes(&self) -> usize {
        let memory_left_mb = self.limits.memory_mb.saturating_sub(PROGRAM_MEMORY_MB);
        let buffer_bytes = (memory_left_mb << 20) / BUFFER_MEMORY_DIVISOR;
        let buffer_count = BUFFERS_PER_CLIENT * self.max_clients().max(1);
        (buffer_bytes / buffer_count).clamp(MIN_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
    }
}
