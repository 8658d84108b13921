//! The leader's side of leases: collects requests and grants them in batches.

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

/// How long the same holders have priority for the indivisible remainder.
const ROTATION_INTERVAL: Duration = Duration::from_secs(5);

/// What the granter decides on besides the requests.
pub(crate) struct GrantContext<'a> {
    pub(crate) now: Timestamp,
    pub(crate) terms: &'a LeaseTerms,
    /// The members that are alive as membership sees it.
    pub(crate) alive: &'a BTreeMap<MemberId, Member>,
    pub(crate) tracker: &'a MemberTracker,
}

/// Requests and demands of the current leadership.
#[derive(Default)]
pub(crate) struct LeaseGranter {
    /// The latest request of each member that is not answered yet.
    pending_requests: BTreeMap<MemberId, LeaseRequest>,
    /// The demand in each member's latest request.
    demands: BTreeMap<MemberId, u32>,
}

impl LeaseGranter {
    /// Takes in a request. Only those of members are kept, which bounds the tables by the size of the fleet.
    pub(crate) fn on_request(&mut self, log: &RaftLog, from: MemberId, request: LeaseRequest) {
        if log.is_leader() && log.state().members.contains_key(&from) {
            self.pending_requests.insert(from, request);
            self.demands.insert(from, request.demand);
        }
    }

    /// Forgets the demands of those that are no members any more.
    pub(crate) fn retain_members(&mut self, members: &BTreeMap<MemberId, Member>) {
        self.demands.retain(|id, _| members.contains_key(id));
    }

    /// Forgets all requests: leadership has changed, and holders repeat them to the new leader.
    pub(crate) fn clear(&mut self) {
        self.pending_requests.clear();
        self.demands.clear();
    }

    /// The limit that each member would get out of this capacity.
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
            .filter(|id| context.alive.contains_key(id) && !context.tracker.is_leaving(*id))
            .collect();
        let claims: Vec<Claim> = holders.iter().map(|id| self.claim(state, *id)).collect();
        let limits = divide(capacity, &claims, rotation(context.now, holders.len()));
        holders.into_iter().zip(limits).collect()
    }

    fn claim(&self, state: &ClusterState, holder: MemberId) -> Claim {
        let current_limit = state.leases.get(&holder).map_or(0, |lease| lease.limit);
        // A holder that has not sent this leader a request yet is taken to need what it has.
        let demand = self.demands.get(&holder).copied().unwrap_or(current_limit);
        Claim {
            demand,
            current_limit,
        }
    }

    /// Proposes to expire leases that have run out, and to grant what was requested.
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

    /// Answers all pending requests; those of members that are leaving or unreachable are dropped.
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

/// The leases whose usage does not count any more: those that ran out, and those that leaving members have given back.
fn expired_leases(log: &RaftLog, context: &GrantContext) -> Vec<GrantId> {
    let mut expired = log
        .grant_clocks()
        .expired_grants(context.now, context.terms);
    let given_back = context
        .tracker
        .leaving_for_at_least(context.now, context.terms.usage_expiry());
    expired.extend(given_back.filter_map(|holder| {
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
