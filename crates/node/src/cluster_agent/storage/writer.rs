//! The thread that writes to the control group's file, so that the event loop never waits for the disk.

use super::write_batch;
use lupincrank_control::durable::LogWrite;
use lupincrank_reactor::retry_interrupted;
use redb::Database;
use std::io::{self, Read, Write as _};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{
    channel, sync_channel, Receiver, Sender, SyncSender, TryRecvError, TrySendError,
};
use std::thread;
use thiserror::Error;

/// The writes that may be queued; a longer queue means that the disk has stopped.
const MAX_QUEUED_WRITES: usize = 4096;
/// The writes that join the first one in a transaction.
const MAX_BATCHED_WRITES: usize = 256;
const THREAD_NAME: &str = "control storage";

/// Why nothing can be written any more.
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

/// The queue to the writing thread, and what that has completed. The thread ends after this is dropped, once the queued
/// writes are completed.
pub struct StorageWriter {
    writes: SyncSender<LogWrite>,
    completions: Receiver<Result<u64, StorageWriteError>>,
    wake_receiver: UnixStream,
}

impl StorageWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the operating system gives no socket pair or no thread.
    pub fn start(database: Database) -> io::Result<StorageWriter> {
        let (write_sender, write_receiver) = sync_channel(MAX_QUEUED_WRITES);
        let (completion_sender, completions) = channel();
        let (wake_receiver, wake_sender) = UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        wake_sender.set_nonblocking(true)?;
        let worker = Worker {
            database,
            writes: write_receiver,
            completions: completion_sender,
            wake_sender,
        };
        thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || worker.run())?;
        Ok(StorageWriter {
            writes: write_sender,
            completions,
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

    /// The sequence of the last write that was completed since the last call, if any.
    ///
    /// # Errors
    /// Where nothing can be written any more.
    pub fn take_completed(&mut self) -> Result<Option<u64>, StorageWriteError> {
        while matches!(retry_interrupted(|| self.wake_receiver.read(&mut [0; 64])), Ok(length) if length > 0)
        {
        }
        let mut last = None;
        loop {
            match self.completions.try_recv() {
                Ok(completed) => last = Some(completed?),
                Err(TryRecvError::Empty) => return Ok(last),
                Err(TryRecvError::Disconnected) => {
                    return last.map(Some).ok_or(StorageWriteError::ThreadEnded)
                }
            }
        }
    }
}

/// What the thread owns.
struct Worker {
    database: Database,
    writes: Receiver<LogWrite>,
    completions: Sender<Result<u64, StorageWriteError>>,
    wake_sender: UnixStream,
}

impl Worker {
    /// Writes until the queue is closed or a write fails.
    fn run(mut self) {
        while let Ok(first) = self.writes.recv() {
            let mut batch = vec![first];
            batch.extend(self.writes.try_iter().take(MAX_BATCHED_WRITES));
            let last_sequence = batch.last().map_or(0, |write| write.sequence);
            let result = self.write(&batch);
            let has_failed = result.is_err();
            // The receiver may be gone, or have been woken already.
            let _ = self.completions.send(result.map(|()| last_sequence));
            let _ = retry_interrupted(|| self.wake_sender.write(&[1]));
            if has_failed {
                return;
            }
        }
    }

    fn write(&self, batch: &[LogWrite]) -> Result<(), StorageWriteError> {
        // The library panics on some damages.
        match catch_unwind(AssertUnwindSafe(|| write_batch(&self.database, batch))) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(StorageWriteError::Database(Box::new(error))),
            Err(_) => Err(StorageWriteError::FileDamaged),
        }
    }
}
