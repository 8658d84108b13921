//! Log and vote of the council on the disk, by redb, and the one thread that waits for the disk in the loop's place. What
//! is in the file and when it is whole is told by `lupincrank_control::durable`.

use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::member::ClusterId;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use std::fs;
use std::io::{self, Read, Write as _};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender, TryRecvError, TrySendError};
use std::thread;

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The facts.
const OWNER: &str = "owner";
const ID: &str = "id";
const STARTS: &str = "starts";
const STAMP: &str = "stamp";
const SNAPSHOT: &str = "snapshot";
const HARD: &str = "hard";
/// Pages kept in memory.
const CACHE: usize = 1 << 20;
/// Writes that wait at the most: more are a disk that has stopped.
const MOST_WAITING: usize = 4096;
/// Writes carried out in one transaction.
const MOST_AT_ONCE: usize = 256;

/// Why a file is not to be had.
#[derive(Debug)]
pub enum Fault {
    /// Another process holds it: the one before this.
    Busy,
    /// It can't be gone on with: another identity has to begin.
    Damaged(String),
    /// A person has to look: it belongs to somebody else, or the folder is not to be used.
    Wrong(String),
}

fn damaged(error: impl std::fmt::Display) -> Fault {
    Fault::Damaged(error.to_string())
}

/// A value as it stands in the file.
type Value = Option<Vec<u8>>;

/// Opens the file for this owner, and counts the start that this is. A file that is not there begins with `fresh` as its id.
pub fn open(path: &Path, owner: &str, fresh: u64) -> Result<(Database, DurableState), Fault> {
    // Redb panics on some damages that it can't read.
    let opened = catch_unwind(AssertUnwindSafe(|| open_whole(path, owner, fresh)));
    opened.unwrap_or_else(|_| Err(damaged("it can't be read at all")))
}

fn open_whole(path: &Path, owner: &str, fresh: u64) -> Result<(Database, DurableState), Fault> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)
            .map_err(|error| Fault::Wrong(format!("{}: {error}", folder.display())))?;
    }
    let opened = Database::builder().set_cache_size(CACHE).create(path);
    let mut database = opened.map_err(|error| match error {
        DatabaseError::DatabaseAlreadyOpen => Fault::Busy,
        DatabaseError::Storage(redb::StorageError::Io(error))
            if error.kind() != io::ErrorKind::InvalidData =>
        {
            Fault::Wrong(format!("{}: {error}", path.display()))
        }
        other => damaged(other),
    })?;
    // Not to be made better: what redb would go back to may be older than what was said by it.
    match database.check_integrity() {
        Ok(true) => {}
        Ok(false) => return Err(damaged("its checksums differ")),
        Err(error) => return Err(damaged(error)),
    }
    let mut kept = read(&database, owner)?.unwrap_or(DurableState {
        member_id: fresh,
        ..DurableState::default()
    });
    kept.start_count = kept.start_count.saturating_add(1);
    let noted = || -> Result<(), redb::Error> {
        let change = database.begin_write()?;
        {
            let mut facts = change.open_table(FACTS)?;
            facts.insert(OWNER, owner.as_bytes())?;
            facts.insert(ID, &kept.member_id.to_be_bytes()[..])?;
            facts.insert(STARTS, &kept.start_count.to_be_bytes()[..])?;
            change.open_table(LOG)?;
        }
        change.commit()?;
        Ok(())
    };
    noted().map_err(|error| Fault::Wrong(format!("{}: {error}", path.display())))?;
    Ok((database, kept))
}

fn read(database: &Database, owner: &str) -> Result<Option<DurableState>, Fault> {
    let all = || -> Result<Option<[Value; 6]>, redb::Error> {
        let facts = match database.begin_read()?.open_table(FACTS) {
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            other => other?,
        };
        let mut values: [Value; 6] = Default::default();
        for (value, name) in values
            .iter_mut()
            .zip([OWNER, ID, STARTS, STAMP, SNAPSHOT, HARD])
        {
            *value = facts.get(name)?.map(|found| found.value().to_vec());
        }
        Ok(Some(values))
    };
    let Some([whose, id, starts, stamp, snapshot, hard]) = all().map_err(damaged)? else {
        return Ok(None);
    };
    let whose = String::from_utf8_lossy(&whose.unwrap_or_default()).into_owned();
    if whose != owner {
        return Err(Fault::Wrong(format!(
            "the council's file belongs to {whose:?}, this is {owner:?}"
        )));
    }
    let id = id.and_then(|id| id.try_into().ok()).map(u64::from_be_bytes);
    let starts = starts
        .and_then(|starts| starts.try_into().ok())
        .map(u32::from_be_bytes);
    let (Some(id), Some(starts)) = (id.filter(|id| *id != 0), starts) else {
        return Err(damaged("it names no identity"));
    };
    let stamp = stamp
        .map(|stamp| postcard::from_bytes::<ClusterId>(&stamp))
        .transpose()
        .map_err(damaged)?;
    let entries = || -> Result<_, redb::Error> {
        let log = database.begin_read()?.open_table(LOG)?;
        let mut entries = std::collections::BTreeMap::new();
        for entry in log.iter()? {
            let (index, bytes) = entry?;
            entries.insert(index.value(), bytes.value().to_vec());
        }
        Ok(entries)
    };
    let entries = entries().map_err(damaged)?;
    Ok(Some(DurableState {
        member_id: id,
        start_count: starts,
        cluster_id: stamp,
        snapshot,
        hard_state: hard,
        entries,
    }))
}

