//! The timers that a balancer sets.

/// What a timer is for.
///
/// Several timers of one kind may be set side by side; each of them fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// Periodic upkeep.
    Upkeep,
    /// A delayed call to service discovery.
    EndpointWatch,
    /// A look at the requests that wait for a server.
    Queue,
    /// The next step of migrating connections away from drained servers.
    AdminDrain,
}

impl Timer {
    const ALL: [Timer; 4] = [
        Timer::Upkeep,
        Timer::EndpointWatch,
        Timer::Queue,
        Timer::AdminDrain,
    ];

    /// The number that stands for the kind where timers are written as numbers. It never changes.
    pub fn handle(self) -> u64 {
        match self {
            Timer::Upkeep => 1,
            Timer::EndpointWatch => 2,
            Timer::Queue => 3,
            Timer::AdminDrain => 4,
        }
    }

    /// The kind for which a number stands; `None` for a number that stands for none.
    pub fn from_handle(handle: u64) -> Option<Timer> {
        Timer::ALL
            .into_iter()
            .find(|timer| timer.handle() == handle)
    }
}

#[cfg(test)]
mod tests;
