//! The holder's side of a lease.

use super::{LeaseRequest, LeaseTerms};
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_placement::Timestamp;
use std::collections::VecDeque;

/// Request numbers start at the start count shifted left by this many bits, so that each process uses higher numbers
/// than earlier processes of its incarnation. At one request per renewal, the 2^32 numbers of a process last for
/// years.
const START_COUNT_SHIFT: u32 = 32;
/// The maximum number of past leases to keep. Beyond it, the oldest is merged into the next one.
const MAX_PAST_LEASES: usize = 64;

/// The units of the budget that a node may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageLimit {
    /// The units that may be used within any accounting window, the floor included.
    pub limit: u32,
    /// The time when the lease expires, by the holder's clock. `None` without a lease: the floor does not expire.
    pub expires_at: Option<Timestamp>,
}

/// A granted lease, and the time when it ended or will end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    limit: u32,
    ends_at: Timestamp,
}

impl GrantedLease {
    /// Returns true if usage under this lease may still lie within the accounting window.
    fn counts_at(&self, now: Timestamp, terms: &LeaseTerms) -> bool {
        now.saturating_duration_since(self.ends_at) < terms.accounting_window
    }
}

/// The holder's side of a lease: creates requests, accepts grants and tracks the limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    floor: u32,
    floor_available_at: Timestamp,
    request_number: u64,
    requested_at: Option<Timestamp>,
    current: Option<GrantedLease>,
    past: VecDeque<GrantedLease>,
    /// No request is made before this time: until then, the usage of an earlier process that ran as this incarnation
    /// still counts, and would add to the usage of this process.
    first_request_at: Option<Timestamp>,
    /// Whether lease and floor were released permanently.
    is_retired: bool,
}

impl LeaseHolder {
    /// Creates a holder without a lease. Its floor is available after one accounting window: usage of the floor by
    /// the previous incarnation of the same name still counts until then.
    ///
    /// `start_count` is the number of processes that have run as this incarnation, 0 without persistence. From the
    /// second process on, the first request waits until the usage of earlier processes no longer counts.
    pub fn new(terms: &LeaseTerms, now: Timestamp, floor: u32, start_count: u32) -> LeaseHolder {
        let floor_available_at = now.saturating_add(terms.accounting_window);
        LeaseHolder {
            floor,
            floor_available_at,
            request_number: u64::from(start_count) << START_COUNT_SHIFT,
            first_request_at: (start_count > 1).then_some(floor_available_at),
            ..LeaseHolder::default()
        }
    }

    /// Releases lease and floor permanently.
    pub fn retire(&mut self, now: Timestamp) {
        self.drop_lease(now);
        self.is_retired = true;
    }

    /// The units that may currently be used without a lease.
    pub fn floor(&self, now: Timestamp) -> u32 {
        if now < self.floor_available_at || self.is_retired {
            0
        } else {
            self.floor
        }
    }

    /// The units that may currently be used: those of the lease and the floor.
    pub fn limit(&self, now: Timestamp) -> UsageLimit {
        let floor = self.floor(now);
        match self.current {
            Some(lease) if now < lease.ends_at => UsageLimit {
                limit: floor.saturating_add(lease.limit),
                expires_at: Some(lease.ends_at),
            },
            _ => UsageLimit {
                limit: floor,
                expires_at: None,
            },
        }
    }

    /// Returns true if the next request is due. It is due sooner if `usage` was limited.
    pub fn should_request(&self, terms: &LeaseTerms, now: Timestamp, usage: &BudgetUsage) -> bool {
        if self.is_retired || self.first_request_at.is_some_and(|first| now < first) {
            return false;
        }
        let interval = if usage.was_limited {
            terms.renew_interval_under_pressure
        } else {
            terms.renew_interval
        };
        self.requested_at
            .is_none_or(|requested_at| now.saturating_duration_since(requested_at) >= interval)
    }

    /// Creates the next request. From then on, grants of earlier requests are rejected.
    pub fn next_request(
        &mut self,
        terms: &LeaseTerms,
        now: Timestamp,
        demand: u32,
    ) -> LeaseRequest {
        self.request_number += 1;
        self.requested_at = Some(now);
        self.past.retain(|lease| lease.counts_at(now, terms));
        LeaseRequest {
            request_number: self.request_number,
            in_use: self.max_in_use(terms, now),
            demand,
        }
    }

    /// The highest limit of the leases under which usage may still lie within the accounting window.
    fn max_in_use(&self, terms: &LeaseTerms, now: Timestamp) -> u32 {
        // An expired lease stays the current one until another is granted, and counts for one accounting window after
        // its end.
        let current = self.current.filter(|lease| lease.counts_at(now, terms));
        current
            .iter()
            .chain(&self.past)
            .map(|lease| lease.limit)
            .max()
            .unwrap_or(0)
    }

    /// Handles a grant. Returns true if it was accepted.
    pub fn on_grant(
        &mut self,
        terms: &LeaseTerms,
        now: Timestamp,
        request_number: u64,
        limit: u32,
    ) -> bool {
        if request_number != self.request_number {
            return false;
        }
        let Some(requested_at) = self.requested_at else {
            return false;
        };
        let ends_at = requested_at.saturating_add(terms.lease_duration);
        // The grant may have been delayed, on the network or in a frozen process, for longer than the lease duration.
        if now >= ends_at {
            return false;
        }
        self.replace_current(now, Some(GrantedLease { limit, ends_at }));
        true
    }

    /// Drops the lease, because the group that granted it is fenced or because this node stops using it.
    pub fn drop_lease(&mut self, now: Timestamp) {
        // Grants in flight carry an earlier request number, so they are rejected.
        self.request_number += 1;
        self.replace_current(now, None);
    }

    fn replace_current(&mut self, now: Timestamp, lease: Option<GrantedLease>) {
        let replaced = std::mem::replace(&mut self.current, lease);
        if let Some(replaced) = replaced {
            self.past.push_back(GrantedLease {
                limit: replaced.limit,
                ends_at: replaced.ends_at.min(now),
            });
        }
        self.merge_oldest();
    }

    /// Bounds the number of past leases without losing the highest limit.
    fn merge_oldest(&mut self) {
        if self.past.len() <= MAX_PAST_LEASES {
            return;
        }
        let oldest = self.past.pop_front();
        if let (Some(oldest), Some(next)) = (oldest, self.past.front_mut()) {
            next.limit = next.limit.max(oldest.limit);
        }
    }
}
