//! Division of a fleet-wide budget among the nodes that share it, without I/O: what each node has used and what was
//! rejected there comes in, lease limits come out.
//!
//! Which node holds which lease, and until when, is agreed on in `lupincrank-control`. That crate also cuts grants that
//! would exceed the capacity, so safety does not depend on the division.

#![forbid(unsafe_code)]

pub mod demand;
pub mod divide;
