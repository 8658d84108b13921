//! The time that is passed to the balancer with each event. The balancer reads no clock.

use std::time::Duration;

/// A point in time on the embedding proxy's monotonic clock, in nanoseconds since an arbitrary origin.
///
/// Timestamps of different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time `duration` later, or the largest timestamp on overflow.
    #[must_use]
    pub fn saturating_add(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(nanos))
    }

    /// Returns the time `duration` earlier, or the smallest timestamp on underflow.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(nanos))
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}
