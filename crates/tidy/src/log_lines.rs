//! The log lines that a crate writes, as the slog macros name them.

use crate::sources::SourceFile;
use regex::Regex;
use std::collections::BTreeSet;

/// The messages of all log lines in these files.
///
/// # Panics
/// If the pattern for log macros is not a valid regular expression.
pub fn log_messages(files: &[SourceFile]) -> BTreeSet<String> {
    let pattern =
        Regex::new(r#"\b(?:trace|debug|info|warn|error|crit)!\(\s*[\w.&()]+,\s*"([^"{]+)""#)
            .expect("a pattern");
    files
        .iter()
        .flat_map(|file| pattern.captures_iter(&file.code))
        .map(|found| found[1].to_string())
        .collect()
}

/// The messages that a Markdown page lists: the first cell of each table row, where it is a single code span.
///
/// # Panics
/// If the pattern for table rows is not a valid regular expression.
pub fn documented_messages(page: &str) -> BTreeSet<String> {
    let pattern = Regex::new(r"(?m)^\| `([^`]+)` \|").expect("a pattern");
    pattern
        .captures_iter(page)
        .map(|found| found[1].to_string())
        .collect()
}
