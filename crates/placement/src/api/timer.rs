//! The timers that a balancer sets.

/// The purpose of a timer.
///
/// Several timers of one kind may be set at the same time; each of them fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// Periodic upkeep.
    Upkeep,
    /// A delayed call to service discovery.
    EndpointWatch,
    /// A pass over the queued requests.
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

    /// Returns the number that represents the timer in protocols that write timers as numbers. The numbers are
    /// stable.
    pub fn handle(self) -> u64 {
        match self {
            Timer::Upkeep => 1,
            Timer::EndpointWatch => 2,
            Timer::Queue => 3,
            Timer::AdminDrain => 4,
        }
    }

    /// Returns the timer that the number represents, if any.
    pub fn from_handle(handle: u64) -> Option<Timer> {
        Timer::ALL
            .into_iter()
            .find(|timer| timer.handle() == handle)
    }
}

#[cfg(test)]
mod tests;
