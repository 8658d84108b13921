//! The claim queries that the other process has not answered. This module does no I/O.

use lupincrank_reactor::ComponentId;
use std::collections::BTreeMap;

/// Maximum number of unanswered queries, so that a process that does not answer leaves room in the socket for other
/// messages.
const MAX_UNANSWERED: usize = 32;

/// The unanswered queries by number, with the client connections that wait for the answers.
#[derive(Default)]
pub(super) struct UnansweredQueries {
    inquirers: BTreeMap<u64, ComponentId>,
    last_number: u64,
}

impl UnansweredQueries {
    /// The number of the next query. `None` if the client connection waits for an answer already, or too many do.
    pub(super) fn next_number(&self, inquirer: ComponentId) -> Option<u64> {
        let is_waiting = self.inquirers.values().any(|id| *id == inquirer);
        let may_send = !is_waiting && self.inquirers.len() < MAX_UNANSWERED;
        may_send.then_some(self.last_number + 1)
    }

    /// Records that the query with this number was sent.
    pub(super) fn record_sent(&mut self, number: u64, inquirer: ComponentId) {
        self.last_number = number;
        self.inquirers.insert(number, inquirer);
    }

    /// Records the answer to the query with this number. Returns the client connection that waits for it.
    pub(super) fn record_answer(&mut self, number: u64) -> Option<ComponentId> {
        self.inquirers.remove(&number)
    }

    /// Drops all queries: the other process will not answer them.
    pub(super) fn clear(&mut self) {
        self.inquirers.clear();
    }
}

#[cfg(test)]
mod tests;
