//! The file of the servers that an operator has drained. Both processes of a node read and write it, and the next process
//! of the node reads it at its start.

use lupincrank_placement::admin_drain::set_drained;
use lupincrank_placement::ServerId;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The first word of the file and the version of its format; the checksum follows.
const HEADER: &str = "lupincrank-out 1 ";
/// A longer file was not written by this program.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// How long the other process may hold the lock: a change takes microseconds, unless the process was stopped in its middle.
const LOCK_TIMEOUT: Duration = Duration::from_millis(50);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Why the file of admin drains could not be read or written.
#[derive(Debug, Error)]
#[error("{}: {reason}", path.display())]
pub(crate) struct AdminDrainFileError {
    path: PathBuf,
    #[source]
    reason: FailureReason,
}

impl AdminDrainFileError {
    /// Whether the file was read and does not hold what was written. A read that failed says nothing of that.
    fn is_damage(&self) -> bool {
        matches!(
            self.reason,
            FailureReason::TooLong | FailureReason::Format(_)
        )
    }
}

/// What went wrong with the file.
#[derive(Debug, Error)]
enum FailureReason {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it is too long")]
    TooLong,
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// Why the file's text is not believed.
#[derive(Debug, Error)]
enum FormatError {
    #[error("its head is not of this version")]
    Header,
    #[error("it is cut short")]
    Truncated,
    #[error("its checksum does not fit")]
    Checksum,
    #[error("it is not text")]
    Encoding,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// What an operator wants of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainChange {
    /// It gets no new connections, and its clients are sent away.
    Drain,
    /// It is used again.
    Release,
}

/// Applies the change to the set of drained servers; whether the set has changed.
pub(crate) fn apply_change(
    drained: &mut BTreeSet<ServerId>,
    server: &ServerId,
    change: DrainChange,
) -> bool {
    set_drained(drained, server, change == DrainChange::Drain)
}

/// The text of the file: the header with a checksum, then the ids as JSON.
fn format(drained: &BTreeSet<ServerId>) -> Result<String, FormatError> {
    let ids: Vec<&str> = drained.iter().map(|server| &*server.0).collect();
    let body = serde_json::to_string(&ids)?;
    let checksum = checksum(&body);
    Ok(format!("{HEADER}{checksum}\n{body}\n"))
}

/// Reads the text back whole, or not at all.
fn parse(text: &str) -> Result<BTreeSet<ServerId>, FormatError> {
    let rest = text.strip_prefix(HEADER).ok_or(FormatError::Header)?;
    let (expected, body) = rest.split_once('\n').ok_or(FormatError::Truncated)?;
    let body = body.strip_suffix('\n').ok_or(FormatError::Truncated)?;
    if expected != checksum(body) {
        return Err(FormatError::Checksum);
    }
    let ids: Vec<String> = serde_json::from_str(body)?;
    Ok(ids.iter().map(|id| ServerId::from(id.as_str())).collect())
}

fn checksum(body: &str) -> String {
    format!("{:08x}", crc32fast::hash(body.as_bytes()))
}

/// The file of admin drains at a path; it need not exist.
pub(crate) struct AdminDrainFile {
    path: PathBuf,
}

impl AdminDrainFile {
    /// The file at `path`. Its lock and its next version are written beside it.
    pub(crate) fn new(path: PathBuf) -> AdminDrainFile {
        AdminDrainFile { path }
    }

    /// The drained servers; none if there is no file.
    ///
    /// # Errors
    /// Where the file can't be read or is damaged.
    pub(crate) fn read(&self) -> Result<BTreeSet<ServerId>, AdminDrainFileError> {
        self.read_contents().map_err(|reason| self.error(reason))
    }

    /// Drains or releases one server, in the file too, and returns the drained servers. `known` is believed where the file
    /// is damaged.
    ///
    /// # Errors
    /// Where the file can't be locked, read or written; nothing has changed then.
    pub(crate) fn update(
        &self,
        server: &ServerId,
        change: DrainChange,
        known: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, AdminDrainFileError> {
        // Guards against the other process's change between this one's reading and writing.
        let _lock = self.lock()?;
        let mut drained = match self.read() {
            Err(error) if error.is_damage() => known.clone(),
            read => read?,
        };
        if apply_change(&mut drained, server, change) {
            self.write(&drained)?;
        }
        Ok(drained)
    }

    /// Writes a file that was found damaged anew, unless the other process has done so by now.
    ///
    /// # Errors
    /// Where the file can't be locked, read or written.
    pub(crate) fn repair(&self, drained: &BTreeSet<ServerId>) -> Result<(), AdminDrainFileError> {
        let _lock = self.lock()?;
        match self.read() {
            Ok(_) => Ok(()),
            Err(error) if error.is_damage() => self.write(drained),
            Err(error) => Err(error),
        }
    }

    fn read_contents(&self) -> Result<BTreeSet<ServerId>, FailureReason> {
        match fs::metadata(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => return Err(FailureReason::TooLong),
            _ => {}
        }
        let bytes = fs::read(&self.path)?;
        let text = std::str::from_utf8(&bytes).map_err(|_| FormatError::Encoding)?;
        Ok(parse(text)?)
    }

    /// Replaces the file in one step; it is on the disk when this returns. Only under the lock.
    fn write(&self, drained: &BTreeSet<ServerId>) -> Result<(), AdminDrainFileError> {
        let next_version = self.path.with_extension("out-new");
        let replace = || -> Result<(), FailureReason> {
            let mut file = File::create(&next_version)?;
            file.write_all(format(drained)?.as_bytes())?;
            file.sync_all()?;
            fs::rename(&next_version, &self.path)?;
            if let Some(directory) = self.path.parent() {
                File::open(directory)?.sync_all()?;
            }
            Ok(())
        };
        replace().map_err(|reason| self.error(reason))
    }

    fn lock(&self) -> Result<File, AdminDrainFileError> {
        lock_file(&self.path.with_extension("out-lock")).map_err(|error| self.error(error.into()))
    }

    fn error(&self, reason: FailureReason) -> AdminDrainFileError {
        AdminDrainFileError {
            path: self.path.clone(),
            reason,
        }
    }
}

/// Locks the file at `path` until the returned file is dropped.
fn lock_file(path: &Path) -> io::Result<File> {
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)?;
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(fs::TryLockError::WouldBlock) if Instant::now() < deadline => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(error) => return Err(error.into()),
        }
    }
}

#[cfg(test)]
mod tests;
