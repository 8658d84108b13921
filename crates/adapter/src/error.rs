//! The errors of the adapter.

use lupincrank_settings::SettingsError;

/// An error that ends the program before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input cannot be read.
    #[error("line {number}: cannot read input: {error}")]
    Read {
        /// The line number, from 1.
        number: u64,
        /// The I/O error.
        error: std::io::Error,
    },
    /// A line is invalid.
    #[error("line {number}: {error}")]
    Line {
        /// The line number, from 1.
        number: u64,
        /// The error in the line.
        error: LineError,
    },
    /// The output cannot be written.
    #[error("cannot write output: {0}")]
    Write(std::io::Error),
    /// The input ended inside a batch.
    #[error("input ended inside a batch: no EOB after the last TICK")]
    UnfinishedBatch,
}

/// An error in a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not a JSON object of the protocol.
    #[error("not a message: {0}")]
    Syntax(serde_json::Error),
    /// A `TICK` without a time.
    #[error("TICK: {0}")]
    Tick(MessageError),
    /// A `TICK` before the end of the current batch.
    #[error("TICK inside a batch")]
    TickInsideBatch,
    /// Any other line before the start of a batch.
    #[error("{operation:?} outside a batch")]
    OutsideBatch {
        /// The operation of the line.
        operation: String,
    },
    /// A line with missing or invalid fields, or of an unknown operation or instance.
    #[error("{operation}: {error}")]
    Message {
        /// The operation of the line.
        operation: String,
        /// The error in the message.
        error: MessageError,
    },
}

/// An error in the fields of a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A required field is missing.
    #[error("{field} is missing")]
    Missing {
        /// The field's key.
        field: &'static str,
    },
    /// A field has an unknown code.
    #[error("{field}: unknown code {code}")]
    UnknownCode {
        /// The field's key.
        field: &'static str,
        /// The code.
        code: u32,
    },
    /// A request identifier is not 16 lowercase hexadecimal digits.
    #[error("Req: {text:?} is not 16 hex digits")]
    InvalidRequestId {
        /// The text of the identifier.
        text: String,
    },
    /// The operation is unknown.
    #[error("unknown op {operation:?}")]
    UnknownOperation {
        /// The operation of the line.
        operation: String,
    },
    /// The message is for an instance that was never spawned.
    #[error("instance {instance:?} was never spawned")]
    UnknownInstance {
        /// The name of the instance.
        instance: String,
    },
    /// The message is for an instance that was torn down.
    #[error("instance {instance:?} was torn down and not spawned again")]
    StoppedInstance {
        /// The name of the instance.
        instance: String,
    },
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
