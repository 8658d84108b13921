//! Errors of a run.

use std::error::Error as StdError;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// The reason why a run could not be completed.
#[derive(Debug, Error)]
pub enum RunError {
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Invalid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The run was stopped before its end.
    #[error("the run was stopped before its end")]
    Stopped,
    /// The nodes did not become ready.
    #[error("nodes not ready after {timeout:?}: {reason}")]
    NotReady {
        /// Time that the run waited.
        timeout: Duration,
        /// The condition that was still not met.
        reason: String,
    },
    /// A node's process can't be started.
    #[error("{node} can't be started")]
    StartNode {
        /// The node.
        node: String,
        /// The reason.
        source: io::Error,
    },
    /// The run was aborted.
    #[error("{scenario}, seed {seed}: {}\n{logs}", error_chain(reason.as_ref()))]
    Failed {
        /// The scenario's name.
        scenario: String,
        /// The run's seed.
        seed: u64,
        /// The reason.
        reason: Box<RunError>,
        /// The last lines of each node's log.
        logs: String,
    },
}

/// Formats an error and its sources, separated by colons.
pub fn error_chain(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
