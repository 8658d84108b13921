//! The numbers of clients of the processes of a node, whose limits hold for all processes together. Each process publishes
//! its numbers in the file of its request ids, so that the other one knows them before its next decision.

use super::request_table::{ClientCounts, SharedTables};
use std::cell::Cell;

/// Publishes the numbers of this process and reads those of the others.
pub(crate) struct SharedClientCounts {
    tables: SharedTables,
    /// The numbers as last published.
    published: Cell<Option<ClientCounts>>,
}

impl SharedClientCounts {
    /// Uses these tables, once they are open.
    pub(crate) fn new(tables: SharedTables) -> SharedClientCounts {
        SharedClientCounts {
            tables,
            published: Cell::new(None),
        }
    }

    /// Publishes the numbers of this process, unless they are unchanged. If that fails, the next call tries again.
    pub(crate) fn publish(&self, counts: ClientCounts) {
        if self.published.get() == Some(counts) {
            return;
        }
        if let Some(tables) = &*self.tables.borrow() {
            if tables.own.write_counts(counts).is_ok() {
                self.published.set(Some(counts));
            }
        }
    }

    /// The sum over the other processes; `None` if no other process that is running has published its numbers.
    pub(crate) fn of_other_processes(&self) -> Option<ClientCounts> {
        let tables = self.tables.borrow();
        let others = tables.as_ref()?.others.iter();
        let counts = others.filter_map(|table| table.read_counts().ok().flatten());
        counts.reduce(|sum, counts| ClientCounts {
            clients: sum.clients + counts.clients,
            unidentified: sum.unidentified + counts.unidentified,
        })
    }
}

#[cfg(test)]
mod tests;
