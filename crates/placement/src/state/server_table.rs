//! A table of servers that gives each a small number, its slot, in place of its id.

use crate::ServerId;
use std::collections::HashMap;

/// The index of a server in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerSlot(u32);

/// A slot that no server has.
pub(crate) const UNKNOWN: ServerSlot = ServerSlot(u32::MAX);

#[derive(Default)]
struct TableRow<Row> {
    /// `None` if the slot is unused.
    id: Option<ServerId>,
    row: Row,
}

/// Rows by id and by slot. The slot of a removed row is reused.
#[derive(Default)]
pub(crate) struct ServerTable<Row> {
    slots: HashMap<ServerId, ServerSlot>,
    rows: Vec<TableRow<Row>>,
    unused_slots: Vec<ServerSlot>,
}

impl<Row: Default> ServerTable<Row> {
    /// The number of servers.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The slot of the id, or `UNKNOWN`.
    pub(crate) fn slot(&self, id: &ServerId) -> ServerSlot {
        self.slots.get(id).copied().unwrap_or(UNKNOWN)
    }

    /// All slots in use, in ascending order.
    pub(crate) fn slots(&self) -> Vec<ServerSlot> {
        (0..self.rows.len() as u32)
            .map(ServerSlot)
            .filter(|slot| self.id(*slot).is_some())
            .collect()
    }

    pub(crate) fn id(&self, slot: ServerSlot) -> Option<&ServerId> {
        self.rows.get(slot.0 as usize)?.id.as_ref()
    }

    pub(crate) fn get(&self, slot: ServerSlot) -> Option<&Row> {
        #[cfg(test)]
        ROWS_READ.set(ROWS_READ.get() + 1);
        self.rows.get(slot.0 as usize).map(|entry| &entry.row)
    }

    pub(crate) fn get_mut(&mut self, slot: ServerSlot) -> Option<&mut Row> {
        #[cfg(test)]
        ROWS_READ.set(ROWS_READ.get() + 1);
        self.rows
            .get_mut(slot.0 as usize)
            .map(|entry| &mut entry.row)
    }

    /// Adds a row for an id that is not in the table.
    pub(crate) fn insert(&mut self, id: ServerId, row: Row) -> ServerSlot {
        let next_slot = ServerSlot(self.rows.len() as u32);
        let slot = self.unused_slots.pop().unwrap_or(next_slot);
        self.slots.insert(id.clone(), slot);
        let entry = TableRow { id: Some(id), row };
        match self.rows.get_mut(slot.0 as usize) {
            Some(unused) => *unused = entry,
            None => self.rows.push(entry),
        }
        slot
    }

    /// Removes a row. Its slot contains a default row until it is reused.
    pub(crate) fn remove(&mut self, slot: ServerSlot) {
        let Some(entry) = self.rows.get_mut(slot.0 as usize) else {
            return;
        };
        if let Some(id) = std::mem::take(entry).id {
            self.slots.remove(&id);
            self.unused_slots.push(slot);
        }
    }
}

#[cfg(test)]
thread_local! {
    /// Number of rows read by this thread, for tests of the cost of decisions.
    pub(crate) static ROWS_READ: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

#[cfg(test)]
mod tests;
