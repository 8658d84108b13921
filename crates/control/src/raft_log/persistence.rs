//! Writes to stable storage, and the Raft messages that must wait for them.

use crate::durable::LogWrite;
use crate::message::Action;
use raft::eraftpb::Message as RaftMessage;
use std::collections::VecDeque;

/// The durability of the log: in memory only, or written to stable storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Durability {
    Volatile,
    Persistent,
}

/// A `Ready` of Raft that is processed except for the steps that wait for its write.
pub(super) struct PendingReady {
    /// The last write that this `Ready` waits for.
    pub(super) write_sequence: u64,
    /// The number of this `Ready` in the Raft library.
    pub(super) ready_number: u64,
    /// The index of the last entry in the restored snapshot, if there was one.
    pub(super) restored_index: Option<u64>,
    /// Messages that must not be sent before the write is completed.
    pub(super) messages: Vec<RaftMessage>,
}

/// Numbers writes, and holds back messages until their writes are completed.
pub(super) struct WriteQueue {
    durability: Durability,
    issued_sequence: u64,
    completed_sequence: u64,
    pending: VecDeque<PendingReady>,
}

impl WriteQueue {
    /// Creates an empty queue. The numbering of writes continues from the member's previous log.
    pub(super) fn new(durability: Durability, former: Option<&WriteQueue>) -> WriteQueue {
        let issued_sequence = former.map_or(0, |former| former.issued_sequence);
        WriteQueue {
            durability,
            issued_sequence,
            completed_sequence: issued_sequence,
            pending: VecDeque::new(),
        }
    }

    /// Issues a write if the log is persistent.
    pub(super) fn push_write(&mut self, write: LogWrite, actions: &mut Vec<Action>) {
        if self.durability == Durability::Persistent {
            self.issued_sequence += 1;
            actions.push(Action::Write(LogWrite {
                sequence: self.issued_sequence,
                ..write
            }));
        }
    }

    pub(super) fn issued_sequence(&self) -> u64 {
        self.issued_sequence
    }

    pub(super) fn on_completed(&mut self, sequence: u64) {
        self.completed_sequence = self.completed_sequence.max(sequence);
    }

    pub(super) fn push_pending(&mut self, pending: PendingReady) {
        self.pending.push_back(pending);
    }

    /// Removes and returns the oldest pending `Ready` if its write is completed.
    pub(super) fn pop_completed(&mut self) -> Option<PendingReady> {
        let completed = match self.durability {
            Durability::Volatile => u64::MAX,
            Durability::Persistent => self.completed_sequence,
        };
        if self.pending.front()?.write_sequence > completed {
            return None;
        }
        self.pending.pop_front()
    }
}
