//! The discovery service: one endpoint list, which each node watches at a listener of its own.
//!
//! It can be slow, stale or unavailable for each node separately, so nodes can have different states of the list.

mod endpoint_list;
mod watch;

pub use endpoint_list::{DiscoveryMode, EndpointHealth, EndpointList, ListScope};
pub use watch::listen;
