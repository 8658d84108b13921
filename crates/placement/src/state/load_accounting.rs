//! Accounting of the load that requests place on their servers.

use crate::balancer::Balancer;
use crate::state::request::RequestState;
use crate::RequestId;

/// Overhead of a group: the load that its first connection adds to a server for the work that the connections of the
/// group share there, as a multiple of the mean load of a connection.
pub(crate) const GROUP_OVERHEAD_RATIO: f64 = 2.0;

impl Balancer {
    /// This node's load on all ready servers, divided by the weight of those that are not ejected.
    pub(crate) fn fair_load_per_weight(&self) -> f64 {
        self.fleet.totals.load / self.fleet.totals.available_weight.max(1e-9)
    }

    /// The request's load if declared or observed, else the mean of its class, else the mean of all classes.
    pub(crate) fn load_of(&self, request: &RequestState) -> f64 {
        request
            .load
            .or_else(|| self.load_estimates.class_mean(request.class))
            .unwrap_or_else(|| self.load_estimates.mean())
    }

    pub(crate) fn group_overhead(&self) -> f64 {
        GROUP_OVERHEAD_RATIO * self.load_estimates.mean()
    }

    pub(crate) fn is_tenant_over_quota(&self, request: &RequestState) -> bool {
        request
            .tenant
            .is_some_and(|tenant| self.tenant_usage.is_over_quota(&self.settings, tenant))
    }

    /// Accounts for the request's attempt on its server and for its tenant.
    pub(crate) fn account_for(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let load = self.load_of(request);
        let group_overhead = self.group_overhead();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.accounted_load = load;
        let group = request.group;
        if let Some(tenant) = request.tenant {
            self.tenant_usage.record_open(tenant);
        }
        if let Some(slot) = request.server() {
            self.fleet.update(slot, |server| {
                server.add_connection(id, load, group, group_overhead);
            });
        }
    }

    /// Undoes [`Balancer::account_for`].
    pub(crate) fn release(&mut self, id: RequestId) {
        let group_overhead = self.group_overhead();
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let load = request.accounted_load;
        let group = request.group;
        if let Some(tenant) = request.tenant {
            self.tenant_usage.record_close(tenant);
        }
        if let Some(slot) = request.server() {
            self.fleet.update(slot, |server| {
                server.remove_connection(id, load, group, group_overhead);
            });
        }
    }

    pub(crate) fn on_load_observed(&mut self, id: RequestId, load: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.load = Some(load);
        self.load_estimates.record(request.class, load);
        if let Some(slot) = request.server() {
            let added_load = load - request.accounted_load;
            request.accounted_load = load;
            self.fleet.update(slot, |server| {
                server.load = (server.load + added_load).max(0.0);
            });
        }
    }
}
