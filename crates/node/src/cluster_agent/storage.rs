//! The file that stores the control group's log and vote across restarts, in the `redb` format.
//! [`lupincrank_control::durable`] defines the writes and the state that results from them.

mod writer;

pub use writer::{StorageEvent, StorageFile, StorageWriteError, StorageWriter};

use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::member::ClusterId;
use lupincrank_control::ControlError;
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, Table,
    TableDefinition, TableError,
};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Single values by name.
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Log entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The names in [`FACTS`].
const OWNER: &str = "owner";
const MEMBER_ID: &str = "id";
const START_COUNT: &str = "starts";
const CLUSTER_ID: &str = "stamp";
const SNAPSHOT: &str = "snapshot";
const HARD_STATE: &str = "hard";
/// The size of the page cache.
const CACHE_BYTES: usize = 1 << 20;
/// The extension of a new file while it is written, before it replaces the current one.
const REPLACEMENT_EXTENSION: &str = "new";
/// The extension of a damaged file that was set aside.
const DAMAGED_EXTENSION: &str = "damaged";

/// Why a file can't be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// Another process has locked the file, probably the one that this process replaces.
    #[error("file is in use by another process")]
    InUse,
    /// The file is damaged, so the node must start with a new identity.
    #[error(transparent)]
    Damaged(#[from] StorageDamage),
    /// The file belongs to another node or cluster. An operator must intervene.
    #[error("storage file belongs to {found:?}, expected {expected:?}")]
    ForeignOwner {
        /// The owner stored in the file.
        found: String,
        /// The cluster and the node of this process.
        expected: String,
    },
    /// The file can't be opened, or its folder can't be created. An operator must intervene.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The file can't be written. An operator must intervene.
    #[error("{}: {error}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: Box<redb::Error>,
    },
}

/// The damage of a file whose state can't be resumed.
#[derive(Debug, Error)]
pub enum StorageDamage {
    /// The database library panicked.
    #[error("the database library panicked on the storage file")]
    Unreadable,
    /// The integrity check found wrong checksums.
    #[error("checksum mismatch in the storage file")]
    ChecksumMismatch,
    /// The database library reports an error.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The identity or the start count is missing or malformed.
    #[error("identity missing in the storage file")]
    MissingIdentity,
    /// The cluster id can't be decoded.
    #[error(transparent)]
    ClusterId(postcard::Error),
    /// Log, snapshot and vote are inconsistent.
    #[error(transparent)]
    Inconsistent(ControlError),
}

impl From<redb::Error> for StorageDamage {
    fn from(error: redb::Error) -> StorageDamage {
        StorageDamage::Database(Box::new(error))
    }
}

/// An opened file and the state read from it, with this start counted.
pub struct OpenedStorage {
    /// The file, locked against other processes.
    pub database: Database,
    /// The state that earlier processes stored.
    pub state: DurableState,
}

/// Opens the file of `owner`, or creates it with `new_member_id`, and counts a start.
///
/// # Errors
/// If this process can't use the file.
pub fn open(path: &Path, owner: &str, new_member_id: u64) -> Result<OpenedStorage, OpenError> {
    // The library panics on some kinds of damage.
    let opened = catch_unwind(AssertUnwindSafe(|| {
        open_checked(path, owner, new_member_id)
    }));
    opened.unwrap_or_else(|_| Err(StorageDamage::Unreadable.into()))
}

fn open_checked(path: &Path, owner: &str, new_member_id: u64) -> Result<OpenedStorage, OpenError> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(|error| OpenError::Io {
            path: folder.to_path_buf(),
            error,
        })?;
    }
    let mut database = open_database(path)?;
    check_integrity(&mut database)?;
    let mut state = read_state(&database, owner)?.unwrap_or(DurableState {
        member_id: new_member_id,
        ..DurableState::default()
    });
    state.start_count = state.start_count.saturating_add(1);
    write_start(&database, owner, &state).map_err(|error| OpenError::Unwritable {
        path: path.to_path_buf(),
        error: Box::new(error),
    })?;
    Ok(OpenedStorage { database, state })
}

