//! Merges the logs of all nodes and the timeline of the run by time.

use crate::harness::{EventKind, Harness};
use crate::node_process::NodeProcess;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Write};
use std::ops::Range;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of lines from the end of each log in the error of a failed run.
const TAIL_LINE_COUNT: usize = 6;
/// Position of the time of day in a line of a node's log.
const TIME_COLUMNS: Range<usize> = 7..19;
/// Start of the message in a line of a node's log.
const MESSAGE_COLUMN: usize = 20;
const MS_PER_SECOND: u128 = 1000;
const MS_PER_MINUTE: u128 = 60_000;
const MS_PER_HOUR: u128 = 3_600_000;
const MS_PER_DAY: u128 = 86_400_000;

/// A line of the merged log.
struct MergedLine {
    /// The time of day, in the format of the nodes' logs.
    time: String,
    text: String,
}

/// The last lines of each node's log.
pub(crate) fn tails(harness: &Harness) -> String {
    let mut text = String::new();
    for node in &harness.nodes {
        let log = fs::read_to_string(node.log_path()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let first = lines.len().saturating_sub(TAIL_LINE_COUNT);
        for line in &lines[first..] {
            // Writing to a string can't fail.
            let _ = writeln!(text, "  {} {line}", node.name());
        }
    }
    text
}

/// Writes the log of each node and the merged log into a folder.
pub(crate) fn write(harness: &Harness, folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let mut lines = Vec::new();
    for node in &harness.nodes {
        let log = fs::read(node.log_path()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        fs::write(folder.join(format!("{}.log", node.name())), &log)?;
        append_log(&mut lines, node, &log);
    }
    append_events(&mut lines, harness);
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let mut file = File::create(folder.join("merged.log"))?;
    for line in lines {
        writeln!(file, "{} {}", line.time, line.text)?;
    }
    Ok(())
}

fn append_log(lines: &mut Vec<MergedLine>, node: &NodeProcess, log: &str) {
    for line in log.lines() {
        let own_time = line.get(TIME_COLUMNS).filter(|time| is_time_of_day(time));
        // A line without a time gets the time of the previous line, to stay behind it.
        let time = match (own_time, lines.last()) {
            (Some(time), _) => time.to_string(),
            (None, Some(previous)) => previous.time.clone(),
            (None, None) => String::new(),
        };
        let message = line.get(MESSAGE_COLUMN..).unwrap_or(line);
        let text = format!("{:9} {message}", node.name());
        lines.push(MergedLine { time, text });
    }
}

fn is_time_of_day(text: &str) -> bool {
    text.as_bytes().get(2) == Some(&b':')
}

fn append_events(lines: &mut Vec<MergedLine>, harness: &Harness) {
    for event in &harness.events {
        let source = match event.kind {
            EventKind::Fault => "FAULT",
            EventKind::Observation => "trial",
        };
        lines.push(MergedLine {
            time: time_of_day(event.wall_clock),
            text: format!("{source:9} {}", event.text),
        });
    }
}

/// The time of day in UTC, in the format of the nodes' logs.
fn time_of_day(wall_clock: SystemTime) -> String {
    let since_epoch = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default();
    let ms = since_epoch.as_millis() % MS_PER_DAY;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        ms / MS_PER_HOUR,
        ms / MS_PER_MINUTE % 60,
        ms / MS_PER_SECOND % 60,
        ms % MS_PER_SECOND
    )
}
