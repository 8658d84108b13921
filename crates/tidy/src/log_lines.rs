//! The log lines that a crate writes, and the log lines that a page for operators documents.

use crate::sources::SourceFile;
use regex::Regex;
use std::collections::BTreeSet;

/// A log line as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// The message, a constant text.
    pub message: String,
    /// `debug`, `info`, `warn`, `error` or `crit`.
    pub level: String,
    /// The keys of its values.
    pub keys: BTreeSet<String>,
}

/// Finds the log lines that the files write with the macros of slog.
///
/// # Panics
/// If a pattern is not a valid regular expression.
pub fn written_log_lines(files: &[SourceFile]) -> BTreeSet<LogLine> {
    let statement =
        Regex::new(r#"(?s)\b(debug|info|warn|error|crit)!\(\s*[\w.&()]+,\s*"([^"]+)"(.*?)\)\s*;"#)
            .expect("valid regular expression");
    let key = Regex::new(r#""([^"]+)"\s*=>"#).expect("valid regular expression");
    files
        .iter()
        .flat_map(|file| statement.captures_iter(&file.code))
        .map(|captures| LogLine {
            level: captures[1].to_string(),
            message: captures[2].to_string(),
            keys: all_captures(&key, &captures[3]),
        })
        .collect()
}

/// Finds the log lines in the tables of a Markdown page: the first three cells of a row are message, level and keys.
///
/// # Panics
/// If a pattern is not a valid regular expression.
pub fn documented_log_lines(page: &str) -> BTreeSet<LogLine> {
    let row = Regex::new(r"(?m)^\| `([^`]+)` \| (debug|info|warn|error|crit) \| ([^|]*) \|")
        .expect("valid regular expression");
    let code_span = Regex::new(r"`([^`]+)`").expect("valid regular expression");
    row.captures_iter(page)
        .map(|captures| LogLine {
            message: captures[1].to_string(),
            level: captures[2].to_string(),
            keys: all_captures(&code_span, &captures[3]),
        })
        .collect()
}

fn all_captures(pattern: &Regex, text: &str) -> BTreeSet<String> {
    pattern
        .captures_iter(text)
        .map(|captures| captures[1].to_string())
        .collect()
}
