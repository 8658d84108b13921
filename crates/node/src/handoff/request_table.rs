//! The table of the request ids that a process has claimed: a file that its process alone writes and that the other
//! processes of the node read. The table is a hash table of fixed size, so a look-up costs the same for any number of
//! requests, and neither side waits for the other. A header has the numbers of the process's clients.

use lupincrank_placement::RequestId;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::rc::Rc;

/// Slots for each request of the table's capacity: few buckets are ever full.
const SLOTS_PER_REQUEST: usize = 8;
const SLOTS_PER_BUCKET: usize = 16;
pub(super) const SLOT_BYTES: usize = size_of::<u64>();
pub(super) const BUCKET_BYTES: usize = SLOTS_PER_BUCKET * SLOT_BYTES;
/// The number of clients with a request and the number of unidentified clients, each as `u32`, stand at the start of the
/// file; the buckets follow at this offset.
pub(super) const HEADER_BYTES: usize = BUCKET_BYTES;
const COUNT_BYTES: usize = size_of::<u32>();
/// At least two, so that each slot has a bit left for [`OCCUPIED`].
const MIN_BUCKETS: usize = 2;
/// Marks a slot that holds a request.
const OCCUPIED: u64 = 1 << 63;
pub(super) const EMPTY_SLOT: u64 = 0;
/// 2 to the 64th, divided by the golden ratio, an odd number: multiplying by it maps ids to hashes one to one and
/// spreads consecutive ids.
const GOLDEN_RATIO_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The numbers of clients of one process, or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClientCounts {
    /// Clients with a request.
    pub(crate) clients: usize,
    /// Clients that have not sent a request or have received their answer.
    pub(crate) unidentified: usize,
}

/// The position of a slot in the file, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotOffset(u64);

/// Where a request is stored in a table of a certain size. No two requests have both the same bucket and the same
/// slot value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TableKey {
    /// The position of the bucket in the file, in bytes.
    pub(super) bucket_offset: u64,
    /// The value of an occupied slot.
    pub(super) slot_value: u64,
}

impl TableKey {
    /// Computes the key for a file of this length in bytes; `None` if no file has this length.
    pub(super) fn new(request: RequestId, file_bytes: u64) -> Option<TableKey> {
        let bucket_bytes = file_bytes.checked_sub(HEADER_BYTES as u64)?;
        let bucket_count = bucket_bytes / BUCKET_BYTES as u64;
        if bucket_count < MIN_BUCKETS as u64 || !bucket_count.is_power_of_two() {
            return None;
        }
        let remainder_bits = u64::BITS - bucket_count.trailing_zeros();
        let hash = request.0.wrapping_mul(GOLDEN_RATIO_MULTIPLIER);
        let bucket = hash >> remainder_bits;
        let remainder = hash - (bucket << remainder_bits);
        Some(TableKey {
            bucket_offset: HEADER_BYTES as u64 + bucket * BUCKET_BYTES as u64,
            slot_value: remainder | OCCUPIED,
        })
    }

    /// The position in the file of a slot of the bucket, in bytes.
    pub(super) fn slot_offset(&self, index: usize) -> u64 {
        self.bucket_offset + (index * SLOT_BYTES) as u64
    }
}

/// The slots of one bucket.
pub(super) struct Bucket([u64; SLOTS_PER_BUCKET]);

impl Bucket {
    pub(super) const SLOT_COUNT: usize = SLOTS_PER_BUCKET;

    fn empty() -> Bucket {
        Bucket([EMPTY_SLOT; SLOTS_PER_BUCKET])
    }

    /// Copies the bucket at the start of these slots.
    pub(super) fn from_slots(slots: &[u64]) -> Bucket {
        let mut bucket = Bucket::empty();
        bucket.0.copy_from_slice(&slots[..SLOTS_PER_BUCKET]);
        bucket
    }

    fn read(file: &File, offset: u64) -> io::Result<Bucket> {
        let mut bytes = [0; BUCKET_BYTES];
        file.read_exact_at(&mut bytes, offset)?;
        Ok(Bucket::from_bytes(bytes))
    }

