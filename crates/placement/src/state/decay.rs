//! Exponential decay of counts, once per second.

/// Fraction by which request counts of groups and observations of machine kinds decay per second.
pub(crate) const SLOW_DECAY_PER_SECOND: f64 = 0.02;

/// The remainder of a count after one second.
pub(crate) fn decayed(count: f64, decay_per_second: f64) -> f64 {
    count * (1.0 - decay_per_second)
}
