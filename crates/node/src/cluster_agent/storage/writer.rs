//! The thread that writes to the control group's file, so that the event loop never waits for the disk.

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

/// The writes that may be queued; a longer queue means that the disk has stopped.
const MAX_QUEUED_WRITES: usize = 4096;
/// The writes that join the first one in a transaction.
const MAX_BATCHED_WRITES: usize = 256;
/// The pause before the first attempt to write again after an error, and the longest one; each is twice the one before.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);
const THREAD_NAME: &str = "control storage";

/// Why a write has failed, or none can be queued.
#[derive(Debug, Error)]
pub enum StorageWriteError {
    /// The disk does not keep up.
    #[error("{MAX_QUEUED_WRITES} writes wait")]
    QueueFull,
    /// The thread has ended after an earlier error.
    #[error("it has ended")]
    ThreadEnded,
    /// The database library found a damage that it can't handle.
    #[error("the file is damaged")]
    FileDamaged,
    /// The database refused a write.
    #[error(transparent)]
    Database(Box<redb::Error>),
}

/// What the writing thread reports.
#[derive(Debug)]
pub enum StorageEvent {
    /// All writes up to the one of this sequence are on the disk.
    Completed(u64),
    /// A write has failed. It is made again, with the whole state in a new file, until that succeeds.
    Failing(StorageWriteError),
}

/// The file that is written, and what it holds.
pub struct StorageFile {
    /// Its path.
    pub path: PathBuf,
    /// The cluster and the node that it belongs to.
    pub owner: String,
    /// The opened file.
    pub database: Database,
    /// What it holds.
    pub state: DurableState,
}

/// The queue to the writing thread, and what that has reported. The thread ends after this is dropped, once the queued
/// writes are completed.
pub struct StorageWriter {
    writes: SyncSender<LogWrite>,
    events: Receiver<StorageEvent>,
    wake_receiver: UnixStream,
}

impl StorageWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the operating system gives no socket pair or no thread.
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

    /// A socket that becomes readable when writes are completed.
    ///
    /// # Errors
    /// Where the descriptor can't be duplicated.
    pub fn wake_receiver(&self) -> io::Result<UnixStream> {
        self.wake_receiver.try_clone()
    }

    /// Queues a write.
    ///
    /// # Errors
    /// Where nothing can be written any more.
    pub fn write(&self, write: LogWrite) -> Result<(), StorageWriteError> {
        self.writes.try_send(write).map_err(|error| match error {
            TrySendError::Full(_) => StorageWriteError::QueueFull,
            TrySendError::Disconnected(_) => StorageWriteError::ThreadEnded,
        })
    }

    /// Empties the socket that wakes the event loop.
    pub fn clear_wake_up(&mut self) {
        while matches!(retry_interrupted(|| self.wake_receiver.read(&mut [0; 64])), Ok(length) if length > 0)
        {
        }
    }

    /// The next event that the thread has reported, if any.
    ///
    /// # Errors
    /// Where the thread has ended.
    pub fn next_event(&mut self) -> Result<Option<StorageEvent>, StorageWriteError> {
        match self.events.try_recv() {
            Ok(event) => Ok(Some(event)),
            Err(TryRecvError::Empty) => Ok(None),
            Err(TryRecvError::Disconnected) => Err(StorageWriteError::ThreadEnded),
        }
    }
}

/// What the thread owns.
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
        // The receiver may be gone, or have been woken already.
        let _ = self.events.send(event);
        let _ = retry_interrupted(|| self.wake_sender.write(&[1]));
    }

    fn write(&self, batch: &[LogWrite]) -> Result<(), StorageWriteError> {
        // The library panics on some damages.
        match catch_unwind(AssertUnwindSafe(|| write_batch(&self.file.database, batch))) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(StorageWriteError::Database(Box::new(error))),
            Err(_) => Err(StorageWriteError::FileDamaged),
        }
    }

    /// After an error nothing that the operating system holds of the file can be trusted, so the whole state goes to a new
    /// one. Nothing is reported as completed meanwhile, and nothing that was promised is lost: the old file stays until
    /// the new one is on the disk.
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
