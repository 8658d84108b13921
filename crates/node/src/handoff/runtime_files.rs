//! The files that the processes of one node share: a lock, a socket and the admin drains.

use super::admin_drain_file::AdminDrainFile;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Replaced in turn by each file's own extension. The name before it holds dots, and what follows the last of them must
/// not be taken for an extension.
const PLACEHOLDER_EXTENSION: &str = "node";

/// The paths of the shared files, named after the address where clients connect.
#[derive(Clone, Debug)]
pub(crate) struct RuntimeFiles {
    runtime_path: PathBuf,
}

impl RuntimeFiles {
    /// The files of the node whose clients connect to `listen`, in the directory for temporary files.
    pub(crate) fn new(listen: SocketAddr) -> RuntimeFiles {
        let name = format!("lupincrank-{listen}").replace([':', '[', ']'], "-");
        let file_name = format!("{name}.{PLACEHOLDER_EXTENSION}");
        RuntimeFiles {
            runtime_path: std::env::temp_dir().join(file_name),
        }
    }

    /// Where a successor connects.
    pub(crate) fn socket_path(&self) -> PathBuf {
        self.runtime_path.with_extension("socket")
    }

    /// The file of the servers that an operator has drained.
    pub(crate) fn admin_drain_file(&self) -> AdminDrainFile {
        AdminDrainFile::new(self.runtime_path.with_extension("out"))
    }

    /// Takes the lock that the older process holds until it ends; `None` while another process has it.
    ///
    /// # Errors
    /// Where the file can't be opened or locked.
    pub(crate) fn try_lock(&self) -> io::Result<Option<File>> {
        self.try_lock_file("lock")
    }

    /// Takes the lock of the process that is next to become the older one; `None` while another process has it. A killed
    /// process holds [`RuntimeFiles::try_lock`] until it is gone: only one process may wait for that, or the later one of
    /// two could take it first.
    ///
    /// # Errors
    /// Where the file can't be opened or locked.
    pub(crate) fn try_next_lock(&self) -> io::Result<Option<File>> {
        self.try_lock_file("next")
    }

    fn try_lock_file(&self, extension: &str) -> io::Result<Option<File>> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.runtime_path.with_extension(extension))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(fs::TryLockError::WouldBlock) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}
