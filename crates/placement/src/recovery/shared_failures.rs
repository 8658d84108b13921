//! Detection of faults behind all servers, such as in a shared store: setups fail at one server after another.

/// Weight of one setup in the failure ratio.
const SETUP_WEIGHT: f64 = 0.2;
/// Above this failure ratio, a fault behind all servers is assumed.
const SHARED_FAILURE_RATIO: f64 = 0.5;

#[derive(Default)]
pub(crate) struct SharedFailureDetector {
    /// Fraction of recent setups that failed, each at a different server than the failure before.
    failure_ratio: f64,
    /// The hash of the server of the last failure.
    last_server: u32,
}

impl SharedFailureDetector {
    /// Records a failed setup at this server.
    pub(crate) fn record_failure(&mut self, server_hash: u32) {
        if self.last_server != server_hash {
            self.failure_ratio += SETUP_WEIGHT * (1.0 - self.failure_ratio);
        }
        self.last_server = server_hash;
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_ratio -= SETUP_WEIGHT * self.failure_ratio;
    }

    /// Discards the failures, because another cause was found.
    pub(crate) fn reset(&mut self) {
        self.failure_ratio = 0.0;
    }

    /// Returns true if a fault behind all servers is assumed.
    pub(crate) fn is_detected(&self) -> bool {
        self.failure_ratio > SHARED_FAILURE_RATIO
    }
}

#[cfg(test)]
mod tests;
