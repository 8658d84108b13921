//! The faults of a scenario.

use serde::{Deserialize, Serialize};

/// Something that goes wrong. `part` is the share of the transcribers (or nodes) it strikes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins, s.
    pub at_s: f64,
    /// How long it lasts, s.
    #[serde(default = "default_fault_length")]
    pub for_s: f64,
    /// The share that it strikes.
    #[serde(default = "default_part")]
    pub part: f64,
    /// How much: the factor of `slow` and `surge`, the divisor of `shrink`, the drops a second of `reset`, the
    /// share of the fleet in one step of `deploy`.
    #[serde(default)]
    pub size: f64,
    /// Seconds that a transcriber drains for, at `deploy` and `shrink`.
    #[serde(default = "default_drain")]
    pub drain_s: f64,
    /// Of the clients that are too many for a shrunk fleet, the share that leaves while it shrinks.
    #[serde(default = "default_leave")]
    pub leave: f64,
}

fn default_leave() -> f64 {
    0.5
}

fn default_fault_length() -> f64 {
    15.0
}
fn default_part() -> f64 {
    0.1
}
fn default_drain() -> f64 {
    4.0
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Machines give no sign, and come back cold.
    Silent,
    /// The processes of a zone, or `part` of them, end in the same moment, and are back cold after `for_s`.
    ZoneLost,
    /// Transcribers run slower by `size`.
    Slow,
    /// A rolling replacement of `part` of the fleet, `size` of it at a time.
    Deploy,
    /// The fleet shrinks to 1 / `size`, traffic likewise.
    Shrink,
    /// `part` of the nodes die, and are back after `for_s`.
    NodeDown,
    /// Discovery answers nothing.
    DiscoveryDown,
    /// Discovery answers, but learns of nothing.
    DiscoveryStale,
    /// Single standing connections break, `size` a second.
    Reset,
    /// Arrivals are `size` times as many.
    Surge,
}
