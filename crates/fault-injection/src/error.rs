//! Why a run could not be carried out.

use std::error::Error as StdError;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a run could not be carried out at all.
#[derive(Debug, Error)]
pub enum RunError {
    /// An error of the system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Text that is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It was stopped before its end.
    #[error("it was stopped")]
    Stopped,
    /// The nodes did not become ready.
    #[error("not ready after {timeout:?}: {reason}")]
    NotReady {
        /// How long it was waited.
        timeout: Duration,
        /// What was missing last.
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
    /// The run was given up.
    #[error("{scenario}, seed {seed}: {}\n{logs}", error_chain(reason.as_ref()))]
    Failed {
        /// The scenario's name.
        scenario: String,
        /// Its seed.
        seed: u64,
        /// The reason.
        reason: Box<RunError>,
        /// The last lines of each node's log.
        logs: String,
    },
}

/// An error and its sources, separated by colons.
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
