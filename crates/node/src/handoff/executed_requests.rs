//! The ids of requests that may have been executed and must not be executed again, kept after the requests have ended.
//!
//! A client's id is new for each connection, so an id that comes again is the client's fault. The ids are kept in a table
//! of fixed size that drops the oldest ones. While the node may have two processes, each keeps its ids in a file that it
//! alone writes and the others read. The file outlives its process, so that a successor knows the ids of the processes
//! before it; a process that finds no other one running starts from nothing.

use super::request_table::{Bucket, TableKey, BUCKET_BYTES, EMPTY_SLOT, HEADER_BYTES, SLOT_BYTES};
use super::runtime_files::RuntimeFiles;
use lupincrank_placement::RequestId;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// Ids that a process keeps. Clients that open connections at full speed take longer than any deadline to replace them.
const MAX_IDS: usize = 65_536;
const BUCKET_COUNT: usize = MAX_IDS * SLOT_BYTES / BUCKET_BYTES;
const TABLE_BYTES: usize = HEADER_BYTES + BUCKET_COUNT * BUCKET_BYTES;

/// Where a table stores its slots.
enum Slots {
    Memory(Vec<u64>),
    File(File),
}

impl Slots {
    /// Reads the bucket at this offset in bytes. A file may be shorter than the table: what it lacks is empty.
    fn read_bucket(&self, offset: u64) -> io::Result<Bucket> {
        match self {
            Slots::Memory(slots) => {
                let start = offset as usize / SLOT_BYTES;
                Ok(Bucket::from_slots(&slots[start..]))
            }
            Slots::File(file) => Bucket::read_padded(file, offset),
        }
    }

    fn write_slot(&mut self, offset: u64, value: u64) -> io::Result<()> {
        match self {
            Slots::Memory(slots) => {
                slots[offset as usize / SLOT_BYTES] = value;
                Ok(())
            }
            Slots::File(file) => file.write_all_at(&value.to_le_bytes(), offset),
        }
    }
}

/// A table of ids. A full bucket drops its oldest id for a new one.
struct ExecutedTable {
    slots: Slots,
    /// For each bucket, the slot of the oldest id once the bucket is full.
    oldest: Vec<u8>,
}

impl ExecutedTable {
    fn new(slots: Slots) -> ExecutedTable {
        ExecutedTable {
            slots,
            oldest: vec![0; BUCKET_COUNT],
        }
    }

    fn in_memory() -> ExecutedTable {
        ExecutedTable::new(Slots::Memory(vec![EMPTY_SLOT; TABLE_BYTES / SLOT_BYTES]))
    }

    fn insert(&mut self, request: RequestId) -> io::Result<()> {
        let key = table_key(request)?;
        let bucket = self.slots.read_bucket(key.bucket_offset)?;
        if bucket.position(key.slot_value).is_some() {
            return Ok(());
        }
        let index = bucket
            .position(EMPTY_SLOT)
            .unwrap_or_else(|| self.next_oldest(&key));
        self.slots
            .write_slot(key.slot_offset(index), key.slot_value)
    }

    /// Returns the slot of the bucket's oldest id, which is about to be replaced.
    fn next_oldest(&mut self, key: &TableKey) -> usize {
        let bucket = (key.bucket_offset as usize - HEADER_BYTES) / BUCKET_BYTES;
        let index = usize::from(self.oldest[bucket]);
        self.oldest[bucket] = ((index + 1) % Bucket::SLOT_COUNT) as u8;
        index
    }

    fn remove(&mut self, request: RequestId) -> io::Result<()> {
        let key = table_key(request)?;
        let bucket = self.slots.read_bucket(key.bucket_offset)?;
        match bucket.position(key.slot_value) {
            Some(index) => self.slots.write_slot(key.slot_offset(index), EMPTY_SLOT),
            None => Ok(()),
        }
    }

    fn contains(&self, request: RequestId) -> io::Result<bool> {
        let key = table_key(request)?;
        let bucket = self.slots.read_bucket(key.bucket_offset)?;
        Ok(bucket.position(key.slot_value).is_some())
    }
}

fn table_key(request: RequestId) -> io::Result<TableKey> {
    TableKey::new(request, TABLE_BYTES as u64).ok_or(io::ErrorKind::InvalidData.into())
}

/// Whether other processes of the node run when this one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OtherProcesses {
    /// Another process runs: its ids and those of the processes before it are kept.
    Running,
    /// No other process runs: this one starts from nothing.
    None,
}

/// The executed requests of all processes of the node, as far as they are kept.
#[derive(Default)]
pub(super) struct ExecutedRequests {
    /// Ids that could not be written to the file, or that were executed before it was opened.
    memory: Option<ExecutedTable>,
    own_file: Option<ExecutedTable>,
    /// The files of the other processes.
    other_files: Vec<File>,
}

impl ExecutedRequests {
    /// Opens the files of the node's processes; `own_index` is the file that this process writes.
    ///
    /// # Errors
    /// If a file can't be opened or emptied.
    pub(super) fn open_files(
        &mut self,
        files: &RuntimeFiles,
        own_index: usize,
        others: OtherProcesses,
    ) -> io::Result<()> {
        self.other_files.clear();
        for (index, path) in files.executed_request_paths().iter().enumerate() {
            let file = super::request_table::open_file(path)?;
            if others == OtherProcesses::None {
                file.set_len(0)?;
            }
            if index == own_index {
                self.own_file = Some(ExecutedTable::new(Slots::File(file)));
            } else {
                self.other_files.push(file);
            }
        }
        Ok(())
    }

    /// Adds a request. Once this returns, the other processes find it, unless its file can't be written.
    pub(super) fn insert(&mut self, request: RequestId) {
        let own_file = self.own_file.as_mut();
        let is_in_file = own_file.is_some_and(|table| table.insert(request).is_ok());
        if !is_in_file {
            let memory = self.memory.get_or_insert_with(ExecutedTable::in_memory);
            // Memory has no errors.
            let _ = memory.insert(request);
        }
    }

    /// Removes a request of this process, which was not executed after all.
    pub(super) fn remove(&mut self, request: RequestId) {
        for table in self.memory.iter_mut().chain(&mut self.own_file) {
            // If this fails, the client must come with a new id, as the protocol says.
            let _ = table.remove(request);
        }
    }

    /// Returns true if the request may have been executed. A file that can't be read contains none.
    pub(super) fn contains(&self, request: RequestId) -> bool {
        let mut own_tables = self.memory.iter().chain(&self.own_file);
        own_tables.any(|table| table.contains(request).unwrap_or(false))
            || self.is_in_other_files(request).unwrap_or(false)
    }

    fn is_in_other_files(&self, request: RequestId) -> io::Result<bool> {
        let key = table_key(request)?;
        for file in &self.other_files {
            let bucket = Bucket::read_padded(file, key.bucket_offset)?;
            if bucket.position(key.slot_value).is_some() {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

#[cfg(test)]
mod tests;