/// Puts a file aside that can't be gone on with; one that was put aside before goes.
pub fn put_aside(path: &Path) -> io::Result<()> {
    fs::rename(path, path.with_extension("damaged"))
}

/// Several writes in one transaction, synced when this returns.
fn carry_out(database: &Database, writes: &[LogWrite]) -> Result<(), redb::Error> {
    let change = database.begin_write()?;
    {
        let mut facts = change.open_table(FACTS)?;
        let mut log = change.open_table(LOG)?;
        for write in writes {
            if let Some(stamp) = write.starts_cluster {
                facts.remove(SNAPSHOT)?;
                facts.remove(HARD)?;
                let stamp = postcard::to_stdvec(&stamp)
                    .map_err(|error| io::Error::other(error.to_string()))?;
                facts.insert(STAMP, stamp.as_slice())?;
            }
            if write.clears_entries || write.starts_cluster.is_some() {
                log.retain(|_, _| false)?;
            }
            if let Some(snapshot) = &write.snapshot {
                facts.insert(SNAPSHOT, snapshot.bytes.as_slice())?;
                log.retain(|at, _| at > snapshot.last_index)?;
            }
            if let Some(first) = write.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &write.entries {
                log.insert(entry.index, entry.bytes.as_slice())?;
            }
            if let Some(hard) = &write.hard_state {
                facts.insert(HARD, hard.as_slice())?;
            }
        }
    }
    change.commit()?;
    Ok(())
}

/// The thread that writes. It ends with this value, once what it has is written.
pub struct Disk {
    to: SyncSender<LogWrite>,
    from: Receiver<Result<u64, String>>,
    wakes: UnixStream,
}

impl Disk {
    /// Begins. `wake` becomes readable when something is written.
    pub fn begin(database: Database) -> io::Result<Disk> {
        let (to, writes) = sync_channel::<LogWrite>(MOST_WAITING);
        let (done, from) = channel();
        let (wakes, mut wake) = UnixStream::pair()?;
        wakes.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        thread::Builder::new()
            .name("council's disk".into())
            .spawn(move || {
                while let Ok(first) = writes.recv() {
                    let batch: Vec<LogWrite> = std::iter::once(first)
                        .chain(writes.try_iter().take(MOST_AT_ONCE))
                        .collect();
                    let last = batch.last().map_or(0, |write| write.sequence);
                    let carried_out =
                        catch_unwind(AssertUnwindSafe(|| carry_out(&database, &batch)));
                    let carried_out = match carried_out {
                        Ok(carried_out) => carried_out.map_err(|error| error.to_string()),
                        Err(_) => Err("the file is damaged".to_string()),
                    };
                    let over = carried_out.is_err();
                    // Nobody listens any more, or is awake already.
                    let _ = done.send(carried_out.map(|()| last));
                    let _ = wake.write(&[1]);
                    if over {
                        return;
                    }
                }
            })?;
        Ok(Disk { to, from, wakes })
    }

    /// What tells that something is written.
    pub fn wakes(&self) -> io::Result<UnixStream> {
        self.wakes.try_clone()
    }

    /// One more write; an error says that the disk is lost.
    pub fn write(&self, write: LogWrite) -> Result<(), String> {
        self.to.try_send(write).map_err(|error| match error {
            TrySendError::Full(_) => format!("{MOST_WAITING} writes wait"),
            TrySendError::Disconnected(_) => "it has ended".to_string(),
        })
    }

    /// The last write that is on the disk since the last call, if any; an error says that the disk is lost.
    pub fn done(&mut self) -> Result<Option<u64>, String> {
        while matches!(self.wakes.read(&mut [0; 64]), Ok(read) if read > 0) {}
        let mut last = None;
        loop {
            match self.from.try_recv() {
                Ok(done) => last = Some(done?),
                Err(TryRecvError::Empty) => return Ok(last),
                Err(TryRecvError::Disconnected) => {
                    return last.map(Some).ok_or("it has ended".to_string())
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
