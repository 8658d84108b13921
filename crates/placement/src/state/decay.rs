//! Exponential decay of what was counted, once a second.

/// Part of recent requests, and of the overload of machine kinds, that is forgotten each second.
pub(crate) const SLOW_DECAY_PER_SECOND: f64 = 0.02;

/// The part of a count that is left after a second.
pub(crate) fn decayed(count: f64, decay_per_second: f64) -> f64 {
    count * (1.0 - decay_per_second)
}
