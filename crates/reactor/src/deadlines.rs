//! All deadlines of a program, in one sorted structure that the loop processes each turn.

use crate::ComponentId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A deadline that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline<K> {
    /// The component that set it.
    pub owner: ComponentId,
    /// The purpose of the deadline.
    pub kind: K,
}

/// A pending deadline. Deadlines fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledDeadline<K> {
    due_at: Instant,
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
    /// Sets the owner's deadline of this kind, which replaces an earlier one of the same kind.
    pub fn set(&mut self, owner: ComponentId, kind: K, due_at: Instant) {
        self.clear(owner, kind);
        self.by_owner.entry(owner).or_default().insert(kind, due_at);
        self.by_time.insert(ScheduledDeadline {
            due_at,
            owner,
            kind,
        });
    }

    /// Clears one deadline, if it is set.
    pub fn clear(&mut self, owner: ComponentId, kind: K) {
        let Some(kinds) = self.by_owner.get_mut(&owner) else {
            return;
        };
        if let Some(due_at) = kinds.remove(&kind) {
            self.by_time.remove(&ScheduledDeadline {
                due_at,
                owner,
                kind,
            });
        }
        if kinds.is_empty() {
            self.by_owner.remove(&owner);
        }
    }

    /// Clears all deadlines of an owner, so that no deadline outlives its component.
    pub fn clear_all(&mut self, owner: ComponentId) {
        for (kind, due_at) in self.by_owner.remove(&owner).unwrap_or_default() {
            self.by_time.remove(&ScheduledDeadline {
                due_at,
                owner,
                kind,
            });
        }
    }

    /// Returns the instant of the earliest deadline.
    pub fn next(&self) -> Option<Instant> {
        self.by_time.first().map(|deadline| deadline.due_at)
    }

    /// Removes and returns the earliest deadline that has passed at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<Deadline<K>> {
        let ScheduledDeadline {
            due_at,
            owner,
            kind,
        } = *self.by_time.first()?;
        if due_at > now {
            return None;
        }
        self.clear(owner, kind);
        Some(Deadline { owner, kind })
    }
}

#[cfg(test)]
mod tests;
