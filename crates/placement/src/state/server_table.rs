//! A table of what is known of each server, under a short number in place of its id.

use crate::ServerId;
use std::collections::HashMap;

/// A server's place in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Slot(u32);

/// No server's place.
pub(crate) const UNKNOWN: Slot = Slot(u32::MAX);

/// Rows by id and by place. The place of a row that was removed is used again.
#[derive(Default)]
pub(crate) struct Table<Row> {
    slots: HashMap<ServerId, Slot>,
    rows: Vec<(Option<ServerId>, Row)>,
    unused: Vec<Slot>,
}

impl<Row: Default> Table<Row> {
    /// How many rows there are.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Where the id's row is, or `UNKNOWN`.
    pub(crate) fn slot(&self, id: &ServerId) -> Slot {
        self.slots.get(id).copied().unwrap_or(UNKNOWN)
    }

    /// Every place in use.
    pub(crate) fn slots(&self) -> Vec<Slot> {
        (0..self.rows.len() as u32)
            .map(Slot)
            .filter(|at| self.id(*at).is_some())
            .collect()
    }

    pub(crate) fn id(&self, at: Slot) -> Option<&ServerId> {
        self.rows.get(at.0 as usize).and_then(|(id, _)| id.as_ref())
    }

    pub(crate) fn get(&self, at: Slot) -> Option<&Row> {
        #[cfg(test)]
        READS.set(READS.get() + 1);
        self.rows.get(at.0 as usize).map(|(_, row)| row)
    }

    pub(crate) fn get_mut(&mut self, at: Slot) -> Option<&mut Row> {
        #[cfg(test)]
        READS.set(READS.get() + 1);
        self.rows.get_mut(at.0 as usize).map(|(_, row)| row)
    }

    /// Adds a row for an id that has none.
    pub(crate) fn insert(&mut self, id: ServerId, row: Row) -> Slot {
        let at = self.unused.pop().unwrap_or(Slot(self.rows.len() as u32));
        self.slots.insert(id.clone(), at);
        match self.rows.get_mut(at.0 as usize) {
            Some(place) => *place = (Some(id), row),
            None => self.rows.push((Some(id), row)),
        }
        at
    }

    /// Removes a row; an empty one stays in its place until another takes it.
    pub(crate) fn remove(&mut self, at: Slot) {
        let Some(place) = self.rows.get_mut(at.0 as usize) else {
            return;
        };
        if let (Some(id), _) = std::mem::take(place) {
            self.slots.remove(&id);
            self.unused.push(at);
        }
    }
}

#[cfg(test)]
thread_local! {
    /// Rows read by this thread, for tests of what decisions cost.
    pub(crate) static READS: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

#[cfg(test)]
mod tests;
