//! The faults of a scenario.

use serde::{Deserialize, Serialize};

/// A fault that is injected into the simulation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The start of the fault, s.
    pub at_s: f64,
    /// The duration of the fault, s.
    #[serde(default = "default_fault_length")]
    pub for_s: f64,
    /// The fraction of the servers (or nodes) that the fault affects.
    #[serde(default = "default_affected_fraction")]
    pub part: f64,
    /// The extent of the fault: the factor of `slow` and `surge`, the divisor of `shrink`, the connections that
    /// `reset` breaks per second, the fraction of the fleet that one step of `deploy` replaces.
    #[serde(default)]
    pub size: f64,
    /// Seconds for which a server drains, for `deploy` and `shrink`.
    #[serde(default = "default_drain_duration")]
    pub drain_s: f64,
    /// The fraction of the clients in excess of the smaller fleet that disconnect for good while it shrinks.
    #[serde(default = "default_departing_fraction")]
    pub leave: f64,
}

fn default_departing_fraction() -> f64 {
    0.5
}

fn default_fault_length() -> f64 {
    15.0
}
fn default_affected_fraction() -> f64 {
    0.1
}
fn default_drain_duration() -> f64 {
    4.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Machines stop answering; their servers restart at the end of the fault and warm up again.
    Silent,
    /// The server processes of a zone, or `part` of them, end at the same time; they restart after `for_s` and warm up.
    ZoneLost,
    /// Servers run slower by the factor `size`.
    Slow,
    /// A rolling deploy replaces the fraction `part` of the servers in batches; `size` is the batch size as a fraction
    /// of the initial fleet.
    Deploy,
    /// The fleet shrinks to 1 / `size` of its servers, and arrivals decrease likewise.
    Shrink,
    /// `part` of the nodes are killed; they restart after `for_s`.
    NodeDown,
    /// All calls to discovery fail.
    DiscoveryDown,
    /// Discovery answers calls, but learns of no changes.
    DiscoveryStale,
    /// Single established connections are reset, `size` per second.
    Reset,
    /// The arrival rate is multiplied by `size`.
    Surge,
}
