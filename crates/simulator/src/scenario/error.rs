//! Findings about a scenario's file.

use thiserror::Error;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{place}: {what}")]
pub struct ScenarioError {
    /// The file, the line and the key, as far as they are known.
    pub place: String,
    /// What is wrong.
    pub what: String,
}
