//! Server start times on the placement clock. Discovery reports them in Unix time, and this machine's wall clock may
//! be off by any amount; but a start that first appears in the list while this process runs is known to be recent.

use super::clock::PlacementClock;
use lupincrank_placement::{ServerId, Timestamp};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Discovery lists a start at most this long after it happened.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(6);

/// The evidence for the time to which a start was resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartOrigin {
    /// The start came with a first list, so that its age is known from the wall clock alone.
    FirstList,
    /// The start was first listed while this process ran.
    LaterList,
    /// The start came with a first list, and the wall clock was wrong: its time has to be resolved again.
    Doubtful,
}

/// A start time as listed and as resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownStart {
    unix_ms: u64,
    /// `None` if earlier than the clock can represent.
    started_at: Option<Timestamp>,
    origin: StartOrigin,
}

/// The start times of all listed servers. A start keeps the time to which it was first resolved: the same server
/// process must not look like a new one.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    known: BTreeMap<ServerId, KnownStart>,
    /// The Unix time that is taken as the current time for discovery's first list if this machine's wall clock is in
    /// doubt.
    first_list_now_ms: Option<u64>,
}

impl StartTimes {
    /// Resolves a start time; `None` for long ago. `not_listed_at` is the time of discovery's last report without
    /// this start; `None` for its first list, whose ages are known from the wall clock alone.
    pub(super) fn resolve(
        &mut self,
        clock: &PlacementClock,
        server: &ServerId,
        unix_ms: u64,
        not_listed_at: Option<Instant>,
    ) -> Option<Timestamp> {
        if unix_ms == 0 {
            self.known.remove(server);
            return None;
        }
        let known = self.known.get(server);
        let not_listed_at = match known.filter(|known| known.unix_ms == unix_ms) {
            // Listed before, so that its age is known from the wall clock alone.
            Some(known) if known.origin == StartOrigin::Doubtful => None,
            Some(known) => return known.started_at,
            None => not_listed_at,
        };
        let by_wall_clock = match self.first_list_now_ms {
            Some(now_ms) if not_listed_at.is_none() => {
                let age = Duration::from_millis(now_ms.saturating_sub(unix_ms));
                Some(clock.now().saturating_sub(age))
            }
            _ => clock.timestamp_of_unix_ms(unix_ms),
        };
        let started_at = match (by_wall_clock, not_listed_at) {
            (Some(started_at), None) => Some(started_at.min(clock.now())),
            (Some(started_at), Some(not_listed_at)) => {
                let not_listed_at = clock.timestamp(not_listed_at);
                if started_at < not_listed_at.saturating_sub(MAX_LISTING_DELAY) {
                    Some(not_listed_at)
                } else {
                    Some(started_at.min(clock.now()))
                }
            }
            (None, Some(not_listed_at)) => Some(clock.timestamp(not_listed_at)),
            (None, None) => None,
        };
        let start = KnownStart {
            unix_ms,
            started_at,
            origin: match not_listed_at {
                None => StartOrigin::FirstList,
                Some(_) => StartOrigin::LaterList,
            },
        };
        self.known.insert(server.clone(), start);
        started_at
    }

    /// Prepares for discovery's first list. `suspected_now_ms` is set if this machine's wall clock is in doubt:
    /// starts that were resolved from the wall clock alone are then forgotten, and that time is taken as the current
    /// time for the list.
    pub(super) fn begin_first_list(&mut self, suspected_now_ms: Option<u64>) {
        self.first_list_now_ms = suspected_now_ms;
        if suspected_now_ms.is_some() {
            self.forget_first_list();
        }
    }

    /// The start time as listed, in milliseconds of Unix time; 0 for long ago.
    pub(super) fn unix_ms(&self, server: &ServerId) -> u64 {
        self.known.get(server).map_or(0, |known| known.unix_ms)
    }

    /// Forgets start times that were resolved from the wall clock alone, because it turned out to be wrong: the next
    /// list that contains these servers resolves them again.
    pub(super) fn forget_first_list(&mut self) {
        for known in self.known.values_mut() {
            if known.origin == StartOrigin::FirstList {
                known.origin = StartOrigin::Doubtful;
            }
        }
    }

    /// Forgets servers that are not in the endpoint list.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        self.known.retain(|server, _| is_listed(server));
    }
}

#[cfg(test)]
mod tests;
