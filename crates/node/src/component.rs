//! The ids of the components that every node has, and the range that admin connections take theirs from.

use lupincrank_reactor::ComponentId;

/// A component with a fixed id. Components that come and go have allocated ids after these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum WellKnownComponent {
    /// The connection to the discovery service.
    Discovery = 1,
    /// The listener for clients.
    ClientListener = 2,
    /// The receiver of signals.
    Signals = 3,
    /// The listener for admin calls.
    AdminListener = 4,
    /// The connection to another process of this node.
    Handoff = 5,
    /// The cluster's sockets and timers.
    ClusterAgent = 6,
    /// The completions of writes to the control group's file.
    DurableStorage = 7,
}

impl WellKnownComponent {
    /// The component's id in the event loop.
    pub(crate) const fn id(self) -> ComponentId {
        self as ComponentId
    }
}

/// The highest fixed id: allocated ids begin after it.
pub(crate) const LAST_WELL_KNOWN_ID: ComponentId = WellKnownComponent::DurableStorage.id();

/// Admin connections have ids from here on: their events are handled before those of other components.
pub(crate) const FIRST_ADMIN_CONNECTION_ID: ComponentId = 1 << 60;

/// Whether the id was allocated by the event loop, so that its component may be a client's connection.
pub(crate) fn is_allocated_id(id: ComponentId) -> bool {
    (LAST_WELL_KNOWN_ID + 1..FIRST_ADMIN_CONNECTION_ID).contains(&id)
}
