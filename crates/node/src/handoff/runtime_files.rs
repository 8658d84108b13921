//! The files that the processes of one node share: a lock, a socket, the admin drains and the tables of request ids.

use super::admin_drain_file::AdminDrainFile;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Placeholder that `with_extension` replaces by the extension of each file. Without it, `with_extension` would replace
/// the text after the last dot of the IP address in the file name.
const PLACEHOLDER_EXTENSION: &str = "node";

/// The number of tables of request ids: for the older process, its successor, and one that was killed and has not
/// terminated yet.
const REQUEST_TABLE_COUNT: usize = 3;

/// The paths of the shared files, which are named after the client address.
#[derive(Clone, Debug)]
pub(crate) struct RuntimeFiles {
    runtime_path: PathBuf,
}

impl RuntimeFiles {
    /// Returns the paths for the node that listens for clients on `listen`, in the directory for temporary files.
    pub(crate) fn new(listen: SocketAddr) -> RuntimeFiles {
        let name = format!("lupincrank-{listen}").replace([':', '[', ']'], "-");
        let file_name = format!("{name}.{PLACEHOLDER_EXTENSION}");
        RuntimeFiles {
            runtime_path: std::env::temp_dir().join(file_name),
        }
    }

    /// The path of the socket to which a successor connects.
    pub(crate) fn socket_path(&self) -> PathBuf {
        self.runtime_path.with_extension("socket")
    }

    /// The file that stores the admin drains.
    pub(crate) fn admin_drain_file(&self) -> AdminDrainFile {
        AdminDrainFile::new(self.runtime_path.with_extension("out"))
    }

    /// The files in which the processes publish the request ids in use. Each process uses one of them for its own ids.
    pub(crate) fn request_table_paths(&self) -> [PathBuf; REQUEST_TABLE_COUNT] {
        std::array::from_fn(|index| {
            self.runtime_path
                .with_extension(format!("requests-{index}"))
        })
    }

    /// The files in which the processes keep the ids of executed requests, by the index of [`Self::request_table_paths`].
    pub(crate) fn executed_request_paths(&self) -> [PathBuf; REQUEST_TABLE_COUNT] {
        std::array::from_fn(|index| {
            self.runtime_path
                .with_extension(format!("executed-{index}"))
        })
    }

    /// Acquires the lock that the older process holds until it terminates. Returns `None` if another process holds it.
    ///
    /// # Errors
    /// If the file can't be opened or locked.
    pub(crate) fn try_lock(&self) -> io::Result<Option<File>> {
        self.try_lock_file("lock")
    }

    /// Acquires the lock of the process that is next to become the older one. Returns `None` if another process holds
    /// it.
    ///
    /// A killed process holds the lock of [`RuntimeFiles::try_lock`] until it has terminated. Only one process may wait
    /// for that lock: of two waiting processes, the one that started later could acquire it first.
    ///
    /// # Errors
    /// If the file can't be opened or locked.
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
