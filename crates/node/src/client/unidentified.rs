//! Unidentified connections, that is, client connections without a request: those whose first line is not complete,
//! and those that have been answered.

use lupincrank_reactor::ComponentId;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An unidentified connection. Keys are ordered by expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    expires_at: Instant,
    id: ComponentId,
}

/// All unidentified connections of the node, ordered by expiry.
#[derive(Clone, Default)]
pub(crate) struct UnidentifiedClients {
    keys: Rc<RefCell<BTreeSet<Key>>>,
}

impl UnidentifiedClients {
    /// The number of connections.
    pub(crate) fn len(&self) -> usize {
        self.keys.borrow().len()
    }

    /// Returns true if there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.borrow().is_empty()
    }

    /// Removes the connection that expires first, and returns its component.
    pub(super) fn pop_first(&self) -> Option<ComponentId> {
        self.keys.borrow_mut().pop_first().map(|key| key.id)
    }

    /// Adds a connection that expires after `timeout`.
    pub(super) fn add(&self, id: ComponentId, timeout: Duration) -> UnidentifiedEntry {
        let key = Key {
            expires_at: Instant::now() + timeout,
            id,
        };
        self.keys.borrow_mut().insert(key);
        UnidentifiedEntry {
            clients: self.clone(),
            key,
        }
    }
}

/// A connection's entry among the unidentified ones; removed when dropped.
pub(super) struct UnidentifiedEntry {
    clients: UnidentifiedClients,
    key: Key,
}

impl UnidentifiedEntry {
    /// The time at which the connection expires.
    pub(super) fn expires_at(&self) -> Instant {
        self.key.expires_at
    }
}

impl Drop for UnidentifiedEntry {
    fn drop(&mut self) {
        self.clients.keys.borrow_mut().remove(&self.key);
    }
}
