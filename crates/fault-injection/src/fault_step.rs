//! The steps that faults consist of.

use crate::link::LinkDirection;
use crate::scenario::{Fault, FaultKind};
use lupincrank_test_servers::upstream_server::ServerMode;
use std::time::{Duration, Instant};

/// A step with the moment at which it is due.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledStep {
    pub(crate) due_at: Instant,
    pub(crate) step: FaultStep,
}

/// One change to the processes, servers or links.
#[derive(Clone, Debug)]
pub(crate) enum FaultStep {
    /// A fault begins.
    Begin(Fault),
    /// A fault of links ends.
    RepairLinks {
        directions: Vec<LinkDirection>,
        kind: FaultKind,
    },
    /// A frozen process continues.
    ResumeNode { node: usize },
    /// A node is restarted.
    RestartNode { node: usize },
    /// A node takes its address back from a process of another cluster.
    RestoreNode { node: usize },
    /// A node is killed and restarted, and again after the interval while some are left.
    RestartLoop {
        node: usize,
        remaining_count: usize,
        interval: Duration,
    },
    /// An upstream server changes its mode.
    SetServerMode {
        server: usize,
        mode: ServerMode,
        listing: Listing,
    },
    /// A draining server closes one connection, and again until it stops.
    DrainServer { server: usize, stops_at: Instant },
    /// Discovery works again for a node.
    RestoreDiscovery { node: usize },
}

/// Whether a server that serves again is listed as just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// It is listed as before.
    Unchanged,
    /// It is listed as just started.
    Restarted,
}
