//! Reads scenario files, writes results and shows progress on the terminal.

use super::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use lupincrank_simulator::scenario::{self, Scenario};
use serde::Serialize;
use std::path::Path;

/// The file name that stands for standard output.
const STANDARD_OUTPUT: &str = "-";

/// Reads a scenario file and the files that it extends.
pub(crate) fn read_scenario(file: &Path) -> Result<Scenario, CommandError> {
    scenario::load(file).map_err(CommandError::InvalidScenario)
}

/// Returns true if results are written to standard output.
pub(crate) fn is_standard_output(file: Option<&Path>) -> bool {
    file.is_some_and(|file| file.as_os_str() == STANDARD_OUTPUT)
}

/// Writes results as JSON to a file or to standard output. Does nothing if `file` is `None`.
pub(crate) fn write_json(
    file: Option<&Path>,
    results: &impl Serialize,
) -> Result<(), CommandError> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(results)? + "\n";
    if is_standard_output(Some(file)) {
        print!("{text}");
        return Ok(());
    }
    std::fs::write(file, text).map_err(CommandError::writing(file))
}

/// Returns a progress bar for `run_count` runs, which is shown only on a terminal.
pub(crate) fn progress_bar(run_count: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    ProgressBar::new(run_count).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
