//! What a node says that it needs, from what it used.

/// What is turned away is not counted, for clients that wait ask again and again: half as much again each time finds the need.
const GROWS: u32 = 2;
/// A demand that was met falls by this part at a time at the most: a pause of a renewal is not an end.
const FALLS: u32 = 4;

/// What was used of a budget since the last request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The most in any window.
    pub peak: u32,
    /// Something was turned away for lack of a slice.
    pub was_limited: bool,
}

/// Follows one budget at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DemandEstimator {
    demand: u32,
}

impl DemandEstimator {
    /// A request is about to be made; what it says.
    pub fn update(&mut self, seen: BudgetUsage) -> u32 {
        let more = if seen.was_limited {
            (seen.peak / GROWS).max(1)
        } else {
            0
        };
        let wanted = seen.peak.saturating_add(more);
        self.demand = wanted.max(self.demand - self.demand.div_ceil(FALLS));
        self.demand
    }
}

#[cfg(test)]
mod tests;
