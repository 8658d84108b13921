//! Entries of the endpoint list that service discovery provides.

use crate::api::{ServerId, Timestamp};

/// Whether a server takes new connections, as service discovery says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes new connections.
    #[default]
    Ready,
    /// Finishes the work that it has and takes no new connections.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// Whether it takes new connections.
    pub health: Health,
    /// Its capacity relative to other servers; an estimate, not a measurement.
    pub weight: f64,
    /// The zone in which it runs.
    pub zone: u32,
    /// The cell to which it belongs, for [`IdempotencyScope::Cell`](crate::IdempotencyScope::Cell).
    pub cell: u32,
    /// The index of its machine kind. Servers of one kind are assumed to perform alike.
    pub machine_kind: u32,
    /// When it last started, on this process's clock; `None` if unknown or long ago.
    pub started_at: Option<Timestamp>,
}
