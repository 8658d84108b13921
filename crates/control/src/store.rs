//! The log in memory: the raft crate's own store, with the state added to its snapshots.

use crate::durable::{DurableState, StoredSnapshot};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Result, Storage};
use std::cell::RefCell;
use std::rc::Rc;

/// Shared by the log's driver, which writes, and the raft node, which reads.
#[derive(Clone, Default)]
pub struct Store {
    pub mem: MemStorage,
    kept: Rc<RefCell<Snapshot>>,
}

impl Store {
    /// Begins behind a first snapshot: whoever comes later needs one, and learns the first voters by it.
    pub fn found(voters: &[u64], state: Vec<u8>) -> Result<Store> {
        let mut conf = ConfState::default();
        conf.set_voters(voters.to_vec());
        let store = Store::default();
        store.keep(1, 1, conf, state);
        store.mem.wl().apply_snapshot(store.kept.borrow().clone())?;
        Ok(store)
    }

    /// As a process before this one left it; an error says that it contradicts itself.
    pub fn resume(kept: &DurableState) -> Result<Store> {
        let store = Store::default();
        if let Some(bytes) = &kept.snapshot {
            store.restore(&Snapshot::parse_from_bytes(bytes)?)?;
        }
        let read = |bytes: &Vec<u8>| Entry::parse_from_bytes(bytes);
        let entries = kept
            .entries
            .values()
            .map(read)
            .collect::<std::result::Result<Vec<_>, _>>()?;
        let mut next = store.mem.last_index()? + 1;
        for entry in &entries {
            if entry.index != next {
                return Err(raft::Error::Store(raft::StorageError::Unavailable));
            }
            next += 1;
        }
        store.mem.wl().append(&entries)?;
        if let Some(bytes) = &kept.hard_state {
            let mut hard = HardState::parse_from_bytes(bytes)?;
            // How far the log stood is not synced: at least what is in the snapshot did.
            let known = store.mem.initial_state()?.hard_state;
            hard.commit = hard.commit.max(known.commit).min(next - 1);
            hard.term = hard.term.max(known.term);
            store.mem.wl().set_hardstate(hard);
        }
        Ok(store)
    }

    /// The snapshot that is sent, as bytes, and its last entry; none before there is one.
    pub fn snapshot_bytes(&self) -> Option<StoredSnapshot> {
        let kept = self.kept.borrow();
        let last_index = kept.get_metadata().get_index();
        let bytes = kept.write_to_bytes().ok()?;
        (last_index > 0).then_some(StoredSnapshot { last_index, bytes })
    }

    /// The state in it.
    pub fn snapshot_data(&self) -> Vec<u8> {
        self.kept.borrow().get_data().to_vec()
    }

    /// This snapshot is sent from now on.
    pub fn keep(&self, index: u64, term: u64, conf: ConfState, state: Vec<u8>) {
        let mut kept = self.kept.borrow_mut();
        kept.set_data(state.into());
        kept.mut_metadata().set_index(index);
        kept.mut_metadata().set_term(term);
        kept.mut_metadata().set_conf_state(conf);
    }

    /// Takes over a snapshot that came.
    pub fn restore(&self, snapshot: &Snapshot) -> Result<()> {
        self.mem.wl().apply_snapshot(snapshot.clone())?;
        *self.kept.borrow_mut() = snapshot.clone();
        Ok(())
    }
}

impl Storage for Store {
    fn initial_state(&self) -> Result<RaftState> {
        self.mem.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.mem.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> Result<u64> {
        self.mem.term(index)
    }

    fn first_index(&self) -> Result<u64> {
        self.mem.first_index()
    }

    fn last_index(&self) -> Result<u64> {
        self.mem.last_index()
    }

    fn snapshot(&self, index: u64, _to: u64) -> Result<Snapshot> {
        let kept = self.kept.borrow();
        if kept.get_metadata().get_index() < index {
            return Err(raft::Error::Store(
                raft::StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(kept.clone())
    }
}
