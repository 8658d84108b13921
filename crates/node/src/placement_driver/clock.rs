//! The placement clock.

use lupincrank_placement::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's reading at the node's start. It is far from zero so that times before the start can be represented
/// too.
const READING_AT_START: Duration = Duration::from_secs(1 << 22);

/// The resolution of wall clock times reported by other machines.
const SYSTEM_TIME_RESOLUTION: Duration = Duration::from_secs(1);

/// Converts times of the system's clocks into placement timestamps.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementClock {
    started_at: Instant,
    /// The wall clock time at the node's start, according to this machine or to discovery.
    started_at_system_time: SystemTime,
}

impl PlacementClock {
    /// Creates a clock that starts now.
    pub(super) fn start() -> PlacementClock {
        PlacementClock {
            started_at: Instant::now(),
            started_at_system_time: SystemTime::now(),
        }
    }

    /// Corrects the wall clock by another machine's, which reads `now` with a resolution of one second. The clock
    /// that is behind wins: by it servers have started later, and a server that is filled too slowly costs less than
    /// one that is overloaded in slow start. Returns true if this machine's clock was ahead.
    pub(super) fn limit_system_time(&mut self, now: SystemTime) -> bool {
        let latest_now = now + SYSTEM_TIME_RESOLUTION;
        let Some(latest_start) = latest_now.checked_sub(self.elapsed()) else {
            return false;
        };
        let was_ahead = latest_start < self.started_at_system_time;
        if was_ahead {
            self.started_at_system_time = latest_start;
        }
        was_ahead
    }

    /// The time since the clock was started.
    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The current timestamp.
    pub(super) fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// The timestamp of an instant; one before the clock's start gets the timestamp of the start.
    pub(super) fn timestamp(&self, time: Instant) -> Timestamp {
        let since_start = time.saturating_duration_since(self.started_at);
        timestamp_of(READING_AT_START + since_start)
    }

    /// The timestamp of a Unix time in milliseconds; `None` for zero and for times before the clock's range.
    pub(super) fn timestamp_of_unix_ms(&self, unix_ms: u64) -> Option<Timestamp> {
        if unix_ms == 0 {
            return None;
        }
        let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms))?;
        let reading = match time.duration_since(self.started_at_system_time) {
            Ok(later) => READING_AT_START.saturating_add(later),
            Err(earlier) => READING_AT_START.checked_sub(earlier.duration())?,
        };
        Some(timestamp_of(reading))
    }
}

fn timestamp_of(reading: Duration) -> Timestamp {
    Timestamp(u64::try_from(reading.as_nanos()).unwrap_or(u64::MAX))
}
