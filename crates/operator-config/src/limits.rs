//! Bounds of the values in an operator's file.

/// The largest number of expected nodes.
pub(crate) const MAX_NODES: usize = 1_000;

/// The largest capacity of the slow-start budget, in new connections per second.
pub(crate) const MAX_SLOW_START_CAPACITY: u32 = 1_000_000;

/// The longest name of a fleet or a node, in bytes.
pub(crate) const MAX_NAME_LENGTH: usize = 64;
