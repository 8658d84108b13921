//! The configuration of a control node.

use crate::lease::LeaseTerms;
use std::collections::BTreeSet;
use std::time::Duration;

/// The configuration of a control node, the same at all nodes of a fleet.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The durations of leases.
    pub lease_terms: LeaseTerms,
    /// The names of all nodes that are expected.
    pub expected_nodes: BTreeSet<String>,
    /// The budget to lease out, without the floors.
    pub capacity: u32,
    /// The units that each node may use without a lease.
    pub floor: u32,
    /// How long after its start a node bootstraps no control group: it may hear of an existing one.
    pub bootstrap_grace: Duration,
    /// How long a member must be unreachable before it is removed.
    pub member_removal_delay: Duration,
}
