//! Which servers people have taken out of use, beside what the list says. The decisions see a server that is out as one
//! that drains, whatever the list tells meanwhile, so that nothing new goes there by any way; called back, as one that
//! started when the list told that it did since it was taken out, and where it told none as one that has just started:
//! it was most likely restarted, and the list tells that late.

use crate::{Endpoint, Health, ServerId, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Puts a server among those that are out, or takes it from them; whether that changes anything.
pub fn set_drained(out: &mut BTreeSet<ServerId>, server: &ServerId, down: bool) -> bool {
    if down {
        out.insert(server.clone())
    } else {
        out.remove(server)
    }
}

/// The list as last told, and the servers that are out.
#[derive(Default)]
pub struct AdminDrain {
    listed: HashMap<ServerId, Endpoint>,
    out: BTreeSet<ServerId>,
    since: HashMap<ServerId, Timestamp>,
}

impl AdminDrain {
    /// Takes in what the list tells and gives what the decisions are to see of it.
    pub fn apply_endpoints(&mut self, entries: Vec<Endpoint>, whole: bool) -> Vec<Endpoint> {
        if whole {
            self.listed.clear();
        }
        for entry in &entries {
            match entry.health {
                Health::Gone => drop(self.listed.remove(&entry.server)),
                _ => drop(self.listed.insert(entry.server.clone(), entry.clone())),
            }
        }
        entries
            .into_iter()
            .map(|entry| self.as_seen(entry))
            .collect()
    }

    fn as_seen(&self, mut entry: Endpoint) -> Endpoint {
        if entry.health == Health::Ready && self.out.contains(&entry.server) {
            entry.health = Health::Draining;
        }
        entry
    }

    /// Whether the list names the server, or it is out and may be called back.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.listed.contains_key(server) || self.out.contains(server)
    }

    /// The servers that are out.
    pub fn drained(&self) -> &BTreeSet<ServerId> {
        &self.out
    }

    /// In how many steps each server that is out has to be empty, the present one included, if it has to be within `within`.
    pub fn remaining_steps(
        &self,
        now: Timestamp,
        within: Duration,
        step: Duration,
    ) -> Vec<(ServerId, usize)> {
        let left = |since: Timestamp| {
            within
                .saturating_sub(now.saturating_duration_since(since))
                .as_nanos()
                / step.as_nanos().max(1)
        };
        let steps = self
            .out
            .iter()
            .filter_map(|server| Some((server.clone(), *self.since.get(server)?)));
        steps
            .map(|(server, since)| (server, left(since) as usize + 1))
            .collect()
    }

    /// From now on exactly these are out. Gives the entries that change by it: those taken out as they are shown now,
    /// those called back as started lately.
    pub fn set_drained_servers(
        &mut self,
        now: Timestamp,
        out: BTreeSet<ServerId>,
    ) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.out, out);
        let since = self.since.clone();
        self.since.retain(|server, _| self.out.contains(server));
        for server in &self.out {
            self.since.entry(server.clone()).or_insert(now);
        }
        let changed = before.symmetric_difference(&self.out);
        let entry = |server: &ServerId| {
            let mut entry = self.as_seen(self.listed.get(server)?.clone());
            if before.contains(server) {
                entry.started_at = entry
                    .started_at
                    .filter(|at| since.get(server) < Some(at))
                    .or(Some(now));
            }
            Some(entry)
        };
        changed.filter_map(entry).collect()
    }
}

#[cfg(test)]
mod tests;
