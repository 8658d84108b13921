//! Estimates a node's demand from its usage.

/// If the limit was reached, 1/`GROWTH_DIVISOR` of the peak is added to the demand. Rejected requests are not
/// counted, since waiting clients repeat them. Growth by half at a time converges to the actual demand.
const GROWTH_DIVISOR: u32 = 2;
/// Between two requests, the demand decreases by at most 1/`DECAY_DIVISOR` of its value, since a pause of one renewal
/// interval does not mean that the demand has ended.
const DECAY_DIVISOR: u32 = 4;

/// The usage of a budget since the last lease request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The most units used within any accounting window.
    pub peak: u32,
    /// Whether any request was rejected because the limit was reached.
    pub was_limited: bool,
}

impl BudgetUsage {
    /// Combines the usage of two periods: the higher peak, limited if either period was.
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
    /// Updates the demand from the usage since the last request. Returns the demand to send with the next request.
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
