//! Errors in a scenario file.

use thiserror::Error;

/// An error in a scenario file and its location.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{location}: {message}")]
pub struct ScenarioError {
    /// The file, and the line and key if they are known.
    pub location: String,
    /// The description of the error.
    pub message: String,
}
