//! The part of the log that outlives a process if persistence is configured: the writes that must reach stable
//! storage, their order, and the stored state that results from them. The caller chooses how to store them.

use crate::member::{ClusterId, MemberId};
use std::collections::BTreeMap;

/// A stored snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// The index of the last entry that the snapshot includes.
    pub last_index: u64,
    /// The snapshot, encoded as protobuf.
    pub bytes: Vec<u8>,
}

/// A stored log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredEntry {
    /// The index of the entry in the log.
    pub index: u64,
    /// The entry, encoded as protobuf.
    pub bytes: Vec<u8>,
}

/// One atomic write. Writes are carried out in order, and synced before they are reported as completed. The fields
/// are applied in the order of their declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// Reported back when the write is completed. Increases with each write.
    pub sequence: u64,
    /// The node joins this control group. Everything that was stored for another group is deleted.
    pub starts_cluster: Option<ClusterId>,
    /// Deletes all entries, because a received snapshot replaces them.
    pub clears_entries: bool,
    /// Replaces the snapshot and deletes the entries that it includes.
    pub snapshot: Option<StoredSnapshot>,
    /// Replaces term and vote, encoded as protobuf.
    pub hard_state: Option<Vec<u8>>,
    /// Consecutive entries. They replace all stored entries from the index of the first one on.
    pub entries: Vec<StoredEntry>,
}

/// The stored state of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The incarnation.
    pub member_id: MemberId,
    /// The number of processes that have run as this incarnation, the current one included.
    pub start_count: u32,
    /// The control group that the incarnation has joined.
    pub cluster_id: Option<ClusterId>,
    /// The latest snapshot, encoded as protobuf.
    pub snapshot: Option<Vec<u8>>,
    /// Term and vote, encoded as protobuf.
    pub hard_state: Option<Vec<u8>>,
    /// The entries after the snapshot by index, encoded as protobuf.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl DurableState {
    /// Applies a write to the stored state.
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
