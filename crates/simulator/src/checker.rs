//! The four rules, checked on every event against the true state, and the trace of each violation.

use crate::event_queue::{as_seconds, SimTime};
use serde::Serialize;
use std::collections::VecDeque;

/// The number of events that are kept for traces.
const MAX_TRACE_ENTRIES: usize = 4096;
/// The number of events that one trace shows.
const SHOWN_TRACE_ENTRIES: usize = 12;
/// The number of violations that are reported in full; the others are counted.
const MAX_DETAILED_VIOLATIONS: usize = 20;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a node receives gets one final answer in time.
    FinalAnswer,
    /// Attempts of a request do not overlap and stay within their limit.
    Attempts,
    /// A node sends a server no attempt once the drain grace has passed since it learned that the server is leaving.
    Drain,
    /// Nodes that know of a server's start do not overload it while it is warming up until it fails.
    Cold,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The time of the violation, in seconds.
    pub at_s: f64,
    /// A description of the violation.
    pub what: String,
    /// The last events of the request or server.
    pub trace: Vec<String>,
}

/// An event for traces.
#[derive(Clone, Copy)]
pub struct TraceEntry {
    /// The time of the event.
    pub time: SimTime,
    /// A description of the event.
    pub event: &'static str,
    /// The node.
    pub node: u32,
    /// The request, 0 for none.
    pub request: u64,
    /// The server, if any.
    pub server: Option<u32>,
}

/// The subject of a violation, whose last events its trace shows.
#[derive(Clone, Copy)]
pub enum TraceSubject {
    /// A request.
    Request(u64),
    /// A server.
    Server(u32),
}

/// Keeps the latest trace entries and the violations.
#[derive(Default)]
pub struct RuleChecker {
    entries: VecDeque<TraceEntry>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// The number of all violations.
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
