//! The thread that writes to the storage file, so that the event loop never waits for the disk.

use super::{rewrite, write_batch};
use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_reactor::retry_interrupted;
use redb::Database;
use std::io::{self, Read, Write as _};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::mpsc::{
    channel, sync_channel, Receiver, Sender, SyncSender, TryRecvError, TrySendError,
};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// The number of writes that may be queued. A full queue indicates a disk that has stalled.
const MAX_QUEUED_WRITES: usize = 4096;
/// The number of writes that may be added to the first one in a transaction.
const MAX_BATCHED_WRITES: usize = 256;
/// The pause before the first retry of a failed write. It doubles up to the maximum.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);
const THREAD_NAME: &str = "control storage";

/// Why a write failed or can't be queued.
#[derive(Debug, Error)]
pub enum StorageWriteError {
    /// The disk is too slow.
    #[error("write queue is full with {MAX_QUEUED_WRITES} writes")]
    QueueFull,
    /// The storage thread has ended.
    #[error("storage thread has ended")]
    ThreadEnded,
    /// The database library panicked, as it does on some kinds of damage.
    #[error("storage file is damaged")]
    FileDamaged,
    /// The database reported an error.
    #[error(transparent)]
    Database(Box<redb::Error>),
}

/// An event reported by the storage thread.
#[derive(Debug)]
pub enum StorageEvent {
    /// All writes up to this sequence number are on disk.
    Completed(u64),
    /// A write has failed. The thread writes the whole state to a new file instead, and retries until that succeeds.
    Failing(StorageWriteError),
}

/// The file that the thread writes, and its state.
pub struct StorageFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The cluster and the node that own the file.
    pub owner: String,
    /// The open database.
    pub database: Database,
    /// The state in the file.
    pub state: DurableState,
}

/// The queues to and from the storage thread. After the writer is dropped, the thread completes the queued writes and
/// ends.
pub struct StorageWriter {
    writes: SyncSender<LogWrite>,
    events: Receiver<StorageEvent>,
    wake_receiver: UnixStream,
}

impl StorageWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the socket pair or the thread can't be created.
    pub fn start(file: StorageFile) -> io::Result<StorageWriter> {
        let (write_sender, write_receiver) = sync_channel(MAX_QUEUED_WRITES);
        let (event_sender, events) = channel();
        let (wake_receiver, wake_sender) = UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        wake_sender.set_nonblocking(true)?;
        let worker = Worker {
            file,
            writes: write_receiver,
            events: event_sender,
            wake_sender,
        };
        thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || worker.run())?;
        Ok(StorageWriter {
            writes: write_sender,
            events,
            wake_receiver,
        })
    }

    /// Returns a socket that becomes readable when an event is reported.
    ///
    /// # Errors
    /// If the file descriptor can't be duplicated.
    pub fn wake_receiver(&self) -> io::Result<UnixStream> {
        self.wake_receiver.try_clone()
    }

    /// Queues a write.
    ///
    /// # Errors
    /// If the queue is full or the thread has ended.
    pub fn write(&self, write: LogWrite) -> Result<(), StorageWriteError> {
        self.writes.try_send(write).map_err(|error| match error {
            TrySendError::Full(_) => StorageWriteError::QueueFull,
            TrySendError::Disconnected(_) => StorageWriteError::ThreadEnded,
        })
    }

    /// Drains the socket that wakes the event loop.
    pub fn clear_wake_up(&mut self) {
        while matches!(retry_interrupted(|| self.wake_receiver.read(&mut [0; 64])), Ok(length) if length > 0)
        {
        }
    }

    /// Returns the next event that the thread has reported, if any.
    ///
    /// # Errors
    /// If the thread has ended.
    pub fn next_event(&mut self) -> Result<Option<StorageEvent>, StorageWriteError> {
        match self.events.try_recv() {
            Ok(event) => Ok(Some(event)),
            Err(TryRecvError::Empty) => Ok(None),
            Err(TryRecvError::Disconnected) => Err(StorageWriteError::ThreadEnded),
        }
    }
}

/// The state of the storage thread.
struct Worker {
    file: StorageFile,
    writes: Receiver<LogWrite>,
    events: Sender<StorageEvent>,
    wake_sender: UnixStream,
}

impl Worker {
    /// Writes until the queue is closed.
    fn run(mut self) {
        while let Ok(first) = self.writes.recv() {
            let mut batch = vec![first];
            batch.extend(self.writes.try_iter().take(MAX_BATCHED_WRITES));
            let last_sequence = batch.last().map_or(0, |write| write.sequence);
            for write in &batch {
                self.file.state.apply(write);
            }
            if let Err(error) = self.write(&batch) {
                self.report(StorageEvent::Failing(error));
                self.rewrite_until_written();
            }
            self.report(StorageEvent::Completed(last_sequence));
        }
    }

    fn report(&mut self, event: StorageEvent) {
        // Fails if the receiver was dropped, or if unread wake-ups fill the socket.
        let _ = self.events.send(event);
        let _ = retry_interrupted(|| self.wake_sender.write(&[1]));
    }

    fn write(&self, batch: &[LogWrite]) -> Result<(), StorageWriteError> {
        // The library panics on some kinds of damage.
        match catch_unwind(AssertUnwindSafe(|| write_batch(&self.file.database, batch))) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(StorageWriteError::Database(Box::new(error))),
            Err(_) => Err(StorageWriteError::FileDamaged),
        }
    }

    /// Writes the whole state to a new file, because after an error the operating system's cached data of the old one
    /// can't be trusted. Until that succeeds, no write is reported as completed, and no earlier promise is lost: the
    /// old file stays until the new one is on disk.
    fn rewrite_until_written(&mut self) {
        let mut backoff = MIN_RETRY_BACKOFF;
        loop {
            thread::sleep(backoff);
            let file = &self.file;
            let rewritten = catch_unwind(AssertUnwindSafe(|| {
                rewrite(&file.path, &file.owner, &file.state)
            }));
            if let Ok(Ok(database)) = rewritten {
                self.file.database = database;
                return;
            }
            backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
        }
    }
}
