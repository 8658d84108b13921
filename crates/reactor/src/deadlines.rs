//! All deadlines of a program, in one sorted structure that the loop sweeps each turn.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Deadlines by time; each owner has at most one for each purpose.
#[derive(Default)]
pub struct Deadlines {
    by_time: BTreeSet<(Instant, u64, u64)>,
    by_owner: BTreeMap<(u64, u64), Instant>,
}

impl Deadlines {
    /// Sets the owner's deadline for a purpose; an earlier one for the same purpose is void.
    pub fn set(&mut self, owner: u64, purpose: u64, at: Instant) {
        self.clear(owner, purpose);
        self.by_owner.insert((owner, purpose), at);
        self.by_time.insert((at, owner, purpose));
    }

    /// Takes one deadline back.
    pub fn clear(&mut self, owner: u64, purpose: u64) {
        if let Some(at) = self.by_owner.remove(&(owner, purpose)) {
            self.by_time.remove(&(at, owner, purpose));
        }
    }

    /// Takes back all that an owner has set: guards against deadlines that outlive their connections.
    pub fn forget(&mut self, owner: u64) {
        let set: Vec<_> = self
            .by_owner
            .range((owner, 0)..=(owner, u64::MAX))
            .map(|(key, _)| key.1)
            .collect();
        set.into_iter()
            .for_each(|purpose| self.clear(owner, purpose));
    }

    /// The next moment at which something falls due.
    pub fn next(&self) -> Option<Instant> {
        self.by_time.first().map(|(at, _, _)| *at)
    }

    /// Takes out the earliest deadline that is due.
    pub fn due(&mut self, now: Instant) -> Option<(u64, u64)> {
        let (at, owner, purpose) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(owner, purpose);
        Some((owner, purpose))
    }
}

#[cfg(test)]
mod tests;
