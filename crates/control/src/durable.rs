//! The part of the log that survives a process, if it is configured to: which writes must reach stable storage, in which
//! order, and what they add up to. How they are stored is up to the caller.

use crate::member::{ClusterId, MemberId};
use std::collections::BTreeMap;

/// A snapshot as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// The index of the last entry that the snapshot includes.
    pub last_index: u64,
    /// The snapshot as protobuf.
    pub bytes: Vec<u8>,
}

/// A log entry as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredEntry {
    /// Its index in the log.
    pub index: u64,
    /// The entry as protobuf.
    pub bytes: Vec<u8>,
}

/// One atomic write. Writes are carried out in order, and synced before they are reported as completed. The fields apply
/// in the order in which they stand here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// Reported back when the write is completed; each write has a higher one.
    pub sequence: u64,
    /// The node joins this control group: all that was stored of another one is deleted.
    pub starts_cluster: Option<ClusterId>,
    /// Deletes all entries: a received snapshot replaces them.
    pub clears_entries: bool,
    /// Replaces the snapshot, and deletes the entries that it includes.
    pub snapshot: Option<StoredSnapshot>,
    /// Replaces term and vote, as protobuf.
    pub hard_state: Option<Vec<u8>>,
    /// Consecutive entries; those stored from the first one's index on are replaced.
    pub entries: Vec<StoredEntry>,
}

/// What is stored of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The incarnation.
    pub member_id: MemberId,
    /// The number of processes that have run as this incarnation, the current one included.
    pub start_count: u32,
    /// The control group that it has joined.
    pub cluster_id: Option<ClusterId>,
    /// The latest snapshot, as protobuf.
    pub snapshot: Option<Vec<u8>>,
    /// Term and vote, as protobuf.
    pub hard_state: Option<Vec<u8>>,
    /// The entries after the snapshot by index, as protobuf.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl DurableState {
    /// Applies a write.
    pub fn apply(&mut self, write: &LogWrite) {
        if let Some(cluster_id) = write.starts_cluster {
            self.start_cluster(cluster_id);
        }
        if write.clears_entries {
            self.entries.clear();
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.bytes.clone());
            self.entries = self.entries.split_off(&(snapshot.last_index + 1));
        }
        self.replace_entries(&write.entries);
        if let Some(hard_state) = &write.hard_state {
            self.hard_state = Some(hard_state.clone());
        }
    }

    fn start_cluster(&mut self, cluster_id: ClusterId) {
        *self = DurableState {
            member_id: self.member_id,
            start_count: self.start_count,
            cluster_id: Some(cluster_id),
            ..DurableState::default()
        };
    }

    fn replace_entries(&mut self, entries: &[StoredEntry]) {
        if let Some(first) = entries.first() {
            self.entries.split_off(&first.index);
        }
        for entry in entries {
            self.entries.insert(entry.index, entry.bytes.clone());
        }
    }
}
