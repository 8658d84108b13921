//! Counting of clients with a request.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one client with a request until it is dropped.
pub(crate) struct ClientSlot {
    count: Rc<Cell<usize>>,
}

impl ClientSlot {
    /// Adds a client to the count.
    pub(crate) fn acquire(count: &Rc<Cell<usize>>) -> ClientSlot {
        count.set(count.get() + 1);
        ClientSlot {
            count: Rc::clone(count),
        }
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}
