//! Writes to stable storage, and the Raft messages that wait for them.

use crate::durable::LogWrite;
use crate::message::Action;
use raft::eraftpb::Message as RaftMessage;
use std::collections::VecDeque;

/// Whether the log is written to stable storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Durability {
    Volatile,
    Persistent,
}

/// A `Ready` of Raft that was carried out but for what waits for its write.
pub(super) struct PendingReady {
    /// The last write that it waits for.
    pub(super) write_sequence: u64,
    /// Raft's number of it.
    pub(super) ready_number: u64,
    /// The last entry of the snapshot that it restored.
    pub(super) restored_index: Option<u64>,
    /// Messages that may be sent once the write is completed.
    pub(super) messages: Vec<RaftMessage>,
}

/// Numbers writes, and holds back what waits for them.
pub(super) struct WriteQueue {
    durability: Durability,
    issued_sequence: u64,
    completed_sequence: u64,
    pending: VecDeque<PendingReady>,
}

impl WriteQueue {
    /// An empty queue. Its writes are numbered on from those of the member's former log.
    pub(super) fn new(durability: Durability, former: Option<&WriteQueue>) -> WriteQueue {
        let issued_sequence = former.map_or(0, |former| former.issued_sequence);
        WriteQueue {
            durability,
            issued_sequence,
            completed_sequence: issued_sequence,
            pending: VecDeque::new(),
        }
    }

    /// Issues a write, if the log is persistent.
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

    /// Removes the oldest that waits for no write any more.
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
