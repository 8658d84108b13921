//! The node's own lease: usage, requests and grants.

use super::{ControlNode, Participation};
use crate::lease::{LeaseRequest, UsageLimit};
use crate::member::MemberId;
use crate::message::{ControlMessage, LogEvent};
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_placement::Timestamp;

impl ControlNode {
    /// The units of the budget that this node may currently use, its floor included.
    pub fn lease_limit(&self, now: Timestamp) -> UsageLimit {
        self.lease_client.limit(now)
    }

    /// The units that this node may currently use without a lease.
    pub fn lease_floor(&self, now: Timestamp) -> u32 {
        self.lease_client.floor(now)
    }

    /// This node's share of the capacity as a ratio, or `None` without a lease.
    pub fn fleet_share(&self, now: Timestamp) -> Option<f64> {
        let capacity = self.log()?.state().capacity.max(1);
        let usage_limit = self.lease_limit(now);
        usage_limit.expires_at?;
        Some(f64::from(usage_limit.limit) / f64::from(capacity))
    }

    /// Records the usage of the budget since the last call.
    pub fn record_usage(&mut self, usage: BudgetUsage) {
        self.lease_client.record_usage(usage);
    }

    /// Requests a lease from the leader, if one is known and the request is due.
    pub(super) fn request_lease(&mut self, now: Timestamp) {
        let Participation::Joined(log) = &self.participation else {
            return;
        };
        let Some(leader) = log.leader() else {
            return;
        };
        let cluster_id = log.cluster_id();
        let Some(request) = self.lease_client.request_if_due(now) else {
            return;
        };
        if leader == self.local_member.id {
            self.on_lease_request(leader, request);
        } else {
            self.send(leader, ControlMessage::LeaseRequest(cluster_id, request));
        }
    }

    pub(super) fn on_lease_request(&mut self, from: MemberId, request: LeaseRequest) {
        if let Participation::Joined(log) = &self.participation {
            self.lease_granter.on_request(log, from, request);
        }
    }

    /// Handles a grant. Only the leader may grant leases.
    pub(super) fn on_lease_granted(
        &mut self,
        now: Timestamp,
        from: MemberId,
        request_number: u64,
        limit: u32,
    ) {
        if self.known_leader() == Some(from) {
            self.lease_client.on_grant(now, request_number, limit);
        } else {
            self.rejected.invalid += 1;
        }
    }

    /// Logs the limit if it has changed since the last call.
    pub(super) fn report_limit_change(&mut self, now: Timestamp) {
        let Some(changed) = self.lease_client.take_limit_change(now) else {
            return;
        };
        self.log_event(match changed.expires_at {
            Some(_) => LogEvent::LeaseLimitChanged(changed.limit),
            None => LogEvent::LeaseExpired,
        });
    }
}
