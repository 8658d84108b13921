//! Entries of the endpoint list that service discovery provides.

use crate::api::{ServerId, Timestamp};

/// The readiness of a server for new connections, as service discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Accepts new connections.
    #[default]
    Ready,
    /// Serves its present connections and accepts no new ones.
    Draining,
    /// Removed from the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// Whether it accepts new connections.
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
