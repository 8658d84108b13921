//! The count of clients that are held with a request.

use std::cell::Cell;
use std::rc::Rc;

/// One client in the count of those that are held with a request; leaves the count when dropped.
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
