//! All deadlines of a program, in one sorted structure that the loop sweeps each turn.

use crate::ComponentId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A deadline that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline<K> {
    /// The component that set it.
    pub owner: ComponentId,
    /// What it is for.
    pub kind: K,
}

/// A deadline that is set. Deadlines fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledDeadline<K> {
    at: Instant,
    owner: ComponentId,
    kind: K,
}

/// Deadlines by time; each owner has at most one of each kind.
pub struct Deadlines<K> {
    by_time: BTreeSet<ScheduledDeadline<K>>,
    by_owner: BTreeMap<ComponentId, BTreeMap<K, Instant>>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines {
            by_time: BTreeSet::new(),
            by_owner: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord> Deadlines<K> {
    /// Sets the owner's deadline of a kind, in place of an earlier one of that kind.
    pub fn set(&mut self, owner: ComponentId, kind: K, at: Instant) {
        self.clear(owner, kind);
        self.by_owner.entry(owner).or_default().insert(kind, at);
        self.by_time.insert(ScheduledDeadline { at, owner, kind });
    }

    /// Clears one deadline, if it is set.
    pub fn clear(&mut self, owner: ComponentId, kind: K) {
        let Some(kinds) = self.by_owner.get_mut(&owner) else {
            return;
        };
        if let Some(at) = kinds.remove(&kind) {
            self.by_time.remove(&ScheduledDeadline { at, owner, kind });
        }
        if kinds.is_empty() {
            self.by_owner.remove(&owner);
        }
    }

    /// Clears all deadlines of an owner: guards against deadlines that outlive their components.
    pub fn clear_all(&mut self, owner: ComponentId) {
        for (kind, at) in self.by_owner.remove(&owner).unwrap_or_default() {
            self.by_time.remove(&ScheduledDeadline { at, owner, kind });
        }
    }

    /// The instant at which the earliest deadline passes.
    pub fn next(&self) -> Option<Instant> {
        self.by_time.first().map(|deadline| deadline.at)
    }

    /// Removes and gives the earliest deadline that has passed at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<Deadline<K>> {
        let ScheduledDeadline { at, owner, kind } = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(owner, kind);
        Some(Deadline { owner, kind })
    }
}

#[cfg(test)]
mod tests;
