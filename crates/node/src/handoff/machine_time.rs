//! Points in time that all processes of a machine understand.

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A reading of the machine's monotonic clock, in nanoseconds. Unlike a time span, it keeps its meaning however long the
/// message that contains it was on its way.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub(crate) struct MachineTime(u64);

impl MachineTime {
    fn now() -> MachineTime {
        let time = clock_gettime(ClockId::Monotonic);
        let seconds = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or_default());
        let nanoseconds = Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default());
        let reading = (seconds + nanoseconds).as_nanos();
        MachineTime(u64::try_from(reading).unwrap_or(u64::MAX))
    }

    /// The earliest instant that this process can represent, if the time is before it; the present, if it is after that.
    pub(crate) fn to_instant(self) -> Instant {
        let now = Instant::now();
        let elapsed = Duration::from_nanos(MachineTime::now().0.saturating_sub(self.0));
        now.checked_sub(elapsed).unwrap_or(now)
    }
}

impl From<Instant> for MachineTime {
    fn from(instant: Instant) -> MachineTime {
        let elapsed = u64::try_from(instant.elapsed().as_nanos()).unwrap_or(u64::MAX);
        MachineTime(MachineTime::now().0.saturating_sub(elapsed))
    }
}

#[cfg(test)]
mod tests;
