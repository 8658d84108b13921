//! Time as the balancer sees it: passed in with each event, never read from a clock.

use std::time::Duration;

/// A moment on the embedding proxy's monotonic clock, in nanoseconds since an arbitrary origin.
///
/// Timestamps of different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment `duration` later; the largest timestamp where that overflows.
    #[must_use]
    pub fn saturating_add(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(nanos))
    }

    /// The moment `duration` earlier; the smallest timestamp where that underflows.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(nanos))
    }

    /// The time that passed since `earlier`; zero if `earlier` is later than `self`.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}
