//! Detection of a wall clock that is ahead, from discovery's first endpoint list alone.
//!
//! The list holds start times in Unix time. On a machine whose clock is ahead, servers that have just started look
//! old, and such a list looks the same as one of old servers that started together. Servers whose age is in doubt are
//! treated as recently started: an unnecessary slow start costs less than a server that fails from overload.

use super::clock::PlacementClock;
use lupincrank_placement::{Health, ServerId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum fraction of the ready servers that may be treated as recently started on suspicion. The other servers
/// then receive one and a half times their usual load, which they are assumed to have capacity for.
const MAX_SUSPECT_RATIO: f64 = 1.0 / 3.0;

/// The evidence for how long ago the servers of discovery's first list started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartEvidence {
    /// This machine's wall clock alone.
    WallClock,
    /// Also discovery's clock, or the previous process of this node.
    Corroborated,
}

/// The start time of a server in the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedStart {
    /// The server.
    pub(crate) server: ServerId,
    /// Its health.
    pub(crate) health: Health,
    /// Milliseconds of Unix time; 0 for long ago.
    pub(crate) started_at_ms: u64,
}

/// The ready servers of a first list, with their start times in milliseconds of Unix time; 0 for long ago.
#[derive(Debug, Default)]
pub(super) struct FirstListStarts {
    ready: BTreeMap<ServerId, u64>,
}

impl FirstListStarts {
    /// Adds a server of the list, or updates it.
    pub(super) fn set(&mut self, start: ListedStart) {
        if start.health == Health::Ready {
            self.ready.insert(start.server, start.started_at_ms);
        } else {
            self.ready.remove(&start.server);
        }
    }

    /// Returns the suspected current time, which is the latest start time, if this machine's clock shows all slow
    /// starts as over but may be ahead. `None` if the clock shows servers in slow start (it is then ahead by less
    /// than the slow-start duration), or if too large a fraction of the servers would be suspect.
    pub(super) fn suspected_now_ms(
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
        let is_suspect = |ms: &&u64| Duration::from_millis(latest_ms - **ms) < slow_start_duration;
        let suspect_count = self.ready.values().filter(is_suspect).count();
        let max_suspects = self.ready.len() as f64 * MAX_SUSPECT_RATIO;
        (suspect_count as f64 <= max_suspects).then_some(latest_ms)
    }
}

#[cfg(test)]
mod tests;
