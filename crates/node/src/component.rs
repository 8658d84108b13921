//! The ids of the components that every node has, and the id range of admin connections.

use lupincrank_reactor::ComponentId;

/// A component with a fixed id. All other components have allocated ids, which follow the fixed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum WellKnownComponent {
    /// The connection to the discovery service.
    Discovery = 1,
    /// The listener for clients.
    ClientListener = 2,
    /// The signal receiver.
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

/// The lowest id of admin connections, whose events are handled before those of other components.
pub(crate) const FIRST_ADMIN_CONNECTION_ID: ComponentId = 1 << 60;

/// Returns true if the event loop allocated the id, so that its component may be a client connection.
pub(crate) fn is_allocated_id(id: ComponentId) -> bool {
    (LAST_WELL_KNOWN_ID + 1..FIRST_ADMIN_CONNECTION_ID).contains(&id)
}
