//! The file that stores the admin drains. Both processes of a node read and write it, and each later process of the node
//! reads it at startup.

use lupincrank_placement::admin_drain::set_drained;
use lupincrank_placement::ServerId;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Identifies the file type and the version of its format. The checksum follows.
const HEADER: &str = "lupincrank-out 1 ";
/// Maximum length of the file. A longer one was not written by this program.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Time to wait for the lock. The other process holds it for microseconds, unless it was stopped in the middle of a
/// change.
const LOCK_TIMEOUT: Duration = Duration::from_millis(50);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// The file of admin drains could not be read or written.
#[derive(Debug, Error)]
#[error("{}: {reason}", path.display())]
pub(crate) struct AdminDrainFileError {
    path: PathBuf,
    #[source]
    reason: FailureReason,
}

impl AdminDrainFileError {
    /// Returns true if the file was read and its contents are damaged. A failed read is no evidence of damage.
    fn is_damage(&self) -> bool {
        matches!(
            self.reason,
            FailureReason::TooLong | FailureReason::Format(_)
        )
    }
}

/// The reason of an [`AdminDrainFileError`].
#[derive(Debug, Error)]
enum FailureReason {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("file is longer than 1 MiB")]
    TooLong,
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// The file's contents are invalid.
#[derive(Debug, Error)]
enum FormatError {
    #[error("unknown header or version of the file")]
    Header,
    #[error("file is truncated")]
    Truncated,
    #[error("checksum of the file does not match")]
    Checksum,
    #[error("file is not UTF-8")]
    Encoding,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A change of one server's admin drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainChange {
    /// The server gets no new connections, and its clients are asked to reconnect elsewhere.
    Drain,
    /// The server is used again.
    Release,
}

/// Applies the change to the set of drained servers. Returns true if the set has changed.
pub(crate) fn apply_change(
    drained: &mut BTreeSet<ServerId>,
    server: &ServerId,
    change: DrainChange,
) -> bool {
    set_drained(drained, server, change == DrainChange::Drain)
}

/// Formats the text of the file: the header with a checksum, then the server ids as JSON.
fn format(drained: &BTreeSet<ServerId>) -> Result<String, FormatError> {
    let ids: Vec<&str> = drained.iter().map(|server| &*server.0).collect();
    let body = serde_json::to_string(&ids)?;
    let checksum = checksum(&body);
    Ok(format!("{HEADER}{checksum}\n{body}\n"))
}

/// Parses the text of the file. Damaged text is rejected as a whole.
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

/// The file of admin drains. It need not exist.
pub(crate) struct AdminDrainFile {
    path: PathBuf,
}

impl AdminDrainFile {
    /// Creates a handle to the file at `path`. The lock file and a temporary file are created in the same directory.
    pub(crate) fn new(path: PathBuf) -> AdminDrainFile {
        AdminDrainFile { path }
    }

    /// Reads the drained servers. The set is empty if there is no file.
    ///
    /// # Errors
    /// If the file can't be read or is damaged.
    pub(crate) fn read(&self) -> Result<BTreeSet<ServerId>, AdminDrainFileError> {
        self.read_contents().map_err(|reason| self.error(reason))
    }

    /// Drains or releases one server in the file, and returns the drained servers. `fallback` replaces the contents of a
    /// damaged file.
    ///
    /// # Errors
    /// If the file can't be locked, read or written; the drained servers are unchanged in this case.
    pub(crate) fn update(
        &self,
        server: &ServerId,
        change: DrainChange,
        fallback: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, AdminDrainFileError> {
        // Without the lock, a change by the other process between the read and the write would be lost.
        let _lock = self.lock()?;
        let mut drained = match self.read() {
            Err(error) if error.is_damage() => fallback.clone(),
            read => read?,
        };
        if apply_change(&mut drained, server, change) {
            self.write(&drained)?;
        }
        Ok(drained)
    }

    /// Rewrites a damaged file, unless the other process has already done so.
    ///
    /// # Errors
    /// If the file can't be locked, read or written.
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

    /// Replaces the file atomically and syncs it to disk. The caller must hold the lock.
    fn write(&self, drained: &BTreeSet<ServerId>) -> Result<(), AdminDrainFileError> {
        let temporary_path = self.path.with_extension("out-new");
        let replace = || -> Result<(), FailureReason> {
            let mut file = File::create(&temporary_path)?;
            file.write_all(format(drained)?.as_bytes())?;
            file.sync_all()?;
            fs::rename(&temporary_path, &self.path)?;
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
