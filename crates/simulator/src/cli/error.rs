//! The errors of the commands.

use lupincrank_simulator::plot::PlotError;
use lupincrank_simulator::policy::UnknownPolicy;
use lupincrank_simulator::scenario::ScenarioError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error that ends a command.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A scenario cannot be read or is invalid. The message has one line per error.
    #[error("{}", join_lines(.0))]
    InvalidScenario(Vec<ScenarioError>),
    /// A file cannot be read.
    #[error("{}: cannot read file: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("{}: cannot write file: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Results cannot be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A scenario cannot be serialized as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// A file to plot contains no results.
    #[error("{}: file contains no results of run, sweep, paper or cost", .0.display())]
    NotResults(PathBuf),
    /// Results cannot be plotted.
    #[error("{}: {source}", path.display())]
    Plot { path: PathBuf, source: PlotError },
    /// A search was run with no candidates.
    #[error("search needs at least one candidate: --days is 0")]
    NoCandidates,
    /// A candidate of a search lacks the results of its runs.
    #[error("search candidate has no results")]
    MissingSearchRecord,
    /// A scenario to replay was not saved by `hunt`.
    #[error("{}: scenario has no section `found`: it was not saved by hunt", .0.display())]
    NotSavedByHunt(PathBuf),
    /// A scenario to replay names a policy that does not exist.
    #[error("{}: found.against: {source}", path.display())]
    UnknownPolicy {
        path: PathBuf,
        source: UnknownPolicy,
    },
}

impl CommandError {
    /// Returns a function that converts an I/O error of reading `path`.
    pub(crate) fn reading(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| CommandError::Read {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Returns a function that converts an I/O error of writing `path`.
    pub(crate) fn writing(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| CommandError::Write {
            path: path.to_path_buf(),
            source,
        }
    }
}

fn join_lines(errors: &[ScenarioError]) -> String {
    let lines: Vec<String> = errors.iter().map(ScenarioError::to_string).collect();
    lines.join("\n")
}
