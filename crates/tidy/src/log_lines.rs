//! The log lines that a crate writes, and those that a page for operators lists.

use crate::sources::SourceFile;
use regex::Regex;
use std::collections::BTreeSet;

/// A log line as operators know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// The message, which is the same text each time.
    pub message: String,
    /// `debug`, `info`, `warn`, `error` or `crit`.
    pub level: String,
    /// The keys of its values.
    pub keys: BTreeSet<String>,
}

/// The log lines that these files write with the macros of slog.
///
/// # Panics
/// If a pattern is not a valid regular expression.
pub fn written_log_lines(files: &[SourceFile]) -> BTreeSet<LogLine> {
    let statement =
        Regex::new(r#"(?s)\b(debug|info|warn|error|crit)!\(\s*[\w.&()]+,\s*"([^"]+)"(.*?)\)\s*;"#)
            .expect("a pattern");
    let key = Regex::new(r#""([^"]+)"\s*=>"#).expect("a pattern");
    files
        .iter()
        .flat_map(|file| statement.captures_iter(&file.code))
        .map(|found| LogLine {
            level: found[1].to_string(),
            message: found[2].to_string(),
            keys: all_captures(&key, &found[3]),
        })
        .collect()
}

/// The log lines that the tables of a Markdown page list: message, level and keys are the first three cells of a row.
///
/// # Panics
/// If a pattern is not a valid regular expression.
pub fn documented_log_lines(page: &str) -> BTreeSet<LogLine> {
    let row = Regex::new(r"(?m)^\| `([^`]+)` \| (debug|info|warn|error|crit) \| ([^|]*) \|")
        .expect("a pattern");
    let code_span = Regex::new(r"`([^`]+)`").expect("a pattern");
    row.captures_iter(page)
        .map(|found| LogLine {
            message: found[1].to_string(),
            level: found[2].to_string(),
            keys: all_captures(&code_span, &found[3]),
        })
        .collect()
}

fn all_captures(pattern: &Regex, text: &str) -> BTreeSet<String> {
    pattern
        .captures_iter(text)
        .map(|found| found[1].to_string())
        .collect()
}
