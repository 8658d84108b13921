//! Scenarios and results as files, and progress on the terminal.

use super::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use lupincrank_simulator::scenario::{self, Scenario};
use serde::Serialize;
use std::path::Path;

/// The file name that stands for standard output.
const STANDARD_OUTPUT: &str = "-";

/// Reads a scenario and those that it extends.
pub(crate) fn read_scenario(file: &Path) -> Result<Scenario, CommandError> {
    scenario::load(file).map_err(CommandError::InvalidScenario)
}

/// Whether results go to standard output.
pub(crate) fn is_standard_output(file: Option<&Path>) -> bool {
    file.is_some_and(|file| file.as_os_str() == STANDARD_OUTPUT)
}

/// Writes results as JSON to a file or to standard output; to nowhere if no file is named.
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

/// Returns a progress bar over so many runs; it is shown on a terminal only.
pub(crate) fn progress_bar(run_count: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    ProgressBar::new(run_count).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
