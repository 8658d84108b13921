//! Division of a fleet-wide budget among the nodes that share it, without I/O. The input is each node's usage and
//! whether its limit caused rejections, the output is the lease limits.
//!
//! `lupincrank-control` replicates which node holds which lease, and until when. It also reduces grants that would
//! exceed the capacity, so safety does not depend on the division.

#![forbid(unsafe_code)]

pub mod demand;
pub mod divide;
