//! When servers started, on the decisions' clock. Discovery tells it in Unix time, and this machine's wall clock may be off by
//! any amount; what the list shows first while this process runs has started since.

use super::clock::PlacementClock;
use lupincrank_placement::{ServerId, Timestamp};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Discovery lists a start at the latest this long after it.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(6);

/// A start as it was listed, and as it was understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownStart {
    unix_ms: u64,
    /// `None` for longer ago than the clock can tell.
    started_at: Option<Timestamp>,
    /// It came with a first list, so that the wall clock alone told how long ago it was.
    is_of_first_list: bool,
}

/// The starts of all servers that were listed. A start keeps the moment that it was first given: the same process must not
/// look like a new one.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    known: BTreeMap<ServerId, KnownStart>,
    /// The moment at which discovery's first list is read, where this machine's wall clock is in doubt.
    present_of_first_list_ms: Option<u64>,
}

impl StartTimes {
    /// The moment of a start; `None` for long ago. `not_listed_at` is when discovery was last heard of without it; `None`
    /// for its first list, of which the wall clock alone tells.
    pub(super) fn resolve(
        &mut self,
        clock: &PlacementClock,
        server: &ServerId,
        unix_ms: u64,
        not_listed_at: Option<Instant>,
    ) -> Option<Timestamp> {
        let by_wall_clock = match self.present_of_first_list_ms {
            Some(present_ms) if not_listed_at.is_none() => {
                let age = Duration::from_millis(present_ms.saturating_sub(unix_ms));
                Some(clock.now().saturating_sub(age))
            }
            _ => clock.timestamp_of_unix_ms(unix_ms),
        };
        if unix_ms == 0 {
            self.known.remove(server);
            return None;
        }
        let known = self.known.get(server);
        if let Some(known) = known.filter(|known| known.unix_ms == unix_ms) {
            return known.started_at;
        }
        let started_at = match (by_wall_clock, not_listed_at) {
            (Some(moment), None) => Some(moment.min(clock.now())),
            (Some(moment), Some(not_listed_at)) => {
                let not_listed_at = clock.timestamp(not_listed_at);
                if moment < not_listed_at.saturating_sub(MAX_LISTING_DELAY) {
                    Some(not_listed_at)
                } else {
                    Some(moment.min(clock.now()))
                }
            }
            (None, Some(not_listed_at)) => Some(clock.timestamp(not_listed_at)),
            (None, None) => None,
        };
        let start = KnownStart {
            unix_ms,
            started_at,
            is_of_first_list: not_listed_at.is_none(),
        };
        self.known.insert(server.clone(), start);
        started_at
    }

    /// Discovery's first list comes. With a present, this machine's wall clock is in doubt: what it told alone is forgotten, and
    /// the list is read as if it were that moment.
    pub(super) fn begin_first_list(&mut self, suspected_present_ms: Option<u64>) {
        self.present_of_first_list_ms = suspected_present_ms;
        if suspected_present_ms.is_some() {
            self.forget_first_list();
        }
    }

    /// The start as it was listed, in milliseconds of Unix time; 0 for long ago.
    pub(super) fn unix_ms(&self, server: &ServerId) -> u64 {
        self.known.get(server).map_or(0, |known| known.unix_ms)
    }

    /// Forgets what the wall clock alone told, since it turned out to be off: the next list that names these servers counts.
    pub(super) fn forget_first_list(&mut self) {
        self.known.retain(|_, known| !known.is_of_first_list);
    }

    /// Forgets servers that are not listed any more.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        self.known.retain(|server, _| is_listed(server));
    }
}

#[cfg(test)]
mod tests;
