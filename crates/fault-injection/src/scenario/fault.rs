//! Faults of a scenario's time line.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// One fault, with the keys of the scenario file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds after the first client.
    pub at_s: f64,
    /// What it does.
    pub kind: FaultKind,
    /// How long it lasts in seconds, if it ends; the kind says what follows.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// The parties that it affects: `n0`, `t3`, `discovery`, `leader`, `follower`, `zone0`, `nodes`, `transcribers`,
    /// `all`.
    #[serde(default, rename = "on")]
    pub target: String,
    /// The other parties of the links that it affects; `all` if it is empty.
    #[serde(default, rename = "to")]
    pub peer: String,
    /// Whether it affects only the direction from `target` to `peer`.
    #[serde(default, rename = "one_way")]
    pub is_one_way: bool,
    /// Its magnitude: a ratio of datagrams, milliseconds, kilobytes a second, or a budget's limit.
    #[serde(default, rename = "much")]
    pub magnitude: f64,
    /// Number of restarts, or of servers.
    #[serde(default, rename = "times")]
    pub count: usize,
}

impl Fault {
    /// Whether it ends by itself.
    pub fn has_end(&self) -> bool {
        self.duration_s > 0.0
    }

    /// How long it lasts.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }

    /// Its magnitude, where that is in milliseconds.
    pub(crate) fn magnitude_as_duration(&self) -> Duration {
        Duration::from_secs_f64(self.magnitude / 1000.0)
    }
}

/// What a fault does; named as in scenario files.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL to nodes; after its duration, if it has one, they are restarted with an empty folder.
    #[serde(rename = "kill")]
    Kill,
    /// SIGSTOP, and SIGCONT after its duration.
    #[serde(rename = "freeze")]
    Freeze,
    /// SIGTERM; after its duration, if it has one, the nodes are restarted.
    #[serde(rename = "term")]
    Terminate,
    /// SIGKILL and a restart at once, `count` times, its duration apart.
    #[serde(rename = "loop")]
    RestartLoop,
    /// A node joins that no configuration names.
    #[serde(rename = "join")]
    Join,
    /// Another process starts under the name of a running node, at an address of its own.
    #[serde(rename = "twin")]
    DuplicateName,
    /// Processes of another cluster take the addresses of killed nodes; after its duration, if it has one, the nodes are
    /// back.
    #[serde(rename = "foreign")]
    ForeignCluster,
    /// Links carry nothing.
    #[serde(rename = "cut")]
    Cut,
    /// A ratio of the datagrams is lost.
    #[serde(rename = "loss")]
    Loss,
    /// A ratio of the datagrams arrives twice.
    #[serde(rename = "double")]
    Duplicate,
    /// A ratio of the datagrams arrives after later ones.
    #[serde(rename = "reorder")]
    Reorder,
    /// Everything arrives later by so many milliseconds.
    #[serde(rename = "delay")]
    Delay,
    /// Everything arrives later by up to so many milliseconds.
    #[serde(rename = "jitter")]
    Jitter,
    /// Each stream carries at most so many kilobytes a second.
    #[serde(rename = "throttle")]
    Throttle,
    /// All connections of the links are reset.
    #[serde(rename = "reset")]
    Reset,
    /// `count` new upstream servers start, which warm up.
    #[serde(rename = "release")]
    AddServers,
    /// Servers drain, and stop after its duration.
    #[serde(rename = "drain")]
    DrainServers,
    /// Servers stop; after its duration, if it has one, they are restarted and warm up.
    #[serde(rename = "die")]
    StopServers,
    /// Servers answer nothing for its duration.
    #[serde(rename = "silence")]
    SilenceServers,
    /// Discovery brings nodes no changes.
    #[serde(rename = "stale")]
    StaleDiscovery,
    /// Discovery is unavailable to nodes.
    #[serde(rename = "down")]
    DiscoveryOutage,
    /// Discovery brings nodes changes so many milliseconds late.
    #[serde(rename = "slow")]
    SlowDiscovery,
    /// An operator sets the limit of the warm-up budget, at a node.
    #[serde(rename = "whole")]
    SetBudget,
}

impl FaultKind {
    /// Whether it affects the links between parties.
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

    /// Whether its magnitude is a ratio of datagrams.
    pub fn has_ratio(self) -> bool {
        matches!(
            self,
            FaultKind::Loss | FaultKind::Duplicate | FaultKind::Reorder
        )
    }

    /// Whether it makes a process start that the scenario's number of nodes does not count.
    pub(super) fn adds_node(self) -> bool {
        matches!(self, FaultKind::Join | FaultKind::DuplicateName)
    }

    /// Whether it affects no party in particular.
    pub(super) fn has_no_target(self) -> bool {
        matches!(self, FaultKind::Join | FaultKind::AddServers)
    }

    /// Whether it needs a duration.
    pub(super) fn must_end(self) -> bool {
        matches!(
            self,
            FaultKind::Freeze | FaultKind::SilenceServers | FaultKind::DrainServers
        )
    }

    /// Whether it needs a count.
    pub(super) fn must_count(self) -> bool {
        matches!(self, FaultKind::RestartLoop | FaultKind::AddServers)
    }
}

impl fmt::Display for FaultKind {
    /// Writes the word of scenario files.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
