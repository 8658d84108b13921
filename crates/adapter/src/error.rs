//! What can be wrong with the input.

use lupincrank_settings::SettingsError;

/// Why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input cannot be read.
    #[error("line {number}: cannot read: {error}")]
    Read {
        /// The number of the line, from 1.
        number: u64,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// A line cannot be understood.
    #[error("line {number}: {error}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        /// What is wrong with it.
        error: LineError,
    },
    /// The output cannot be written.
    #[error("cannot write: {0}")]
    Write(std::io::Error),
    /// The input ended before the batch did.
    #[error("the input ends inside a batch: no EOB after the last TICK")]
    UnfinishedBatch,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is no JSON object of the protocol.
    #[error("not a message: {0}")]
    Syntax(serde_json::Error),
    /// A `TICK` without its time.
    #[error("TICK: {0}")]
    Tick(MessageError),
    /// A `TICK` where the batch has not ended.
    #[error("TICK inside a batch")]
    TickInsideBatch,
    /// Any other line where no batch has begun.
    #[error("{operation:?} outside a batch")]
    OutsideBatch {
        /// The line's operation.
        operation: String,
    },
    /// A line whose fields are wrong.
    #[error("{operation}: {error}")]
    Message {
        /// The line's operation.
        operation: String,
        /// What is wrong with it.
        error: MessageError,
    },
}

/// What is wrong with the fields of a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A field that the operation needs is absent.
    #[error("{field} is missing")]
    Missing {
        /// The field's key.
        field: &'static str,
    },
    /// A code that stands for no value.
    #[error("{field}: unknown code {code}")]
    UnknownCode {
        /// The field's key.
        field: &'static str,
        /// The code.
        code: u32,
    },
    /// A request's identifier is not written as the protocol says.
    #[error("Req: {text:?} is not 16 hex digits")]
    InvalidRequestId {
        /// The identifier as it is written.
        text: String,
    },
    /// There is no such operation.
    #[error("unknown op {operation:?}")]
    UnknownOperation {
        /// The line's operation.
        operation: String,
    },
    /// The message is for an instance that was never spawned.
    #[error("{instance:?} was never spawned")]
    UnknownInstance {
        /// The name of the instance.
        instance: String,
    },
    /// The message is for an instance that was torn down.
    #[error("{instance:?} was torn down and not spawned again")]
    StoppedInstance {
        /// The name of the instance.
        instance: String,
    },
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
