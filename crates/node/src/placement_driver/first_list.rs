//! What the first list of discovery alone tells of this machine's wall clock.
//!
//! The list holds starts in Unix time. A clock that is ahead makes servers that have just started look old, and such a list is
//! the same as one of old servers that started together. Servers whose age is in doubt are taken for young ones: a slow start
//! too many costs less than a server that falls.

use super::clock::PlacementClock;
use lupincrank_placement::{Health, ServerId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// At the most this part of the ready servers is taken for young on doubt. The others then get one and a half times their
/// usual load, which they are taken to carry.
const MAX_DOUBTED_RATIO: f64 = 1.0 / 3.0;

/// What tells how long ago the servers of discovery's first list started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartEvidence {
    /// This machine's wall clock alone.
    WallClock,
    /// Discovery's clock too, or a process before this one.
    Corroborated,
}

/// When a server of the list started.
#[derive(Clone, Debug)]
pub(crate) struct ListedStart {
    /// Which server.
    pub(crate) server: ServerId,
    /// Its health.
    pub(crate) health: Health,
    /// Milliseconds of Unix time; 0 for long ago.
    pub(crate) started_at_ms: u64,
}

/// The servers of a first list that are ready, with their starts in milliseconds of Unix time; 0 for long ago.
#[derive(Debug, Default)]
pub(super) struct FirstListStarts {
    ready: BTreeMap<ServerId, u64>,
}

impl FirstListStarts {
    /// Adds a server of the list, or what the list says anew of one.
    pub(super) fn set(&mut self, start: ListedStart) {
        if start.health == Health::Ready {
            self.ready.insert(start.server, start.started_at_ms);
        } else {
            self.ready.remove(&start.server);
        }
    }

    /// The latest start, where it may have been just now though this machine's clock tells that slow start is over. `None`
    /// where the clock shows servers in slow start, so that it is ahead by less than that takes, or where too large a part of
    /// the servers would be in doubt.
    pub(super) fn suspected_present_ms(
        &self,
        clock: &PlacementClock,
        slow_start_duration: Duration,
    ) -> Option<u64> {
        let latest_ms = self.ready.values().copied().max().filter(|ms| *ms > 0)?;
        let latest = clock.timestamp_of_unix_ms(latest_ms);
        let age = clock
            .now()
            .saturating_duration_since(latest.unwrap_or(Timestamp(0)));
        if age < slow_start_duration {
            return None;
        }
        let is_doubted = |ms: &&u64| Duration::from_millis(latest_ms - **ms) < slow_start_duration;
        let doubted = self.ready.values().filter(is_doubted).count();
        let max_doubted = self.ready.len() as f64 * MAX_DOUBTED_RATIO;
        (doubted as f64 <= max_doubted).then_some(latest_ms)
    }
}

#[cfg(test)]
mod tests;
