//! Checks that the operators' page lists every log line of the node with its level and keys, and no other log lines.

use lupincrank_tidy::log_lines::{documented_log_lines, written_log_lines, LogLine};
use lupincrank_tidy::sources::{source_files, workspace_root};
use std::collections::BTreeSet;
use std::fs;

/// Fewer log lines than this in the code would mean that the check does not recognize them.
const MIN_LOG_LINES: usize = 50;

#[test]
fn the_operators_page_lists_the_log_lines_of_the_node() {
    let node = workspace_root().join("crates/node");
    let written = written_log_lines(&source_files(&node).unwrap());
    let page = fs::read_to_string(workspace_root().join("docs/operators/on-call.md")).unwrap();
    let documented = documented_log_lines(&page);
    assert!(
        written.len() >= MIN_LOG_LINES,
        "only {} log lines found",
        written.len()
    );
    let missing: BTreeSet<&LogLine> = written.difference(&documented).collect();
    let stale: BTreeSet<&LogLine> = documented.difference(&written).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not documented: {missing:#?}\ndocumented but not written: {stale:#?}"
    );
}
