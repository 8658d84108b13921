//! Connections that recently broke at this node: its sample of the connections that broke at all nodes.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of entries. If all are used, further breaks count in the last one, whose time is updated.
const MAX_ENTRIES: usize = 64;

/// Connections that broke at the same moment.
struct BreakCount {
    broken_at: Timestamp,
    count: u32,
}

/// Connections that broke at this node, oldest first. Their clients are expected to reconnect to any node.
#[derive(Default)]
pub(crate) struct BrokenConnections {
    counts: VecDeque<BreakCount>,
}

impl BrokenConnections {
    /// Records that an established connection broke, and drops entries older than `max_age`. `now` must not decrease.
    pub(crate) fn record(&mut self, now: Timestamp, max_age: Duration) {
        let is_expired =
            |count: &BreakCount| now.saturating_duration_since(count.broken_at) >= max_age;
        while self.counts.front().is_some_and(is_expired) {
            self.counts.pop_front();
        }
        let is_full = self.counts.len() >= MAX_ENTRIES;
        match self.counts.back_mut() {
            Some(last) if is_full || last.broken_at == now => {
                last.broken_at = now;
                last.count += 1;
            }
            _ => self.counts.push_back(BreakCount {
                broken_at: now,
                count: 1,
            }),
        }
    }

    /// The number of connections that broke within `max_age`.
    pub(crate) fn count_within(&self, now: Timestamp, max_age: Duration) -> u32 {
        let is_recent =
            |count: &&BreakCount| now.saturating_duration_since(count.broken_at) < max_age;
        let recent = self.counts.iter().filter(is_recent);
        recent.map(|count| count.count).sum()
    }
}

#[cfg(test)]
mod tests;
