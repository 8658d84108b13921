//! Errors of the commands.

use lupincrank_simulator::plot::PlotError;
use lupincrank_simulator::policy::UnknownPolicy;
use lupincrank_simulator::scenario::ScenarioError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A scenario cannot be read or does not hold; one line for each finding.
    #[error("{}", lines(.0))]
    InvalidScenario(Vec<ScenarioError>),
    /// A file cannot be read.
    #[error("{}: cannot read: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("{}: cannot write: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Results cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A scenario cannot be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// A file to plot holds no results.
    #[error("{}: these are not results of run, sweep, paper or cost", .0.display())]
    NotResults(PathBuf),
    /// Results cannot be plotted.
    #[error("{}: {source}", path.display())]
    Plot { path: PathBuf, source: PlotError },
    /// A search of no days has no worst one.
    #[error("no day was searched")]
    NoDaySearched,
    /// A judged day lacks the figures of its runs.
    #[error("a judged day has its figures")]
    NoFigures,
    /// A scenario to replay was not saved by `hunt`.
    #[error("{}: found: this scenario was not saved by hunt", .0.display())]
    NotSavedByHunt(PathBuf),
    /// A scenario to replay names a policy that does not exist.
    #[error("{}: found.against: {source}", path.display())]
    UnknownPolicy {
        path: PathBuf,
        source: UnknownPolicy,
    },
}

impl CommandError {
    /// Returns a conversion for errors of reading `path`.
    pub(crate) fn reading(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| CommandError::Read {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Returns a conversion for errors of writing `path`.
    pub(crate) fn writing(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| CommandError::Write {
            path: path.to_path_buf(),
            source,
        }
    }
}

fn lines(findings: &[ScenarioError]) -> String {
    let lines: Vec<String> = findings.iter().map(ScenarioError::to_string).collect();
    lines.join("\n")
}
