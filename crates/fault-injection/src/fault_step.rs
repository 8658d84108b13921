//! The steps that faults consist of.

use crate::link::LinkDirection;
use crate::scenario::{Fault, FaultKind};
use lupincrank_test_servers::upstream_server::ServerMode;
use std::time::{Duration, Instant};

/// A step and when it is due.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledStep {
    pub(crate) due_at: Instant,
    pub(crate) step: FaultStep,
}

/// One change to processes, servers, links or discovery.
#[derive(Clone, Debug)]
pub(crate) enum FaultStep {
    /// A fault begins.
    Begin(Fault),
    /// A link fault ends.
    RepairLinks {
        directions: Vec<LinkDirection>,
        kind: FaultKind,
    },
    /// A frozen process is resumed.
    ResumeNode { node: usize },
    /// A node is restarted.
    RestartNode { node: usize },
    /// A node replaces the process of another cluster that runs at its address.
    RestoreNode { node: usize },
    /// A node is killed and restarted, and again after the interval while restarts remain.
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
    /// A draining server closes one connection, and repeats this until it stops.
    DrainServer { server: usize, stops_at: Instant },
    /// Discovery works again for a node.
    RestoreDiscovery { node: usize },
}

/// How the endpoint list reports a server that returns to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// With its previous start time.
    Unchanged,
    /// As just started.
    Restarted,
}
