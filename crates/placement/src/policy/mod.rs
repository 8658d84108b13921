//! Decisions on requests: selecting a server, retrying, and rejecting.

pub(crate) mod admission;
pub(crate) mod attempt;
pub(crate) mod candidates;
pub(crate) mod group_spread;
pub(crate) mod intake;
pub(crate) mod queue;
pub(crate) mod rejection;
pub(crate) mod retry;
pub(crate) mod retry_safety;
pub(crate) mod selection;
