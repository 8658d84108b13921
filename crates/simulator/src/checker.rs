//! The four rules, checked on every event with the true state, and the last events of whoever breaks one.

use crate::event_queue::{as_seconds, Moment};
use serde::Serialize;
use std::collections::VecDeque;

/// Events that are kept for traces, and shown in one.
const KEPT: usize = 4096;
const SHOWN: usize = 12;
/// Broken rules that are told in full; the rest are counted.
const TOLD: usize = 20;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request taken gets one final answer in time.
    FinalAnswer,
    /// One attempt at a time, and no more than are allowed.
    Attempts,
    /// Nothing new to a transcriber past the grace.
    Drain,
    /// No cold transcriber is pushed over.
    Cold,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When, in seconds.
    pub at_s: f64,
    /// How.
    pub what: String,
    /// The last events of the request or transcriber.
    pub trace: Vec<String>,
}

/// One line of the record.
#[derive(Clone, Copy)]
pub struct Line {
    /// When.
    pub at: Moment,
    /// What.
    pub what: &'static str,
    /// The node.
    pub node: u32,
    /// The request, 0 for none.
    pub request: u64,
    /// The transcriber, if any.
    pub server: Option<u32>,
}

/// Whose last events a trace shows.
#[derive(Clone, Copy)]
pub enum Of {
    /// A request's.
    Request(u64),
    /// A transcriber's.
    Server(u32),
}

/// Keeps the record and the findings.
#[derive(Default)]
pub struct Judge {
    record: VecDeque<Line>,
    /// What was found, the first ones in full.
    pub broken: Vec<Broken>,
    /// How often in all.
    pub times: u64,
}

impl Judge {
    /// Writes a line into the record; the oldest goes.
    pub fn note(&mut self, line: Line) {
        if self.record.len() == KEPT {
            self.record.pop_front();
        }
        self.record.push_back(line);
    }

    /// A rule was broken.
    pub fn breaks(&mut self, rule: Rule, at: Moment, of: Of, what: String) {
        self.times += 1;
        if self.broken.len() >= TOLD {
            return;
        }
        let about = |line: &&Line| match of {
            Of::Request(request) => line.request == request,
            Of::Server(server) => line.server == Some(server),
        };
        let mut trace: Vec<String> = self
            .record
            .iter()
            .rev()
            .filter(about)
            .take(SHOWN)
            .map(show)
            .collect();
        trace.reverse();
        self.broken.push(Broken {
            rule,
            at_s: as_seconds(at),
            what,
            trace,
        });
    }
}

fn show(line: &Line) -> String {
    let server = line
        .server
        .map_or(String::new(), |server| format!(" transcriber {server}"));
    format!(
        "{:.6} node {} request {:x}{server}: {}",
        as_seconds(line.at),
        line.node,
        line.request,
        line.what
    )
}
