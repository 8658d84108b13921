//! How frequent each group is among recent requests.

use crate::state::decay::{decayed, SLOW_DECAY_PER_SECOND};
use std::collections::HashMap;

/// Groups with fewer recent requests are forgotten.
const MIN_RECENT_REQUESTS: f64 = 0.1;

/// A node that has seen this many requests knows as much of a group's size as the bare fact tells that one of the group has
/// come: large groups come more often.
const PRIOR_REQUESTS: f64 = 5.0;

/// Recent requests, which count less as they grow older.
#[derive(Default)]
pub(crate) struct GroupFrequency {
    /// Requests of any group.
    total: f64,
    by_group: HashMap<u32, f64>,
}

impl GroupFrequency {
    pub(crate) fn record(&mut self, group: u32) {
        self.total += 1.0;
        *self.by_group.entry(group).or_default() += 1.0;
    }

    /// The group's part of the requests. The last one is left out, so that a small group met once is not taken for a
    /// large one.
    pub(crate) fn other_request_ratio(&self, group: u32) -> f64 {
        let requests = self.by_group.get(&group);
        let others = requests.map_or(0.0, |requests| requests - 1.0).max(0.0);
        others / (self.total - 1.0).max(1.0)
    }

    /// The group's part of the requests that is to be expected where one of them has come, with the last one: at a node that has
    /// seen few requests each group may be a large one.
    pub(crate) fn expected_request_ratio(&self, group: u32) -> f64 {
        let requests = self.by_group.get(&group).copied().unwrap_or_default();
        requests / (self.total + PRIOR_REQUESTS)
    }

    /// A second has passed.
    pub(crate) fn decay(&mut self) {
        self.total = decayed(self.total, SLOW_DECAY_PER_SECOND);
        for requests in self.by_group.values_mut() {
            *requests = decayed(*requests, SLOW_DECAY_PER_SECOND);
        }
        self.by_group
            .retain(|_, requests| *requests > MIN_RECENT_REQUESTS);
    }
}

#[cfg(test)]
mod tests;
