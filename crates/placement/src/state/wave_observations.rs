//! What this node has seen lately of clients that lose their connections and return: its sample of what all nodes see.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Moments of events that are remembered; further events count for the last of them, whose
/// moment becomes theirs.
const MAX_MOMENTS: usize = 64;

/// Events at the same moment.
struct EventCount {
    at: Timestamp,
    count: u32,
}

/// Events of one kind, the oldest first.
#[derive(Default)]
struct RecentEvents {
    counts: VecDeque<EventCount>,
}

impl RecentEvents {
    /// Records an event and forgets those that are older than `max_age`. `now` must not run backwards.
    fn record(&mut self, now: Timestamp, max_age: Duration) {
        let is_past = |count: &EventCount| now.saturating_duration_since(count.at) >= max_age;
        while self.counts.front().is_some_and(is_past) {
            self.counts.pop_front();
        }
        let is_full = self.counts.len() >= MAX_MOMENTS;
        match self.counts.back_mut() {
            Some(last) if is_full || last.at == now => {
                last.at = now;
                last.count += 1;
            }
            _ => self.counts.push_back(EventCount { at: now, count: 1 }),
        }
    }

    fn count_within(&self, now: Timestamp, max_age: Duration) -> u32 {
        let is_recent = |count: &&EventCount| now.saturating_duration_since(count.at) < max_age;
        let recent = self.counts.iter().filter(is_recent);
        recent.map(|count| count.count).sum()
    }
}

/// Connections that broke at this node, and requests of clients that returned to it.
#[derive(Default)]
pub(crate) struct WaveObservations {
    broken_connections: RecentEvents,
    returned_requests: RecentEvents,
}

impl WaveObservations {
    /// An established connection ended, and its client is about to return to any node.
    pub(crate) fn record_broken_connection(&mut self, now: Timestamp, max_age: Duration) {
        self.broken_connections.record(now, max_age);
    }

    /// A client returned to this node, or its first attempt failed.
    pub(crate) fn record_returned_request(&mut self, now: Timestamp, max_age: Duration) {
        self.returned_requests.record(now, max_age);
    }

    /// Connections of this node that broke within `max_age`.
    pub(crate) fn broken_connections(&self, now: Timestamp, max_age: Duration) -> f64 {
        f64::from(self.broken_connections.count_within(now, max_age))
    }

    /// Requests that returned to this node within `max_age`.
    pub(crate) fn returned_requests(&self, now: Timestamp, max_age: Duration) -> f64 {
        f64::from(self.returned_requests.count_within(now, max_age))
    }
}

#[cfg(test)]
mod tests;
