//! Whose each connection is while one process hands them over to another. No I/O: what was sent and what came back goes in,
//! and what is to be told to which connection comes out.

use lupincrank_reactor::ComponentId;
use std::collections::{BTreeMap, VecDeque};

/// Connections under way from one process to the other: each counts twice in descriptors meanwhile.
pub const UNDER_WAY: usize = 4;

/// The connections that are still to go, and those that were sent and not answered for. A connection is this process's until
/// the other has said that it took it.
#[derive(Default)]
pub struct Custody {
    queue: VecDeque<ComponentId>,
    under_way: BTreeMap<u64, ComponentId>,
    number: u64,
    handed: usize,
}

impl Custody {
    /// These are to go as soon as it is their turn.
    pub fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.queue.extend(ids);
    }

    /// Whose turn it is now.
    pub fn turn(&mut self) -> Vec<ComponentId> {
        let room = UNDER_WAY
            .saturating_sub(self.under_way.len())
            .min(self.queue.len());
        self.queue.drain(..room).collect()
    }

    /// The number under which the next connection is sent.
    pub fn number(&self) -> u64 {
        self.number + 1
    }

    /// The connection went out under that number, or there was no room for it and it goes later.
    pub fn sent(&mut self, id: ComponentId, went: bool) {
        if went {
            self.number += 1;
            self.under_way.insert(self.number, id);
        } else {
            self.queue.push_back(id);
        }
    }

    /// The other process took the connection of this number, or did not. Gives the connection; none where the other speaks of
    /// one that is not under way.
    pub fn answered(&mut self, number: u64, took: bool) -> Option<ComponentId> {
        let id = self.under_way.remove(&number)?;
        self.handed += usize::from(took);
        Some(id)
    }

    /// The other process is gone: nothing goes any more, and these stay here.
    pub fn broke(&mut self) -> Vec<ComponentId> {
        self.queue.clear();
        std::mem::take(&mut self.under_way).into_values().collect()
    }

    /// Whether nothing is under way.
    pub fn idle(&self) -> bool {
        self.under_way.is_empty()
    }

    /// How many the other process has taken.
    pub fn handed(&self) -> usize {
        self.handed
    }
}

#[cfg(test)]
mod tests;
