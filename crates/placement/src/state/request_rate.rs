//! The rate at which requests arrive.

use crate::state::decay::decayed;

const DECAY_PER_SECOND: f64 = 0.3;

/// An estimate from recent requests, decaying with age.
#[derive(Default)]
pub(crate) struct RequestRate {
    recent_requests: f64,
}

impl RequestRate {
    pub(crate) fn record(&mut self) {
        self.recent_requests += 1.0;
    }

    /// Decays the estimate; called once per second.
    pub(crate) fn decay(&mut self) {
        self.recent_requests = decayed(self.recent_requests, DECAY_PER_SECOND);
    }

    pub(crate) fn per_second(&self) -> f64 {
        self.recent_requests * DECAY_PER_SECOND
    }
}
