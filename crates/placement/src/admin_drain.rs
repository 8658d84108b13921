//! Servers drained by an administrator, independently of service discovery.
//!
//! The policy sees a drained server as [`Health::Draining`] even if the endpoint list reports it as ready, so no new
//! connections are placed on it. The start of a released server is the one that the endpoint list reports if that is
//! later than the drain; otherwise the server counts as just started, because it was most likely restarted and the list
//! reports that late.

use crate::{Endpoint, Health, ServerId, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Adds a server to a set of drained servers or removes it. Returns true if the set changed.
pub fn set_drained(drained: &mut BTreeSet<ServerId>, server: &ServerId, is_drained: bool) -> bool {
    if is_drained {
        drained.insert(server.clone())
    } else {
        drained.remove(server)
    }
}

/// Progress of the gradual migration of a drained server's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    /// The drained server.
    pub server: ServerId,
    /// Steps left to move all of its connections, the present one included; at least 1.
    pub remaining_steps: usize,
}

/// The last endpoint list and the servers drained by an administrator.
#[derive(Default)]
pub struct AdminDrain {
    /// Endpoints as reported by service discovery.
    endpoints: HashMap<ServerId, Endpoint>,
    drained: BTreeSet<ServerId>,
    /// The time at which each server in `drained` was drained.
    drained_at: HashMap<ServerId, Timestamp>,
}

impl AdminDrain {
    /// Records entries of the endpoint list and returns them as the policy sees them. With `is_complete`, they replace
    /// all recorded entries.
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

    /// Returns true if the endpoint list contains the server or the server is drained, so that it can be released.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.endpoints.contains_key(server) || self.drained.contains(server)
    }

    /// The drained servers.
    pub fn drained(&self) -> &BTreeSet<ServerId> {
        &self.drained
    }

    /// The number of steps of length `step` left for each drained server to have no connections `drain_duration` after
    /// it was drained, ordered by server id.
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

    /// Replaces the set of drained servers. Returns the entries that change, as the policy sees them: newly drained
    /// servers as draining, released ones as recently started. Servers that the endpoint list does not contain have no
    /// entry.
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

    /// The entry as the policy sees it.
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
