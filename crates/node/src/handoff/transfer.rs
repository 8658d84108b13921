//! Tracks which process owns each connection while one process of a node transfers its connections to the other. This
//! module does no I/O: the caller reports sent connections and answers.

use super::socket::SendOutcome;
use lupincrank_reactor::ComponentId;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of connections in flight. The descriptors of a connection in flight are open in both processes.
pub(crate) const MAX_IN_FLIGHT: usize = 4;

/// The other process's answer to an offered connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferAnswer {
    /// The other process owns the connection.
    Accepted,
    /// The sender still owns the connection.
    Rejected,
}

/// The connections that wait for their transfer, and those in flight. This process owns a connection until the other one
/// has accepted it.
#[derive(Default)]
pub(crate) struct TransferQueue {
    waiting: VecDeque<ComponentId>,
    in_flight: BTreeMap<u64, ComponentId>,
    last_number: u64,
    accepted_count: usize,
}

impl TransferQueue {
    /// Appends connections to the queue.
    pub(crate) fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.waiting.extend(ids);
    }

    /// Removes the connections from the queue that may be sent.
    pub(crate) fn next_batch(&mut self) -> Vec<ComponentId> {
        let count = MAX_IN_FLIGHT
            .saturating_sub(self.in_flight.len())
            .min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }

    /// The number of the next connection to be sent.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Records that the connection was sent with the next number, or appends it to the queue again if it was not sent.
    pub(crate) fn record_send(&mut self, id: ComponentId, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Sent => {
                self.last_number += 1;
                self.in_flight.insert(self.last_number, id);
            }
            SendOutcome::WouldBlock => self.waiting.push_back(id),
        }
    }

    /// Records the other process's answer to the connection with this number. Returns the connection, or `None` if no
    /// connection with this number is in flight.
    pub(crate) fn record_answer(
        &mut self,
        number: u64,
        answer: TransferAnswer,
    ) -> Option<ComponentId> {
        let id = self.in_flight.remove(&number)?;
        if answer == TransferAnswer::Accepted {
            self.accepted_count += 1;
        }
        Some(id)
    }

    /// Cancels the transfer: empties the queue and returns the connections in flight, which this process still owns.
    pub(crate) fn cancel(&mut self) -> Vec<ComponentId> {
        self.waiting.clear();
        let cancelled = std::mem::take(&mut self.in_flight);
        cancelled.into_values().collect()
    }

    /// Returns true if no connection is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns true if this connection is in flight.
    pub(crate) fn is_in_flight(&self, id: ComponentId) -> bool {
        self.in_flight.values().any(|sent| *sent == id)
    }

    /// The number of connections that the other process has accepted.
    pub(crate) fn accepted_count(&self) -> usize {
        self.accepted_count
    }
}

#[cfg(test)]
mod tests;
