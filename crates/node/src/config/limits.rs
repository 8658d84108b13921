//! What the process may take of the machine, and the bounds that follow from it.

use super::{Config, ConfigError};
use serde::Deserialize;

const DEFAULT_SOCKETS: usize = 1024;
const MIN_SOCKETS: usize = 64;
const DEFAULT_MEMORY_MB: usize = 192;
const MIN_MEMORY_MB: usize = 24;
const DEFAULT_CORES: f64 = 1.0;

/// What the node keeps of its memory for the program itself, the endpoint list and the decisions.
const PROGRAM_MEMORY_MB: usize = 12;
/// The part of the rest that buffers may take.
const BUFFER_MEMORY_DIVISOR: usize = 2;
/// How many buffers of the largest size are reckoned for each client.
const BUFFERS_PER_CLIENT: usize = 4;
/// The least and the most that is buffered for one direction of a connection: two lines of the longest kind, and
/// what one read may bring.
const MIN_BUFFERED_BYTES: usize = 8 << 10;
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// New connections that one turn accepts with a whole core, and at the least.
const MAX_ACCEPTS: usize = 16;
const MIN_ACCEPTS: usize = 4;
/// Descriptors of the loop, the listener, discovery, signals and the standard streams, and those that one turn may
/// take before room is made.
const OWN_DESCRIPTORS: usize = 40;
/// Admin connections held at once: such a part of the descriptors, within these bounds.
const ADMIN_CONNECTIONS_DIVISOR: usize = 24;
const MIN_ADMIN_CONNECTIONS: usize = 4;
const MAX_ADMIN_CONNECTIONS: usize = 32;
/// Connections for health checks held at once, where they are allowed: likewise.
const HEALTH_CHECKS_DIVISOR: usize = 24;
const MIN_HEALTH_CHECKS: usize = 4;
const MAX_HEALTH_CHECKS: usize = 64;
/// The part of the descriptors that connections may always have which ask for nothing yet or have their answer.
const UNIDENTIFIED_CLIENTS_DIVISOR: usize = 12;
/// Descriptors that a client with its request may need: its own and the server's.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// The limits as the file has them.
#[derive(Deserialize, Default)]
pub(super) struct LimitsDocument {
    cores: Option<f64>,
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// What the process may take of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The memory that the process may take.
    pub memory_mb: usize,
    /// The part of a core that it may take.
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
    /// Whether the program can run with these.
    ///
    /// # Errors
    /// Names the first limit that is too small.
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
    /// How many connections may be held that ask for nothing yet or have had their answer: what `client_count` clients
    /// leave.
    pub fn max_unidentified_clients(&self, client_count: usize) -> usize {
        let used = self.own_descriptors() + DESCRIPTORS_PER_CLIENT * client_count;
        let left = self.limits.sockets.saturating_sub(used);
        left.max(self.limits.sockets / UNIDENTIFIED_CLIENTS_DIVISOR)
    }

    /// How many admin connections are held at once.
    pub fn max_admin_connections(&self) -> usize {
        if self.admin_address.is_none() {
            return 0;
        }
        (self.limits.sockets / ADMIN_CONNECTIONS_DIVISOR)
            .clamp(MIN_ADMIN_CONNECTIONS, MAX_ADMIN_CONNECTIONS)
    }

    /// How many connections for health checks are held at once.
    pub fn max_health_checks(&self) -> usize {
        if !self.settings.health_checks_allowed {
            return 0;
        }
        (self.limits.sockets / HEALTH_CHECKS_DIVISOR).clamp(MIN_HEALTH_CHECKS, MAX_HEALTH_CHECKS)
    }

    fn own_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.max_admin_connections() + self.max_health_checks()
    }

    /// How many clients may be held with their request.
    pub fn max_clients(&self) -> usize {
        let sockets = self.limits.sockets;
        let left = (sockets - sockets / UNIDENTIFIED_CLIENTS_DIVISOR)
            .saturating_sub(self.own_descriptors());
        left / DESCRIPTORS_PER_CLIENT
    }

    /// How many new connections one turn of the loop accepts: few where the core is shared, so that established ones are
    /// not kept waiting for a throttled process.
    pub fn max_accepts_per_turn(&self) -> usize {
        let accepts = (self.limits.cores * MAX_ACCEPTS as f64).ceil() as usize;
        accepts.clamp(MIN_ACCEPTS, MAX_ACCEPTS)
    }

    /// What may be buffered for one direction of a connection, so that all of them together fit into half of the
    /// memory that is left.
    pub fn max_buffered_bytes(&self) -> usize {
        let memory_left_mb = self.limits.memory_mb.saturating_sub(PROGRAM_MEMORY_MB);
        let buffer_bytes = (memory_left_mb << 20) / BUFFER_MEMORY_DIVISOR;
        let buffer_count = BUFFERS_PER_CLIENT * self.max_clients().max(1);
        (buffer_bytes / buffer_count).clamp(MIN_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
    }
}
