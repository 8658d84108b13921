//! Processes a `Ready` of Raft: stores entries, sends messages, applies committed entries and takes snapshots.

use super::persistence::PendingReady;
use super::{LogError, RaftLog, NO_LEADER};
use crate::durable::{LogWrite, StoredEntry};
use crate::message::{Action, ControlMessage};
use crate::state::ClusterState;
use lupincrank_placement::Timestamp;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, Message as RaftMessage, Snapshot};
use raft::{Ready, StateRole, Storage};

/// The number of applied entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 512;
/// The number of entries before a snapshot that are kept for members that lag slightly behind.
const RETAINED_ENTRIES: u64 = 128;

impl RaftLog {
    /// Processes everything that Raft has ready.
    ///
    /// # Errors
    /// Returns an error if the log is inconsistent and must not be used any more.
    pub(crate) fn process_ready(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> Result<(), LogError> {
        self.release_pending(actions);
        while self.raw_node.has_ready() {
            self.process_one_ready(now, actions)?;
        }
        self.update_leadership(now);
        Ok(())
    }

    fn process_one_ready(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> Result<(), LogError> {
        let mut ready = self.raw_node.ready();
        let mut write = LogWrite::default();
        let restored_index = self.restore_received(&ready, &mut write);
        let committed = ready.take_committed_entries();
        let stored = self.store(&ready, &mut write);
        // After a restart, Raft determines the commit index again: only votes, terms and entries must be stored.
        if ready.must_sync() {
            self.write_queue.push_write(write, actions);
        }
        let immediate_messages = ready.take_messages();
        self.write_queue.push_pending(PendingReady {
            write_sequence: self.write_queue.issued_sequence(),
            ready_number: ready.number(),
            restored_index,
            messages: ready.take_persisted_messages(),
        });
        self.raw_node.advance_append_async(ready);
        self.send(immediate_messages, actions);
        let applied = self.apply_committed(committed, actions);
        self.grant_clocks.follow(now, &self.state);
        stored.and(applied)?;
        self.take_snapshot_if_due(actions);
        self.release_pending(actions);
        Ok(())
    }

    /// Restores a snapshot from the leader, if there is one. Returns the index of its last entry.
    fn restore_received(&mut self, ready: &Ready, write: &mut LogWrite) -> Option<u64> {
        if ready.snapshot().is_empty() {
            return None;
        }
        let snapshot = ready.snapshot();
        self.restore(snapshot);
        write.snapshot = self.storage.stored_snapshot();
        write.clears_entries = true;
        Some(snapshot.get_metadata().get_index())
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let Ok(state) = postcard::from_bytes::<ClusterState>(snapshot.get_data()) else {
            return;
        };
        if self.storage.restore(snapshot).is_ok() {
            self.state = state;
            self.applied_index = snapshot.get_metadata().get_index();
            self.snapshot_index = self.applied_index;
        }
    }

    /// Stores new entries, term and vote in memory and adds them to the write.
    fn store(&mut self, ready: &Ready, write: &mut LogWrite) -> Result<(), LogError> {
        let appended = self.storage.append(ready.entries());
        if let Some(hard_state) = ready.hs() {
            self.storage.set_hard_state(hard_state.clone());
            write.hard_state = hard_state.write_to_bytes().ok();
        }
        write.entries = ready.entries().iter().filter_map(stored_entry).collect();
        appended
    }

    /// Applies all entries, including those after an entry that fails.
    fn apply_committed(
        &mut self,
        committed: Vec<RaftEntry>,
        actions: &mut Vec<Action>,
    ) -> Result<(), LogError> {
        let last_index = committed.last().map(|entry| entry.index);
        let mut result = Ok(());
        for entry in committed {
            let applied = self.apply(&entry, actions);
            result = result.and(applied);
        }
        if let Some(last_index) = last_index {
            self.raw_node.advance_apply_to(last_index);
        }
        result
    }

    /// Sends the messages that were held back until their writes are completed.
    fn release_pending(&mut self, actions: &mut Vec<Action>) {
        while let Some(pending) = self.write_queue.pop_completed() {
            self.raw_node.on_persist_ready(pending.ready_number);
            if let Some(index) = pending.restored_index {
                self.raw_node.advance_apply_to(index);
            }
            self.send(pending.messages, actions);
        }
    }

    fn send(&self, messages: Vec<RaftMessage>, actions: &mut Vec<Action>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                actions.push(Action::Send {
                    to: message.to,
                    message: ControlMessage::Raft(self.cluster_id, bytes),
                });
            }
        }
    }

    fn update_leadership(&mut self, now: Timestamp) {
        let is_leader = self.raw_node.raft.state == StateRole::Leader;
        if is_leader != self.is_leader() {
            self.leader_since = is_leader.then_some(now);
        }
        self.leader = Some(self.raw_node.raft.leader_id).filter(|leader| *leader != NO_LEADER);
    }

    fn take_snapshot_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.applied_index < self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            return;
        }
        let Ok(term) = self.storage.term(self.applied_index) else {
            return;
        };
        let Ok(data) = postcard::to_stdvec(&self.state) else {
            return;
        };
        let configuration = self.raft_configuration();
        self.storage
            .replace_snapshot(self.applied_index, term, configuration, data);
        self.snapshot_index = self.applied_index;
        // Entries that can't be compacted now are compacted with the next snapshot.
        let _ = self
            .storage
            .compact(self.applied_index.saturating_sub(RETAINED_ENTRIES));
        let write = LogWrite {
            snapshot: self.storage.stored_snapshot(),
            ..LogWrite::default()
        };
        self.write_queue.push_write(write, actions);
    }
}

fn stored_entry(entry: &RaftEntry) -> Option<StoredEntry> {
    Some(StoredEntry {
        index: entry.index,
        bytes: entry.write_to_bytes().ok()?,
    })
}
