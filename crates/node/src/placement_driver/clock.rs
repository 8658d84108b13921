//! The clock of the placement decisions.

use lupincrank_placement::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's reading at the node's start. It is far from zero, so that moments before the start can be named too.
const READING_AT_START: Duration = Duration::from_secs(1 << 22);

/// To this the wall clocks of other machines are told.
const SYSTEM_TIME_RESOLUTION: Duration = Duration::from_secs(1);

/// Turns moments of the system's clocks into timestamps of the decisions.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementClock {
    started_at: Instant,
    /// The wall clock at the node's start, as this machine or discovery tells it.
    started_at_system_time: SystemTime,
}

impl PlacementClock {
    /// A clock that starts now.
    pub(super) fn start() -> PlacementClock {
        PlacementClock {
            started_at: Instant::now(),
            started_at_system_time: SystemTime::now(),
        }
    }

    /// Another machine's wall clock says `now`, to the second. Of two clocks the one that is behind counts: by it servers have
    /// started later, and a server that is filled too slowly costs less than one that is overloaded in slow start. Gives
    /// whether this machine's clock turned out to be ahead.
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

    /// How long ago the clock was started.
    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The timestamp of this moment.
    pub(super) fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// The timestamp of a moment; of one before the start it is that of the start.
    pub(super) fn timestamp(&self, moment: Instant) -> Timestamp {
        let since_start = moment.saturating_duration_since(self.started_at);
        timestamp_of(READING_AT_START + since_start)
    }

    /// The timestamp of a moment in Unix time, in milliseconds; `None` for zero and for long ago.
    pub(super) fn timestamp_of_unix_ms(&self, unix_ms: u64) -> Option<Timestamp> {
        if unix_ms == 0 {
            return None;
        }
        let moment = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms))?;
        let reading = match moment.duration_since(self.started_at_system_time) {
            Ok(later) => READING_AT_START.saturating_add(later),
            Err(earlier) => READING_AT_START.checked_sub(earlier.duration())?,
        };
        Some(timestamp_of(reading))
    }
}

fn timestamp_of(reading: Duration) -> Timestamp {
    Timestamp(u64::try_from(reading.as_nanos()).unwrap_or(u64::MAX))
}
