//! Faults of a scenario's timeline.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// One fault, with the keys of the scenario file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds after the clients start.
    pub at_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration in seconds; 0 if the fault has no end. The kind defines what happens at the end.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Selector of the affected parties: `n0`, `t3`, `discovery`, `leader`, `follower`, `zone0`, `nodes`,
    /// `transcribers`, `all`.
    #[serde(default, rename = "on")]
    pub target: String,
    /// Selector of the other parties of the affected links; an empty one selects all parties.
    #[serde(default, rename = "to")]
    pub peer: String,
    /// Whether only the direction from `target` to `peer` is affected.
    #[serde(default, rename = "one_way")]
    pub is_one_way: bool,
    /// Magnitude of the fault: a fraction of datagrams, milliseconds, kilobytes per second, or a budget's limit.
    #[serde(default, rename = "much")]
    pub magnitude: f64,
    /// Number of restarts or of servers.
    #[serde(default, rename = "times")]
    pub count: usize,
}

impl Fault {
    /// Returns true if the fault ends by itself.
    pub fn has_end(&self) -> bool {
        self.duration_s > 0.0
    }

    /// Returns the duration of the fault.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }

    /// Returns the magnitude as a duration, if its unit is milliseconds.
    pub(crate) fn magnitude_as_duration(&self) -> Duration {
        Duration::from_secs_f64(self.magnitude / 1000.0)
    }
}

/// The kind of a fault, serialized under its name in scenario files.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL to nodes; after the fault's duration, if it has one, they are restarted with an empty temporary folder.
    #[serde(rename = "kill")]
    Kill,
    /// SIGSTOP, and SIGCONT after the fault's duration.
    #[serde(rename = "freeze")]
    Freeze,
    /// SIGTERM; after the fault's duration, if it has one, the nodes are restarted.
    #[serde(rename = "term")]
    Terminate,
    /// SIGKILL and an immediate restart, `count` times, at intervals of the fault's duration.
    #[serde(rename = "loop")]
    RestartLoop,
    /// A node joins that the other nodes' configurations don't contain.
    #[serde(rename = "join")]
    Join,
    /// Another process starts under the name of a running node, at an address of its own.
    #[serde(rename = "twin")]
    DuplicateName,
    /// Processes of another cluster replace killed nodes at their addresses; after the fault's duration, if it has one,
    /// the nodes are restarted.
    #[serde(rename = "foreign")]
    ForeignCluster,
    /// Links carry no traffic.
    #[serde(rename = "cut")]
    Cut,
    /// A fraction of the datagrams is lost.
    #[serde(rename = "loss")]
    Loss,
    /// A fraction of the datagrams arrives twice.
    #[serde(rename = "double")]
    Duplicate,
    /// A fraction of the datagrams arrives after later ones.
    #[serde(rename = "reorder")]
    Reorder,
    /// All traffic is delayed by `magnitude` milliseconds.
    #[serde(rename = "delay")]
    Delay,
    /// All traffic is delayed by up to `magnitude` milliseconds, at random.
    #[serde(rename = "jitter")]
    Jitter,
    /// Each stream carries at most `magnitude` kilobytes per second.
    #[serde(rename = "throttle")]
    Throttle,
    /// All connections of the links are reset.
    #[serde(rename = "reset")]
    Reset,
    /// `count` new upstream servers start and have to warm up.
    #[serde(rename = "release")]
    AddServers,
    /// Servers drain, and stop after the fault's duration.
    #[serde(rename = "drain")]
    DrainServers,
    /// Servers stop; after the fault's duration, if it has one, they are restarted and warm up.
    #[serde(rename = "die")]
    StopServers,
    /// Servers are unresponsive for the fault's duration.
    #[serde(rename = "silence")]
    UnresponsiveServers,
    /// Discovery sends nodes no updates.
    #[serde(rename = "stale")]
    StaleDiscovery,
    /// Discovery is unavailable to nodes.
    #[serde(rename = "down")]
    DiscoveryOutage,
    /// Discovery sends nodes updates `magnitude` milliseconds late.
    #[serde(rename = "slow")]
    SlowDiscovery,
    /// An operator changes the limit of the slow-start budget at a node.
    #[serde(rename = "whole")]
    SetBudget,
}

impl FaultKind {
    /// Returns true if the fault affects links between parties.
    pub fn is_link_fault(self) -> bool {
        matches!(
            self,
            FaultKind::Cut
                | FaultKind::Loss
                | FaultKind::Duplicate
                | FaultKind::Reorder
                | FaultKind::Delay
                | FaultKind::Jitter
                | FaultKind::Throttle
                | FaultKind::Reset
        )
    }

    /// Returns true if the magnitude is a fraction of datagrams.
    pub fn has_ratio(self) -> bool {
        matches!(
            self,
            FaultKind::Loss | FaultKind::Duplicate | FaultKind::Reorder
        )
    }

    /// Returns true if the fault starts a process in addition to the scenario's number of nodes.
    pub(super) fn adds_node(self) -> bool {
        matches!(self, FaultKind::Join | FaultKind::DuplicateName)
    }

    /// Returns true if the fault needs no target.
    pub(super) fn has_no_target(self) -> bool {
        matches!(self, FaultKind::Join | FaultKind::AddServers)
    }

    /// Returns true if the fault needs a duration.
    pub(super) fn needs_duration(self) -> bool {
        matches!(
            self,
            FaultKind::Freeze | FaultKind::UnresponsiveServers | FaultKind::DrainServers
        )
    }

    /// Returns true if the fault needs a count.
    pub(super) fn needs_count(self) -> bool {
        matches!(self, FaultKind::RestartLoop | FaultKind::AddServers)
    }
}

impl fmt::Display for FaultKind {
    /// Writes the kind's name in scenario files.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
