//! The frequency of each group among recent requests.

use crate::state::decay::{decayed, SLOW_DECAY_PER_SECOND};
use std::collections::HashMap;

/// Groups with this many recent requests or fewer are dropped.
const MIN_RECENT_REQUESTS: f64 = 0.1;

/// The maximum number of groups. Guards against clients that send ever new groups.
const MAX_GROUPS: usize = 50_000;

/// Weight of the prior, in requests. The arrival of one request of a group gives as much evidence of the group's size
/// as this many observed requests, because a request more likely belongs to a large group than to a small one.
const PRIOR_REQUESTS: f64 = 5.0;

/// Recent requests, decaying with age.
#[derive(Default)]
pub(crate) struct GroupFrequency {
    /// Requests of any group.
    total: f64,
    by_group: HashMap<u32, f64>,
}

impl GroupFrequency {
    pub(crate) fn record(&mut self, group: u32) {
        self.total += 1.0;
        if self.by_group.len() >= MAX_GROUPS && !self.by_group.contains_key(&group) {
            self.drop_less_frequent_half();
        }
        self.reserve_group();
        *self.by_group.entry(group).or_default() += 1.0;
    }

    /// The group's share of the requests. Leaves out its last request, so that a small group seen once does not pass
    /// for a large one.
    pub(crate) fn other_request_ratio(&self, group: u32) -> f64 {
        let requests = self.by_group.get(&group);
        let others = requests.map_or(0.0, |requests| requests - 1.0).max(0.0);
        others / (self.total - 1.0).max(1.0)
    }

    /// The expected share of the group in all requests, given that one of its requests has arrived. Includes its last
    /// request: at a node that has seen few requests, any group may be a large one.
    pub(crate) fn expected_request_ratio(&self, group: u32) -> f64 {
        let requests = self.by_group.get(&group).copied().unwrap_or_default();
        requests / (self.total + PRIOR_REQUESTS)
    }

    /// Makes room for one more group. A removed group can leave its place unusable, and a standard map that has no
    /// usable place left doubles, so the groups move to a new map of bounded size instead.
    fn reserve_group(&mut self) {
        let group_count = self.by_group.len();
        if group_count < self.by_group.capacity() {
            return;
        }
        let capacity = (2 * group_count).min(MAX_GROUPS);
        let mut by_group = HashMap::with_capacity(capacity);
        by_group.extend(self.by_group.drain());
        self.by_group = by_group;
    }

    /// Drops the groups that are not more frequent than the median, at least half of them.
    fn drop_less_frequent_half(&mut self) {
        let mut counts: Vec<f64> = self.by_group.values().copied().collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        self.by_group.retain(|_, requests| *requests > *median);
    }

    /// Decays the counts; called once per second.
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
