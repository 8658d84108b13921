//! Identifiers of servers and requests.

use std::sync::Arc;

/// The name of a server, the same at every node and after restarts of the server or a node. Ordered as text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

impl From<&str> for ServerId {
    fn from(name: &str) -> Self {
        ServerId(name.into())
    }
}

/// The identifier of one client request with all of its attempts. Never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
