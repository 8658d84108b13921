//! The schedule of client sessions, and counts of the sessions that were served in time.

use lupincrank_test_servers::client::ClientSession;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// Orders sessions by due time, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SessionKey {
    due_at: Instant,
    number: u64,
}

/// The numbers of sessions that were due in one second and that were served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct ServiceCount {
    /// New and reconnecting sessions that were due.
    pub due: u32,
    /// Sessions whose connection was established in time.
    pub served: u32,
}

impl From<ServiceCount> for (u32, u32) {
    fn from(count: ServiceCount) -> (u32, u32) {
        (count.due, count.served)
    }
}

/// Sessions that are due later.
#[derive(Default)]
pub(crate) struct SessionSchedule {
    pending: BTreeMap<SessionKey, ClientSession>,
    /// Whether sessions were scheduled since the deadline was set.
    is_deadline_stale: bool,
    service_by_second: BTreeMap<u64, ServiceCount>,
}

impl SessionSchedule {
    /// Schedules a session's next request.
    pub(crate) fn schedule(&mut self, due_at: Instant, session: ClientSession) {
        let key = SessionKey {
            due_at,
            number: session.number,
        };
        self.pending.insert(key, session);
        self.is_deadline_stale = true;
    }

    /// Removes and returns the next session that is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<ClientSession> {
        let entry = self.pending.first_entry()?;
        (entry.key().due_at <= now).then(|| entry.remove())
    }

    /// The due time of the next session.
    pub(crate) fn next_due_at(&self) -> Option<Instant> {
        self.pending.keys().next().map(|key| key.due_at)
    }

    /// Returns true if sessions were scheduled since the last call.
    pub(crate) fn take_deadline_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_deadline_stale)
    }

    /// Counts a session as due.
    pub(crate) fn count_due(&mut self, second: u64) {
        self.service_by_second.entry(second).or_default().due += 1;
    }

    /// Counts a session as served in time.
    pub(crate) fn count_served(&mut self, due_second: u64) {
        self.service_by_second.entry(due_second).or_default().served += 1;
    }

    /// Due and served sessions by the second in which they were due.
    pub(crate) fn service_by_second(&self) -> &BTreeMap<u64, ServiceCount> {
        &self.service_by_second
    }

    /// The fraction of due sessions that were served in time.
    pub(crate) fn service_ratio(&self) -> f64 {
        let due: u32 = self.service_by_second.values().map(|count| count.due).sum();
        let served: u32 = self
            .service_by_second
            .values()
            .map(|count| count.served)
            .sum();
        f64::from(served.min(due)) / f64::from(due.max(1))
    }
}
