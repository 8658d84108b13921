//! What of the log survives a process, where a folder is configured: which writes have to be on the disk, in which order,
//! and what they add up to. How they get there is not known here.

use crate::member::Stamp;
use std::collections::BTreeMap;

/// One step of the log. Writes are carried out in their order, each whole or not at all, and synced before it is said that
/// they are done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Message back once this is on the disk; each has a higher one.
    pub number: u64,
    /// Another council: all of the one before goes.
    pub begins: Option<Stamp>,
    /// All entries go: they contradict the snapshot that came.
    pub clears: bool,
    /// A snapshot and the last entry that is in it; entries up to that one go.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Term and vote.
    pub hard: Option<Vec<u8>>,
    /// Entries by their places, one after the other; what stands behind the first goes.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What the processes of one identity have left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
    /// The id of the incarnation that goes on.
    pub id: u64,
    /// Processes that have begun with it, this one included: 1 for the first.
    pub starts: u32,
    /// The council it takes part in.
    pub stamp: Option<Stamp>,
    /// The latest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Term and vote.
    pub hard: Option<Vec<u8>>,
    /// Entries behind the snapshot, by place.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl Durable {
    /// As it is after a write.
    pub fn take(&mut self, write: &Write) {
        if let Some(stamp) = write.begins {
            *self = Durable {
                id: self.id,
                starts: self.starts,
                stamp: Some(stamp),
                ..Durable::default()
            };
        }
        if write.clears {
            self.entries.clear();
        }
        if let Some((index, snapshot)) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries = self.entries.split_off(&(index + 1));
        }
        if let Some((first, _)) = write.entries.first() {
            drop(self.entries.split_off(first));
        }
        self.entries.extend(write.entries.iter().cloned());
        if let Some(hard) = &write.hard {
            self.hard = Some(hard.clone());
        }
    }
}
