//! The log in memory: the Raft library's `MemStorage`, with the replicated state in its snapshots.

use super::LogError;
use crate::durable::{DurableState, StoredSnapshot};
use crate::member::MemberId;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry as RaftEntry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The index and term of the snapshot that a group is bootstrapped from.
const BOOTSTRAP_INDEX: u64 = 1;
const BOOTSTRAP_TERM: u64 = 1;

/// The storage of one log. Clones share their content: the Raft library reads what [`RaftLog`](super::RaftLog)
/// writes.
#[derive(Clone, Default)]
pub(crate) struct LogStorage {
    memory: MemStorage,
    /// The snapshot that is sent to members that need one.
    snapshot: Rc<RefCell<Snapshot>>,
}

impl LogStorage {
    /// Creates the storage with an initial snapshot. Members that are added later need one, and learn the initial
    /// voters from it.
    pub(crate) fn bootstrap(voters: &[MemberId], state: Vec<u8>) -> Result<LogStorage, LogError> {
        let mut configuration = ConfState::default();
        configuration.set_voters(voters.to_vec());
        let storage = LogStorage::default();
        storage.replace_snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, configuration, state);
        let snapshot = storage.snapshot.borrow().clone();
        storage.memory.wl().apply_snapshot(snapshot)?;
        Ok(storage)
    }

    /// Restores the storage from the stored state of an earlier process.
    ///
    /// # Errors
    /// Returns an error if the stored state is inconsistent.
    pub(crate) fn resume(stored: &DurableState) -> Result<LogStorage, LogError> {
        let storage = LogStorage::default();
        if let Some(bytes) = &stored.snapshot {
            storage.restore(&Snapshot::parse_from_bytes(bytes)?)?;
        }
        let first_index = storage.memory.last_index()? + 1;
        let entries = decode_entries(&stored.entries, first_index)?;
        storage.append(&entries)?;
        if let Some(bytes) = &stored.hard_state {
            let last_index = first_index + entries.len() as u64 - 1;
            storage.resume_hard_state(HardState::parse_from_bytes(bytes)?, last_index)?;
        }
        Ok(storage)
    }

    /// Restores term, vote and commit index. The stored commit index may be outdated, but at least the snapshot was
    /// committed.
    fn resume_hard_state(&self, stored: HardState, last_index: u64) -> Result<(), LogError> {
        let known = self.memory.initial_state()?.hard_state;
        let mut hard_state = stored;
        hard_state.commit = hard_state.commit.max(known.commit).min(last_index);
        hard_state.term = hard_state.term.max(known.term);
        self.set_hard_state(hard_state);
        Ok(())
    }

    /// The current snapshot, or `None` if there is none yet.
    pub(crate) fn stored_snapshot(&self) -> Option<StoredSnapshot> {
        let last_index = self.snapshot_index();
        let bytes = self.snapshot.borrow().write_to_bytes().ok()?;
        (last_index > 0).then_some(StoredSnapshot { last_index, bytes })
    }

    /// The index of the last entry in the current snapshot, or 0 if there is none yet.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.borrow().get_metadata().get_index()
    }

    /// The encoded state in the current snapshot.
    pub(crate) fn snapshot_data(&self) -> Vec<u8> {
        self.snapshot.borrow().get_data().to_vec()
    }

    /// Replaces the snapshot that is sent to other members.
    pub(super) fn replace_snapshot(
        &self,
        index: u64,
        term: u64,
        configuration: ConfState,
        state: Vec<u8>,
    ) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.set_data(state.into());
        let metadata = snapshot.mut_metadata();
        metadata.set_index(index);
        metadata.set_term(term);
        metadata.set_conf_state(configuration);
    }

    /// Replaces the log with a received or stored snapshot.
    pub(super) fn restore(&self, snapshot: &Snapshot) -> Result<(), LogError> {
        self.memory.wl().apply_snapshot(snapshot.clone())?;
        *self.snapshot.borrow_mut() = snapshot.clone();
        Ok(())
    }

    pub(super) fn append(&self, entries: &[RaftEntry]) -> Result<(), LogError> {
        Ok(self.memory.wl().append(entries)?)
    }

    pub(super) fn set_hard_state(&self, hard_state: HardState) {
        self.memory.wl().set_hardstate(hard_state);
    }

    pub(super) fn set_configuration(&self, configuration: ConfState) {
        self.memory.wl().set_conf_state(configuration);
    }

    /// Removes the entries before this index.
    pub(super) fn compact(&self, index: u64) -> Result<(), LogError> {
        Ok(self.memory.wl().compact(index)?)
    }
}

fn decode_entries(
    stored: &BTreeMap<u64, Vec<u8>>,
    first_index: u64,
) -> Result<Vec<RaftEntry>, LogError> {
    let mut entries = Vec::with_capacity(stored.len());
    for bytes in stored.values() {
        entries.push(RaftEntry::parse_from_bytes(bytes)?);
    }
    let is_consecutive = (first_index..)
        .zip(&entries)
        .all(|(index, entry)| entry.index == index);
    if is_consecutive {
        Ok(entries)
    } else {
        Err(LogError::MissingEntry)
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        self.memory.entries(low, high, max_bytes, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot_index() < request_index {
            let error = StorageError::SnapshotTemporarilyUnavailable;
            return Err(raft::Error::Store(error));
        }
        Ok(self.snapshot.borrow().clone())
    }
}
