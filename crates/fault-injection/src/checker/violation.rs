//! Rules of the checker, and their violations.

use serde::Serialize;
use std::fmt;

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Rule {
    /// Each request receives exactly one answer, unless its node is killed or frozen.
    #[serde(rename = "one-answer")]
    OneAnswer,
    /// A request has at most one attempt in flight.
    #[serde(rename = "one-attempt")]
    OneAttempt,
    /// A draining server receives no new connections after the drain grace.
    #[serde(rename = "drain-grace")]
    DrainGrace,
    /// No server crashes from overload while it is warming up.
    #[serde(rename = "cold-fell")]
    WarmUpCrash,
    /// No connection ends without notice and without a known cause.
    #[serde(rename = "cut-off")]
    UnexpectedClose,
    /// A fleet-wide budget is not exceeded in any second.
    #[serde(rename = "budget")]
    Budget,
    /// No node process exits without having been asked to terminate.
    #[serde(rename = "crash")]
    Crash,
    /// The scenario's expectations are met.
    #[serde(rename = "hold")]
    Expectation,
}

impl fmt::Display for Rule {
    /// Writes the rule's name as it appears in reports.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, in seconds after the clients start.
    pub at_s: f64,
    /// Description of the observed violation.
    #[serde(rename = "what")]
    pub description: String,
}
