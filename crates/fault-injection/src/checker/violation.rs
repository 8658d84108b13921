//! Rules of the checker, and their violations.

use serde::Serialize;
use std::fmt;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Rule {
    /// Each request gets one answer, unless its node is gone.
    #[serde(rename = "one-answer")]
    OneAnswer,
    /// A request is at one server at a time.
    #[serde(rename = "one-attempt")]
    OneAttempt,
    /// A server that drains gets no new connections once the grace is over.
    #[serde(rename = "drain-grace")]
    DrainGrace,
    /// No server crashes while it warms up.
    #[serde(rename = "cold-fell")]
    WarmUpCrash,
    /// No connection ends without notice and without a cause.
    #[serde(rename = "cut-off")]
    UnexpectedClose,
    /// A fleet-wide budget is kept in any second.
    #[serde(rename = "budget")]
    Budget,
    /// No node ends unasked.
    #[serde(rename = "crash")]
    Crash,
    /// What the scenario expects holds.
    #[serde(rename = "hold")]
    Expectation,
}

impl fmt::Display for Rule {
    /// Writes the rule's name in reports.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}

/// A violated rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in seconds after the first client.
    pub at_s: f64,
    /// What was observed.
    #[serde(rename = "what")]
    pub description: String,
}
