//! Detection of faults behind all servers: setups that fail at one server after another.

/// Weight of one setup in the failure ratio.
const SETUP_WEIGHT: f64 = 0.2;
/// Above this failure ratio something behind the servers is taken to be at fault.
const SHARED_FAILURE_RATIO: f64 = 0.5;

#[derive(Default)]
pub(crate) struct SharedFailureDetector {
    /// Part of recent setups that failed, each at another server than the one before.
    failure_ratio: f64,
    /// The hash of the server at which the last failure was.
    last_server: u32,
}

impl SharedFailureDetector {
    /// A setup failed at this server.
    pub(crate) fn record_failure(&mut self, server_hash: u32) {
        if self.last_server != server_hash {
            self.failure_ratio += SETUP_WEIGHT * (1.0 - self.failure_ratio);
        }
        self.last_server = server_hash;
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_ratio -= SETUP_WEIGHT * self.failure_ratio;
    }

    /// The failures had another cause.
    pub(crate) fn reset(&mut self) {
        self.failure_ratio = 0.0;
    }

    /// Whether failures are due to something behind all servers.
    pub(crate) fn is_detected(&self) -> bool {
        self.failure_ratio > SHARED_FAILURE_RATIO
    }
}

#[cfg(test)]
mod tests;
