//! The local node's lease: usage, demand and the last reported limit.

use crate::lease::{LeaseHolder, LeaseRequest, LeaseTerms, UsageLimit};
use lupincrank_budgets::demand::{BudgetUsage, DemandEstimator};
use lupincrank_placement::Timestamp;

/// Requests and tracks the lease of the local node.
pub(crate) struct LeaseClient {
    terms: LeaseTerms,
    holder: LeaseHolder,
    /// The usage since the last request.
    usage: BudgetUsage,
    demand: DemandEstimator,
    reported_limit: u32,
}

impl LeaseClient {
    pub(crate) fn new(terms: LeaseTerms, holder: LeaseHolder) -> LeaseClient {
        LeaseClient {
            terms,
            holder,
            usage: BudgetUsage::default(),
            demand: DemandEstimator::default(),
            reported_limit: 0,
        }
    }

    pub(crate) fn limit(&self, now: Timestamp) -> UsageLimit {
        self.holder.limit(now)
    }

    pub(crate) fn floor(&self, now: Timestamp) -> u32 {
        self.holder.floor(now)
    }

    pub(crate) fn record_usage(&mut self, usage: BudgetUsage) {
        self.usage = self.usage.merge(usage);
    }

    /// The next request, if it is due.
    pub(crate) fn request_if_due(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if !self.holder.should_request(&self.terms, now, &self.usage) {
            return None;
        }
        let usage = std::mem::take(&mut self.usage);
        // The floor is used first and needs no lease, so it is subtracted from the demand.
        let demand = self
            .demand
            .update(usage)
            .saturating_sub(self.holder.floor(now));
        Some(self.holder.next_request(&self.terms, now, demand))
    }

    pub(crate) fn on_grant(&mut self, now: Timestamp, request_number: u64, limit: u32) {
        self.holder
            .on_grant(&self.terms, now, request_number, limit);
    }

    /// Drops the lease, because the group that granted it is fenced or because this node stops participating.
    pub(crate) fn drop_lease(&mut self, now: Timestamp) {
        self.holder.drop_lease(now);
    }

    /// Releases lease and floor permanently.
    pub(crate) fn retire(&mut self, now: Timestamp) {
        self.holder.retire(now);
    }

    /// Returns the limit if it has changed since the last call.
    pub(crate) fn take_limit_change(&mut self, now: Timestamp) -> Option<UsageLimit> {
        let usage_limit = self.holder.limit(now);
        if usage_limit.limit == self.reported_limit {
            return None;
        }
        self.reported_limit = usage_limit.limit;
        Some(usage_limit)
    }
}
