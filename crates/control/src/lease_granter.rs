//! The leader's side of leases: collects requests and answers them with batches of grants.

use crate::entry::{Entry, Grant, GrantId};
use crate::lease::{LeaseRequest, LeaseTerms};
use crate::member::{Member, MemberId};
use crate::member_tracker::MemberTracker;
use crate::raft_log::RaftLog;
use crate::state::ClusterState;
use lupincrank_budgets::divide::{divide, Claim};
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time for which the same holders have priority for the indivisible remainder.
const ROTATION_INTERVAL: Duration = Duration::from_secs(5);

/// The input of the granter's decisions besides the requests.
pub(crate) struct GrantContext<'a> {
    pub(crate) now: Timestamp,
    pub(crate) terms: &'a LeaseTerms,
    /// The members that gossip membership reports as live.
    pub(crate) live_members: &'a BTreeMap<MemberId, Member>,
    pub(crate) tracker: &'a MemberTracker,
}

/// Requests and demands of the current leadership.
#[derive(Default)]
pub(crate) struct LeaseGranter {
    /// The latest unanswered request of each member.
    pending_requests: BTreeMap<MemberId, LeaseRequest>,
    /// The demand in each member's latest request.
    demands: BTreeMap<MemberId, u32>,
}

impl LeaseGranter {
    /// Handles a request. Only requests of members are kept, which bounds the maps by the size of the fleet.
    pub(crate) fn on_request(&mut self, log: &RaftLog, from: MemberId, request: LeaseRequest) {
        if log.is_leader() && log.state().members.contains_key(&from) {
            self.pending_requests.insert(from, request);
            self.demands.insert(from, request.demand);
        }
    }

    /// Drops the demands of nodes that are not members.
    pub(crate) fn retain_members(&mut self, members: &BTreeMap<MemberId, Member>) {
        self.demands.retain(|id, _| members.contains_key(id));
    }

    /// Drops all requests and demands: leadership has changed, and holders repeat their requests to the new leader.
    pub(crate) fn clear(&mut self) {
        self.pending_requests.clear();
        self.demands.clear();
    }

    /// Divides `capacity` into a limit for each live member that is not leaving.
    pub(crate) fn divide_capacity(
        &self,
        state: &ClusterState,
        capacity: u32,
        context: &GrantContext,
    ) -> BTreeMap<MemberId, u32> {
        let holders: Vec<MemberId> = state
            .members
            .keys()
            .copied()
            .filter(|id| context.live_members.contains_key(id) && !context.tracker.is_leaving(*id))
            .collect();
        let claims: Vec<Claim> = holders.iter().map(|id| self.claim(state, *id)).collect();
        let limits = divide(capacity, &claims, rotation(context.now, holders.len()));
        holders.into_iter().zip(limits).collect()
    }

    fn claim(&self, state: &ClusterState, holder: MemberId) -> Claim {
        let current_limit = state.leases.get(&holder).map_or(0, |lease| lease.limit);
        // If this leader has not received a request of the holder yet, the demand is assumed to be the current limit.
        let demand = self.demands.get(&holder).copied().unwrap_or(current_limit);
        Claim {
            demand,
            current_limit,
        }
    }

    /// Proposes to remove expired leases and to grant pending requests.
    pub(crate) fn propose(&mut self, log: &mut RaftLog, context: &GrantContext) {
        let expired = expired_leases(log, context);
        if !expired.is_empty() {
            log.propose(&Entry::LeasesExpired(expired));
        }
        let grants = self.take_grants(log.state(), context);
        if !grants.is_empty() {
            log.propose(&Entry::LeasesGranted(grants));
        }
    }

    /// Takes all pending requests and returns their grants. Requests of leaving or unreachable members are dropped.
    fn take_grants(&mut self, state: &ClusterState, context: &GrantContext) -> Vec<Grant> {
        let limits = self.divide_capacity(state, state.capacity, context);
        std::mem::take(&mut self.pending_requests)
            .into_iter()
            .filter_map(|(holder, request)| {
                Some(Grant {
                    holder,
                    request_number: request.request_number,
                    in_use: request.in_use,
                    limit: *limits.get(&holder)?,
                })
            })
            .collect()
    }
}

/// The leases whose usage no longer counts: those that expired, and those that leaving members have released.
fn expired_leases(log: &RaftLog, context: &GrantContext) -> Vec<GrantId> {
    let mut expired = log
        .grant_clocks()
        .expired_grants(context.now, context.terms);
    let released = context
        .tracker
        .leaving_for_at_least(context.now, context.terms.usage_expiry());
    expired.extend(released.filter_map(|holder| {
        let lease = log.state().leases.get(&holder)?;
        Some(GrantId {
            holder,
            request_number: lease.request_number,
        })
    }));
    expired
}

fn rotation(now: Timestamp, holder_count: usize) -> u64 {
    let interval_count = now.0 / ROTATION_INTERVAL.as_nanos() as u64;
    interval_count % holder_count.max(1) as u64
}
