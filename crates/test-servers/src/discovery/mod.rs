//! The discovery service: one endpoint list, which each node watches at a listener of its own.
//!
//! Towards each node it can be slow, stale or unavailable, so nodes can know different states of the list.

mod endpoint_list;
mod watch;

pub use endpoint_list::{DiscoveryMode, EndpointHealth, EndpointList, ListScope};
pub use watch::listen;
