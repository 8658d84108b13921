//! A table of what is known of each server, under a short number in place of its id.

use crate::ServerId;
use std::collections::HashMap;

/// A server's place in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerSlot(u32);

/// No server's place.
pub(crate) const UNKNOWN: ServerSlot = ServerSlot(u32::MAX);

/// Rows by id and by place. The place of a row that was removed is used again.
#[derive(Default)]
pub(crate) struct ServerTable<Row> {
    slots: HashMap<ServerId, ServerSlot>,
    rows: Vec<(Option<ServerId>, Row)>,
    unused: Vec<ServerSlot>,
}

impl<Row: Default> ServerTable<Row> {
    /// How many rows there are.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Where the id's row is, or `UNKNOWN`.
    pub(crate) fn slot(&self, id: &ServerId) -> ServerSlot {
        self.slots.get(id).copied().unwrap_or(UNKNOWN)
    }

    /// Every place in use.
    pub(crate) fn slots(&self) -> Vec<ServerSlot> {
        (0..self.rows.len() as u32)
            .map(ServerSlot)
            .filter(|at| self.id(*at).is_some())
            .collect()
    }

    pub(crate) fn id(&self, at: ServerSlot) -> Option<&ServerId> {
        self.rows.get(at.0 as usize).and_then(|(id, _)| id.as_ref())
    }

    pub(crate) fn get(&self, at: ServerSlot) -> Option<&Row> {
        #[cfg(test)]
        ROWS_READ.set(ROWS_READ.get() + 1);
        self.rows.get(at.0 as usize).map(|(_, row)| row)
    }

    pub(crate) fn get_mut(&mut self, at: ServerSlot) -> Option<&mut Row> {
        #[cfg(test)]
        ROWS_READ.set(ROWS_READ.get() + 1);
        self.rows.get_mut(at.0 as usize).map(|(_, row)| row)
    }

    /// Adds a row for an id that has none.
    pub(crate) fn insert(&mut self, id: ServerId, row: Row) -> ServerSlot {
        let at = self
            .unused
            .pop()
            .unwrap_or(ServerSlot(self.rows.len() as u32));
        self.slots.insert(id.clone(), at);
        match self.rows.get_mut(at.0 as usize) {
            Some(place) => *place = (Some(id), row),
            None => self.rows.push((Some(id), row)),
        }
        at
    }

    /// Removes a row; an empty one stays in its place until another takes it.
    pub(crate) fn remove(&mut self, at: ServerSlot) {
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
    pub(crate) static ROWS_READ: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

#[cfg(test)]
mod tests;
