//! The four rules, checked on every event with the true state, and the trace of each violation.

use crate::event_queue::{as_seconds, SimTime};
use serde::Serialize;
use std::collections::VecDeque;

/// Events that are kept for traces, and shown in one.
const MAX_TRACE_ENTRIES: usize = 4096;
const SHOWN_TRACE_ENTRIES: usize = 12;
/// Violations that are reported in full; the rest are counted.
const MAX_DETAILED_VIOLATIONS: usize = 20;

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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in seconds.
    pub at_s: f64,
    /// How.
    pub what: String,
    /// The last events of the request or transcriber.
    pub trace: Vec<String>,
}

/// One event of a trace.
#[derive(Clone, Copy)]
pub struct TraceEntry {
    /// When.
    pub time: SimTime,
    /// What.
    pub event: &'static str,
    /// The node.
    pub node: u32,
    /// The request, 0 for none.
    pub request: u64,
    /// The transcriber, if any.
    pub server: Option<u32>,
}

/// The subject whose last events a trace shows.
#[derive(Clone, Copy)]
pub enum TraceSubject {
    /// A request's.
    Request(u64),
    /// A transcriber's.
    Server(u32),
}

/// Keeps the latest trace entries and the violations.
#[derive(Default)]
pub struct RuleChecker {
    entries: VecDeque<TraceEntry>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Violations in all.
    pub violation_count: u64,
}

impl RuleChecker {
    /// Records an event; beyond the limit the oldest is dropped.
    pub fn record(&mut self, entry: TraceEntry) {
        if self.entries.len() == MAX_TRACE_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Reports a violation with the last events of its subject.
    pub fn report(&mut self, rule: Rule, time: SimTime, subject: TraceSubject, what: String) {
        self.violation_count += 1;
        if self.violations.len() >= MAX_DETAILED_VIOLATIONS {
            return;
        }
        let is_about_subject = |entry: &&TraceEntry| match subject {
            TraceSubject::Request(request) => entry.request == request,
            TraceSubject::Server(server) => entry.server == Some(server),
        };
        let mut trace: Vec<String> = self
            .entries
            .iter()
            .rev()
            .filter(is_about_subject)
            .take(SHOWN_TRACE_ENTRIES)
            .map(format_entry)
            .collect();
        trace.reverse();
        self.violations.push(Violation {
            rule,
            at_s: as_seconds(time),
            what,
            trace,
        });
    }
}

fn format_entry(entry: &TraceEntry) -> String {
    let server = entry
        .server
        .map_or(String::new(), |server| format!(" transcriber {server}"));
    format!(
        "{:.6} node {} request {:x}{server}: {}",
        as_seconds(entry.time),
        entry.node,
        entry.request,
        entry.event
    )
}
