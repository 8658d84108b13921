//! Which process owns each connection while one process of a node transfers its connections to the other. No I/O: what was
//! sent and how it was answered goes in, and the connections concerned come out.

use super::socket::SendOutcome;
use lupincrank_reactor::ComponentId;
use std::collections::{BTreeMap, VecDeque};

/// Connections in flight from one process to the other: each has its descriptors open in both meanwhile.
pub(crate) const MAX_IN_FLIGHT: usize = 4;

/// What the other process has answered to a transferred connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferAnswer {
    /// It owns the connection now.
    Accepted,
    /// The sender still owns the connection.
    Rejected,
}

/// The connections that are still to be transferred, and those in flight. A connection is owned by this process until the
/// other one has accepted it.
#[derive(Default)]
pub(crate) struct TransferQueue {
    waiting: VecDeque<ComponentId>,
    in_flight: BTreeMap<u64, ComponentId>,
    last_number: u64,
    accepted_count: usize,
}

impl TransferQueue {
    /// Adds connections at the end of the queue.
    pub(crate) fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.waiting.extend(ids);
    }

    /// Takes the connections that may be sent now from the queue.
    pub(crate) fn next_batch(&mut self) -> Vec<ComponentId> {
        let count = MAX_IN_FLIGHT
            .saturating_sub(self.in_flight.len())
            .min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }

    /// The number under which the next connection is sent.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// The connection was sent under the next number, or there was no space for it and it waits again.
    pub(crate) fn record_send(&mut self, id: ComponentId, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Sent => {
                self.last_number += 1;
                self.in_flight.insert(self.last_number, id);
            }
            SendOutcome::WouldBlock => self.waiting.push_back(id),
        }
    }

    /// The other process has answered the connection of this number. Returns the connection; `None` where no connection of
    /// that number is in flight.
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

    /// The other process is gone: empties the queue and returns the connections in flight, which this process still owns.
    pub(crate) fn cancel(&mut self) -> Vec<ComponentId> {
        self.waiting.clear();
        let cancelled = std::mem::take(&mut self.in_flight);
        cancelled.into_values().collect()
    }

    /// Whether no connection is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// How many connections the other process has accepted.
    pub(crate) fn accepted_count(&self) -> usize {
        self.accepted_count
    }
}

#[cfg(test)]
mod tests;