fn open_database(path: &Path) -> Result<Database, OpenError> {
    let opened = Database::builder().set_cache_size(CACHE_BYTES).create(path);
    opened.map_err(|error| match error {
        DatabaseError::DatabaseAlreadyOpen => OpenError::InUse,
        DatabaseError::Storage(redb::StorageError::Io(error))
            if error.kind() != io::ErrorKind::InvalidData =>
        {
            OpenError::Io {
                path: path.to_path_buf(),
                error,
            }
        }
        other => StorageDamage::from(redb::Error::from(other)).into(),
    })
}

/// Checks the file without repairing it: a repair may return to a state that is older than promises already made.
fn check_integrity(database: &mut Database) -> Result<(), StorageDamage> {
    match database.check_integrity() {
        Ok(true) => Ok(()),
        Ok(false) => Err(StorageDamage::ChecksumMismatch),
        Err(error) => Err(redb::Error::from(error).into()),
    }
}

fn write_start(database: &Database, owner: &str, state: &DurableState) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut facts = transaction.open_table(FACTS)?;
        facts.insert(OWNER, owner.as_bytes())?;
        facts.insert(MEMBER_ID, &state.member_id.to_be_bytes()[..])?;
        facts.insert(START_COUNT, &state.start_count.to_be_bytes()[..])?;
        transaction.open_table(LOG)?;
    }
    transaction.commit()?;
    Ok(())
}

/// The encoded values of [`FACTS`].
#[derive(Default)]
struct StoredFacts {
    owner: Option<Vec<u8>>,
    member_id: Option<Vec<u8>>,
    start_count: Option<Vec<u8>>,
    cluster_id: Option<Vec<u8>>,
    snapshot: Option<Vec<u8>>,
    hard_state: Option<Vec<u8>>,
}

/// Reads the values. Returns `None` for a file that has just been created.
fn read_facts(transaction: &ReadTransaction) -> Result<Option<StoredFacts>, redb::Error> {
    let facts = match transaction.open_table(FACTS) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        other => other?,
    };
    let read = |name: &str| -> Result<Option<Vec<u8>>, redb::Error> {
        Ok(facts.get(name)?.map(|value| value.value().to_vec()))
    };
    Ok(Some(StoredFacts {
        owner: read(OWNER)?,
        member_id: read(MEMBER_ID)?,
        start_count: read(START_COUNT)?,
        cluster_id: read(CLUSTER_ID)?,
        snapshot: read(SNAPSHOT)?,
        hard_state: read(HARD_STATE)?,
    }))
}

fn read_entries(database: &Database) -> Result<BTreeMap<u64, Vec<u8>>, redb::Error> {
    let log = database.begin_read()?.open_table(LOG)?;
    let mut entries = BTreeMap::new();
    for entry in log.iter()? {
        let (index, bytes) = entry?;
        entries.insert(index.value(), bytes.value().to_vec());
    }
    Ok(entries)
}

fn begin_read(database: &Database) -> Result<ReadTransaction, redb::Error> {
    Ok(database.begin_read()?)
}

fn read_state(database: &Database, owner: &str) -> Result<Option<DurableState>, OpenError> {
    let transaction = begin_read(database).map_err(StorageDamage::from)?;
    let Some(facts) = read_facts(&transaction).map_err(StorageDamage::from)? else {
        return Ok(None);
    };
    let found = String::from_utf8_lossy(&facts.owner.unwrap_or_default()).into_owned();
    if found != owner {
        return Err(OpenError::ForeignOwner {
            found,
            expected: owner.to_string(),
        });
    }
    let member_id = decode_member_id(facts.member_id)?;
    let start_count = decode_start_count(facts.start_count)?;
    let cluster_id = match facts.cluster_id {
        Some(bytes) => Some(decode_cluster_id(&bytes)?),
        None => None,
    };
    Ok(Some(DurableState {
        member_id,
        start_count,
        cluster_id,
        snapshot: facts.snapshot,
        hard_state: facts.hard_state,
        entries: read_entries(database).map_err(StorageDamage::from)?,
    }))
}

