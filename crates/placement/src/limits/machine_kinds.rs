//! Estimates the overload rate of each machine kind.

use crate::state::decay::{decayed, SLOW_DECAY_PER_SECOND};
use std::collections::BTreeMap;

/// Weight of the prior: each kind starts with this many observed seconds at the mean overload rate.
const PRIOR_SECONDS: f64 = 20.0;

/// Seconds for which servers with connections were observed.
#[derive(Clone, Copy, Default)]
struct ObservedSeconds {
    total: f64,
    overloaded: f64,
}

impl ObservedSeconds {
    fn overload_rate(self, mean_rate: f64) -> f64 {
        (self.overloaded + mean_rate * PRIOR_SECONDS) / (self.total + PRIOR_SECONDS)
    }
}

/// Observations by machine kind, decaying with age.
#[derive(Default)]
pub(crate) struct MachineKindOverload {
    kinds: BTreeMap<u32, ObservedSeconds>,
}

impl MachineKindOverload {
    /// Records one second of a server that has connections.
    pub(crate) fn record(&mut self, kind: u32, is_overloaded: bool) {
        let observed = self.kinds.entry(kind).or_default();
        observed.total += 1.0;
        if is_overloaded {
            observed.overloaded += 1.0;
        }
    }

    /// Decays the observations; called once per second.
    pub(crate) fn decay(&mut self) {
        for observed in self.kinds.values_mut() {
            observed.total = decayed(observed.total, SLOW_DECAY_PER_SECOND);
            observed.overloaded = decayed(observed.overloaded, SLOW_DECAY_PER_SECOND);
        }
    }

    /// The overload rate of this kind (the fraction of seconds overloaded) less that of the kind with the lowest rate.
    pub(crate) fn excess_overload_rate(&self, kind: u32) -> f64 {
        let mean_rate = self.mean_overload_rate();
        let rates = self
            .kinds
            .values()
            .map(|observed| observed.overload_rate(mean_rate));
        let lowest_rate = rates.fold(1.0, f64::min);
        let rate = self
            .kinds
            .get(&kind)
            .map_or(0.0, |observed| observed.overload_rate(mean_rate));
        (rate - lowest_rate).max(0.0)
    }

    fn mean_overload_rate(&self) -> f64 {
        let mut total_seconds = 1.0;
        let mut overloaded_seconds = 0.0;
        for observed in self.kinds.values() {
            total_seconds += observed.total;
            overloaded_seconds += observed.overloaded;
        }
        overloaded_seconds / total_seconds
    }
}

#[cfg(test)]
mod tests;
