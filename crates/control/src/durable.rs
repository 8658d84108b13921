//! What of the log survives a process, where a folder is configured: which writes have to be on the disk, in which order,
//! and what they add up to. How they get there is not known here.

use crate::member::ClusterId;
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

/// One step of the log. Writes are carried out in their order, each whole or not at all, and synced before it is said that
/// they are done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// Message back once this is on the disk; each has a higher one.
    pub sequence: u64,
    /// Another council: all of the one before goes.
    pub starts_cluster: Option<ClusterId>,
    /// All entries go: they contradict the snapshot that came.
    pub clears_entries: bool,
    /// A snapshot and the last entry that is in it; entries up to that one go.
    pub snapshot: Option<StoredSnapshot>,
    /// Term and vote.
    pub hard_state: Option<Vec<u8>>,
    /// Entries by their places, one after the other; what stands behind the first goes.
    pub entries: Vec<StoredEntry>,
}

/// What the processes of one identity have left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The id of the incarnation that goes on.
    pub member_id: u64,
    /// Processes that have begun with it, this one included: 1 for the first.
    pub start_count: u32,
    /// The council it takes part in.
    pub cluster_id: Option<ClusterId>,
    /// The latest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Term and vote.
    pub hard_state: Option<Vec<u8>>,
    /// Entries behind the snapshot, by place.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl DurableState {
    /// As it is after a write.
    pub fn apply(&mut self, write: &LogWrite) {
        if let Some(stamp) = write.starts_cluster {
            *self = DurableState {
                member_id: self.member_id,
                start_count: self.start_count,
                cluster_id: Some(stamp),
                ..DurableState::default()
            };
        }
        if write.clears_entries {
            self.entries.clear();
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.bytes.clone());
            self.entries = self.entries.split_off(&(snapshot.last_index + 1));
        }
        if let Some(first) = write.entries.first() {
            self.entries.split_off(&first.index);
        }
        for entry in &write.entries {
            self.entries.insert(entry.index, entry.bytes.clone());
        }
        if let Some(hard) = &write.hard_state {
            self.hard_state = Some(hard.clone());
        }
    }
}
