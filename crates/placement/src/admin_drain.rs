//! Servers that an administrator drains, beside what service discovery says of them.
//!
//! The policy sees a drained server as [`Health::Draining`], whatever the endpoint list says, so nothing new goes there. A
//! server that is released counts as started when the list says, if that is after it was drained, and as just started
//! otherwise: it was most likely restarted, and the list tells that late.

use crate::{Endpoint, Health, ServerId, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Adds a server to a set of drained ones or removes it; whether the set changed.
pub fn set_drained(drained: &mut BTreeSet<ServerId>, server: &ServerId, is_drained: bool) -> bool {
    if is_drained {
        drained.insert(server.clone())
    } else {
        drained.remove(server)
    }
}

/// How far the gradual migration of a drained server's connections has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    /// The drained server.
    pub server: ServerId,
    /// Steps in which it must be empty, the present one included; at least 1.
    pub remaining_steps: usize,
}

/// The last endpoint list and the servers drained by an administrator.
#[derive(Default)]
pub struct AdminDrain {
    /// Endpoints as service discovery describes them.
    endpoints: HashMap<ServerId, Endpoint>,
    drained: BTreeSet<ServerId>,
    /// When each server of `drained` was drained.
    drained_at: HashMap<ServerId, Timestamp>,
}

impl AdminDrain {
    /// Records entries of the endpoint list and gives them as the policy is to see them. An `is_complete` list replaces
    /// the recorded one.
    pub fn apply_endpoints(&mut self, entries: Vec<Endpoint>, is_complete: bool) -> Vec<Endpoint> {
        if is_complete {
            self.endpoints.clear();
        }
        for entry in &entries {
            self.record(entry);
        }
        entries
            .into_iter()
            .map(|entry| self.with_drain(entry))
            .collect()
    }

    /// Whether the list has the server, or it is drained and can be released.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.endpoints.contains_key(server) || self.drained.contains(server)
    }

    /// The drained servers.
    pub fn drained(&self) -> &BTreeSet<ServerId> {
        &self.drained
    }

    /// How many steps of the length `step` are left for each drained server to be empty `drain_duration` after it was
    /// drained, in the order of the servers' names.
    pub fn progress(
        &self,
        now: Timestamp,
        drain_duration: Duration,
        step: Duration,
    ) -> Vec<DrainProgress> {
        let remaining_steps = |drained_at: Timestamp| {
            let elapsed = now.saturating_duration_since(drained_at);
            let remaining = drain_duration.saturating_sub(elapsed);
            (remaining.as_nanos() / step.as_nanos().max(1)) as usize + 1
        };
        self.drained
            .iter()
            .filter_map(|server| {
                let drained_at = *self.drained_at.get(server)?;
                Some(DrainProgress {
                    server: server.clone(),
                    remaining_steps: remaining_steps(drained_at),
                })
            })
            .collect()
    }

    /// Replaces the set of drained servers. Gives the entries that change by it, as the policy is to see them: newly drained
    /// servers as draining, released ones as lately started. Servers that are not on the list have no entry.
    pub fn set_drained_servers(
        &mut self,
        now: Timestamp,
        drained: BTreeSet<ServerId>,
    ) -> Vec<Endpoint> {
        let newly_drained: BTreeSet<ServerId> =
            drained.difference(&self.drained).cloned().collect();
        let released: BTreeSet<ServerId> = self.drained.difference(&drained).cloned().collect();
        self.drained = drained;
        let changed = newly_drained.union(&released);
        let entries = changed
            .filter_map(|server| self.changed_entry(now, server, released.contains(server)))
            .collect();
        for server in &released {
            self.drained_at.remove(server);
        }
        for server in newly_drained {
            self.drained_at.insert(server, now);
        }
        entries
    }

    fn record(&mut self, entry: &Endpoint) {
        if entry.health == Health::Removed {
            self.endpoints.remove(&entry.server);
        } else {
            self.endpoints.insert(entry.server.clone(), entry.clone());
        }
    }

    /// The entry as the policy is to see it.
    fn with_drain(&self, mut entry: Endpoint) -> Endpoint {
        if entry.health == Health::Ready && self.drained.contains(&entry.server) {
            entry.health = Health::Draining;
        }
        entry
    }

    fn changed_entry(
        &self,
        now: Timestamp,
        server: &ServerId,
        is_released: bool,
    ) -> Option<Endpoint> {
        let mut entry = self.with_drain(self.endpoints.get(server)?.clone());
        if is_released {
            let drained_at = self.drained_at.get(server);
            let restarted_at = entry
                .started_at
                .filter(|started_at| drained_at < Some(started_at));
            entry.started_at = restarted_at.or(Some(now));
        }
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
