//! Connections that broke at this node lately: its sample of what all nodes see.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Moments that are remembered; further events count for the last of them, whose moment becomes theirs.
const MAX_MOMENTS: usize = 64;

/// Connections that broke at the same moment.
struct BreakCount {
    at: Timestamp,
    count: u32,
}

/// Connections that broke at this node, the oldest first. Their clients are about to return to any node.
#[derive(Default)]
pub(crate) struct BrokenConnections {
    counts: VecDeque<BreakCount>,
}

impl BrokenConnections {
    /// An established connection broke. Forgets those that are older than `max_age`. `now` must not run backwards.
    pub(crate) fn record(&mut self, now: Timestamp, max_age: Duration) {
        let is_past = |count: &BreakCount| now.saturating_duration_since(count.at) >= max_age;
        while self.counts.front().is_some_and(is_past) {
            self.counts.pop_front();
        }
        let is_full = self.counts.len() >= MAX_MOMENTS;
        match self.counts.back_mut() {
            Some(last) if is_full || last.at == now => {
                last.at = now;
                last.count += 1;
            }
            _ => self.counts.push_back(BreakCount { at: now, count: 1 }),
        }
    }

    /// How many broke within `max_age`.
    pub(crate) fn count_within(&self, now: Timestamp, max_age: Duration) -> u32 {
        let is_recent = |count: &&BreakCount| now.saturating_duration_since(count.at) < max_age;
        let recent = self.counts.iter().filter(is_recent);
        recent.map(|count| count.count).sum()
    }
}

#[cfg(test)]
mod tests;