    /// Reads the bucket of a file that may be shorter than its table: the slots that it lacks are empty.
    pub(super) fn read_padded(file: &File, offset: u64) -> io::Result<Bucket> {
        let mut bytes = [0; BUCKET_BYTES];
        let mut length = 0;
        while length < BUCKET_BYTES {
            match file.read_at(&mut bytes[length..], offset + length as u64) {
                Ok(0) => break,
                Ok(count) => length += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(Bucket::from_bytes(bytes))
    }

    fn from_bytes(bytes: [u8; BUCKET_BYTES]) -> Bucket {
        let mut bucket = Bucket::empty();
        let (chunks, _) = bytes.as_chunks::<SLOT_BYTES>();
        for (slot, chunk) in bucket.0.iter_mut().zip(chunks) {
            *slot = u64::from_le_bytes(*chunk);
        }
        bucket
    }

    pub(super) fn position(&self, slot_value: u64) -> Option<usize> {
        self.0.iter().position(|slot| *slot == slot_value)
    }
}

/// The table of this process, which holds the lock of its file: the operating system releases it when the process
/// terminates, also if it is killed.
pub(super) struct OwnTable {
    file: File,
    file_bytes: u64,
}

impl OwnTable {
    /// Empties the file, whose lock the caller has acquired, and creates a table for this many requests.
    ///
    /// # Errors
    /// If the file can't be written.
    fn create(file: File, capacity: usize) -> io::Result<OwnTable> {
        let buckets = capacity * SLOTS_PER_REQUEST / SLOTS_PER_BUCKET;
        let bucket_count = buckets.next_power_of_two().max(MIN_BUCKETS);
        let file_bytes = (HEADER_BYTES + bucket_count * BUCKET_BYTES) as u64;
        file.set_len(0)?;
        file.set_len(file_bytes)?;
        Ok(OwnTable { file, file_bytes })
    }

    /// Adds a request. Once this returns, the other processes find it.
    ///
    /// # Errors
    /// `StorageFull` if its bucket is full, and any error of the operating system.
    pub(super) fn insert(&self, request: RequestId) -> io::Result<SlotOffset> {
        let key = TableKey::new(request, self.file_bytes).ok_or(io::ErrorKind::InvalidData)?;
        let bucket = Bucket::read(&self.file, key.bucket_offset)?;
        let free_slot = bucket.position(EMPTY_SLOT);
        let index = free_slot.ok_or(io::ErrorKind::StorageFull)?;
        let offset = key.slot_offset(index);
        self.file
            .write_all_at(&key.slot_value.to_le_bytes(), offset)?;
        Ok(SlotOffset(offset))
    }

    /// Removes the request that was added at this position.
    ///
    /// # Errors
    /// Any error of the operating system.
    pub(super) fn remove(&self, offset: SlotOffset) -> io::Result<()> {
        self.file.write_all_at(&EMPTY_SLOT.to_le_bytes(), offset.0)
    }

    /// Publishes the numbers of this process's clients.
    ///
    /// # Errors
    /// Any error of the operating system.
    pub(super) fn write_counts(&self, counts: ClientCounts) -> io::Result<()> {
        let encode = |count: usize| u32::try_from(count).unwrap_or(u32::MAX).to_le_bytes();
        let header = [encode(counts.clients), encode(counts.unidentified)].concat();
        self.file.write_all_at(&header, 0)
    }
}

/// The table of another process, or the file that a later process may use for its own.
pub(super) struct OtherTable {
    file: File,
}

impl OtherTable {
    /// Returns true if a running process has this request in its table.
    ///
    /// # Errors
    /// Any error of the operating system.
    pub(super) fn contains(&self, request: RequestId) -> io::Result<bool> {
        let file_bytes = self.file.metadata()?.len();
        let Some(key) = TableKey::new(request, file_bytes) else {
            return Ok(false);
        };
        let bucket = match Bucket::read(&self.file, key.bucket_offset) {
            // A process that starts is creating its table.
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(false),
            bucket => bucket?,
        };
        Ok(bucket.position(key.slot_value).is_some() && self.is_owner_running()?)
    }

    /// Reads the numbers of clients; `None` if no running process has published them.
    ///
    /// # Errors
    /// Any error of the operating system.
    pub(super) fn read_counts(&self) -> io::Result<Option<ClientCounts>> {
        if self.file.metadata()?.len() < HEADER_BYTES as u64 || !self.is_owner_running()? {
            return Ok(None);
        }
        let mut header = [0; 2 * COUNT_BYTES];
        self.file.read_exact_at(&mut header, 0)?;
        let (counts, _) = header.as_chunks::<COUNT_BYTES>();
        let [clients, unidentified] =
            [0, 1].map(|index| u32::from_le_bytes(counts[index]) as usize);
        Ok(Some(ClientCounts {
            clients,
            unidentified,
        }))
    }

    /// Returns true if a process holds the lock of the file. The table of a process that has terminated is left as it
    /// was.
    fn is_owner_running(&self) -> io::Result<bool> {
        match self.file.try_lock_shared() {
            Ok(()) => self.file.unlock().map(|()| false),
            Err(fs::TryLockError::WouldBlock) => Ok(true),
            Err(fs::TryLockError::Error(error)) => Err(error),
        }
    }
}

/// The tables of all processes of the node, shared by the parts of this process that use them; `None` if no second
/// process may start, or the files could not be opened.
pub(crate) type SharedTables = Rc<RefCell<Option<NodeTables>>>;

/// The tables of all processes of the node.
pub(crate) struct NodeTables {
    pub(super) own: OwnTable,
    /// The file of this process's table.
    pub(super) own_index: usize,
    pub(super) others: Vec<OtherTable>,
}

impl NodeTables {
    /// Opens the files at these paths and creates this process's table, for `capacity` requests, in the first file
    /// that no other process has locked.
    ///
    /// # Errors
    /// `ResourceBusy` if other processes have locked all files, and any error of the operating system.
    pub(super) fn open(paths: &[impl AsRef<Path>], capacity: usize) -> io::Result<NodeTables> {
        let mut own = None;
        let mut others = Vec::new();
        for (index, path) in paths.iter().enumerate() {
            let file = open_file(path.as_ref())?;
            if own.is_none() && try_lock(&file)? {
                own = Some((index, OwnTable::create(file, capacity)?));
            } else {
                others.push(OtherTable { file });
            }
        }
        let (own_index, own) = own.ok_or(io::ErrorKind::ResourceBusy)?;
        Ok(NodeTables {
            own,
            own_index,
            others,
        })
    }

    /// Returns true if another process of the node runs.
    ///
    /// # Errors
    /// Any error of the operating system.
    pub(super) fn is_other_process_running(&self) -> io::Result<bool> {
        for table in &self.others {
            if table.is_owner_running()? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

pub(super) fn open_file(path: &Path) -> io::Result<File> {
    File::options()
        .create(true)
        .truncate(false)
        .read(true)
        .write(true)
        .open(path)
}

fn try_lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(fs::TryLockError::WouldBlock) => Ok(false),
        Err(fs::TryLockError::Error(error)) => Err(error),
    }
}

#[cfg(test)]
mod tests;