fn decode_member_id(bytes: Option<Vec<u8>>) -> Result<u64, StorageDamage> {
    bytes
        .and_then(|bytes| bytes.try_into().ok())
        .map(u64::from_be_bytes)
        .filter(|member_id| *member_id != 0)
        .ok_or(StorageDamage::MissingIdentity)
}

fn decode_start_count(bytes: Option<Vec<u8>>) -> Result<u32, StorageDamage> {
    bytes
        .and_then(|bytes| bytes.try_into().ok())
        .map(u32::from_be_bytes)
        .ok_or(StorageDamage::MissingIdentity)
}

fn decode_cluster_id(bytes: &[u8]) -> Result<ClusterId, StorageDamage> {
    postcard::from_bytes(bytes).map_err(StorageDamage::ClusterId)
}

/// Renames a damaged file, to set it aside. Replaces a file that was set aside before.
///
/// # Errors
/// If the file can't be renamed.
pub fn set_aside(path: &Path) -> io::Result<()> {
    fs::rename(path, path.with_extension(DAMAGED_EXTENSION))
}

/// Writes the whole state to a new file, which then replaces the one at `path`. Both files stay locked against other
/// processes until then.
///
/// # Errors
/// If the new file can't be written. The current file is then unchanged.
fn rewrite(path: &Path, owner: &str, state: &DurableState) -> Result<Database, redb::Error> {
    let replacement = path.with_extension(REPLACEMENT_EXTENSION);
    match fs::remove_file(&replacement) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
        _ => {}
    }
    let database = Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create(&replacement)?;
    write_start(&database, owner, state)?;
    write_state(&database, state)?;
    fs::rename(&replacement, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(database)
}

/// Writes the state except for the identity to a new file.
fn write_state(database: &Database, state: &DurableState) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut facts = transaction.open_table(FACTS)?;
        if let Some(cluster_id) = state.cluster_id {
            facts.insert(CLUSTER_ID, encode_cluster_id(cluster_id)?.as_slice())?;
        }
        if let Some(snapshot) = &state.snapshot {
            facts.insert(SNAPSHOT, snapshot.as_slice())?;
        }
        if let Some(hard_state) = &state.hard_state {
            facts.insert(HARD_STATE, hard_state.as_slice())?;
        }
        let mut log = transaction.open_table(LOG)?;
        for (index, bytes) in &state.entries {
            log.insert(*index, bytes.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}

fn encode_cluster_id(cluster_id: ClusterId) -> Result<Vec<u8>, redb::Error> {
    let encoded =
        postcard::to_stdvec(&cluster_id).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(encoded)
}

/// Applies several writes in one transaction, which is synced to disk on return.
fn write_batch(database: &Database, writes: &[LogWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut facts = transaction.open_table(FACTS)?;
        let mut log = transaction.open_table(LOG)?;
        for write in writes {
            apply_to_facts(&mut facts, write)?;
            apply_to_log(&mut log, write)?;
        }
    }
    transaction.commit()?;
    Ok(())
}

fn apply_to_facts(
    facts: &mut Table<&'static str, &'static [u8]>,
    write: &LogWrite,
) -> Result<(), redb::Error> {
    if let Some(cluster_id) = write.starts_cluster {
        facts.remove(SNAPSHOT)?;
        facts.remove(HARD_STATE)?;
        facts.insert(CLUSTER_ID, encode_cluster_id(cluster_id)?.as_slice())?;
    }
    if let Some(snapshot) = &write.snapshot {
        facts.insert(SNAPSHOT, snapshot.bytes.as_slice())?;
    }
    if let Some(hard_state) = &write.hard_state {
        facts.insert(HARD_STATE, hard_state.as_slice())?;
    }
    Ok(())
}

fn apply_to_log(log: &mut Table<u64, &'static [u8]>, write: &LogWrite) -> Result<(), redb::Error> {
    if write.clears_entries || write.starts_cluster.is_some() {
        log.retain(|_, _| false)?;
    }
    if let Some(snapshot) = &write.snapshot {
        log.retain(|index, _| index > snapshot.last_index)?;
    }
    if let Some(first) = write.entries.first() {
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &write.entries {
        log.insert(entry.index, entry.bytes.as_slice())?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
