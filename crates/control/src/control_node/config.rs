//! The configuration of a control node.

use crate::lease::LeaseTerms;
use std::collections::BTreeSet;
use std::time::Duration;

/// The configuration of a control node, the same at all nodes of a fleet.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The durations of leases.
    pub lease_terms: LeaseTerms,
    /// The names of all expected nodes.
    pub expected_nodes: BTreeSet<String>,
    /// The budget to lease out, excluding the floors.
    pub capacity: u32,
    /// The units that each node may use without a lease.
    pub floor: u32,
    /// The time after its start for which a node bootstraps no control group, since it may learn of an existing one.
    pub bootstrap_grace: Duration,
    /// The time for which a member must be unreachable before it is removed.
    pub member_removal_delay: Duration,
}
