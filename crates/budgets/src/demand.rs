//! Estimate of a node's demand from its usage.

/// Where the limit was reached, the peak divided by this is added to the demand. Rejected requests are not counted,
/// since waiting clients repeat them: growing by half at a time finds the demand.
const GROWTH_DIVISOR: u32 = 2;
/// A demand falls at most by itself divided by this between two requests: a pause of one renewal is not the end of it.
const DECAY_DIVISOR: u32 = 4;

/// The use of a budget since the last lease request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The most units used within any accounting window.
    pub peak: u32,
    /// Whether something was rejected because the limit was reached.
    pub was_limited: bool,
}

impl BudgetUsage {
    /// The usage over both spans: the higher peak, limited if either was.
    #[must_use]
    pub fn merge(self, other: BudgetUsage) -> BudgetUsage {
        BudgetUsage {
            peak: self.peak.max(other.peak),
            was_limited: self.was_limited || other.was_limited,
        }
    }
}

/// Tracks the demand of one node for one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DemandEstimator {
    demand: u32,
}

impl DemandEstimator {
    /// Takes in the usage since the last request and returns the demand to send with the next one.
    pub fn update(&mut self, usage: BudgetUsage) -> u32 {
        let growth = if usage.was_limited {
            (usage.peak / GROWTH_DIVISOR).max(1)
        } else {
            0
        };
        let observed = usage.peak.saturating_add(growth);
        let decayed = self.demand - self.demand.div_ceil(DECAY_DIVISOR);
        self.demand = observed.max(decayed);
        self.demand
    }
}

#[cfg(test)]
mod tests;
