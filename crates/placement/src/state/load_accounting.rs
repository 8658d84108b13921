//! The load that connections are counted with.

use crate::balancer::Balancer;
use crate::state::request::RequestState;
use crate::RequestId;

pub(crate) const GROUP_COST: f64 = 2.0; // what the first connection of a group costs on a server, in mean loads

impl Balancer {
    /// This gateway's load for each unit of weight, over the ready servers.
    pub(crate) fn fair_unit(&self) -> f64 {
        self.fleet.totals.load / self.fleet.totals.available_weight.max(1e-9)
    }

    pub(crate) fn load_of(&self, request: &RequestState) -> f64 {
        let mean = |(sum, count): (f64, f64)| (count > 0.0).then(|| sum / count);
        let known = self.class_loads.get(request.class).copied().and_then(mean);
        request.load.or(known).unwrap_or_else(|| self.mean_load())
    }

    pub(crate) fn account_for(&mut self, id: RequestId, joins: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let load = if joins {
            self.load_of(request)
        } else {
            request.accounted_load
        };
        let group_cost = GROUP_COST * self.mean_load();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.accounted_load = load;
        if let Some(open) = request
            .tenant
            .and_then(|tenant| self.tenant_open.get_mut(tenant))
        {
            *open = if joins {
                *open + 1
            } else {
                open.saturating_sub(1)
            };
        }
        let (group, Some(at)) = (
            request.group,
            request.in_flight.as_ref().map(|out| out.server),
        ) else {
            return;
        };
        self.fleet.update(at, |server| {
            if joins {
                server.connections.insert(id);
                server.load += load;
                server.load_since_report += load;
                if let Some(group) = group {
                    let count = server.group_connections.entry(group).or_default();
                    *count += 1;
                    server.load += if *count == 1 { group_cost } else { 0.0 };
                }
            } else if server.connections.remove(&id) {
                server.load -= load;
                server.load_since_report -= load; // or a server is full with what has long gone
                if let Some(group) = group {
                    let left = server
                        .group_connections
                        .entry(group)
                        .and_modify(|count| *count -= 1)
                        .or_default();
                    if *left == 0 {
                        server.group_connections.remove(&group);
                        server.load -= group_cost;
                    }
                }
                server.load = if server.connections.is_empty() {
                    0.0
                } else {
                    server.load.max(0.0)
                };
            }
        });
    }

    pub(crate) fn on_load_observed(&mut self, id: RequestId, load: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.load = Some(load);
        if let Some((sum, count)) = self.class_loads.get_mut(request.class) {
            // Old notes fade, so that the mean follows the day.
            (*sum, *count) = (*sum * 0.995 + load, *count * 0.995 + 1.0);
        }
        if let Some(at) = request.in_flight.as_ref().map(|out| out.server) {
            let more = load - std::mem::replace(&mut request.accounted_load, load);
            self.fleet
                .update(at, |server| server.load = (server.load + more).max(0.0));
        }
    }

    pub(crate) fn mean_load(&self) -> f64 {
        let all = self
            .class_loads
            .iter()
            .fold((0.0, 0.0), |(s, n), (sum, count)| (s + sum, n + count));
        Some(all)
            .filter(|(_, count)| *count > 0.0)
            .map_or(1.0, |(sum, count)| sum / count)
    }

    /// Whether the tenant holds more connections than its share, as far as this gateway's part of them tells.
    pub(crate) fn over_share(&self, request: &RequestState) -> bool {
        let Some(tenant) = request.tenant else {
            return false;
        };
        let quota = self
            .settings
            .tenants
            .get(tenant)
            .and_then(|tenant| tenant.connection_quota);
        let open = self.tenant_open.get(tenant).copied().unwrap_or(0) as f64;
        quota.is_some_and(|quota| open * f64::from(self.settings.node_count.max(1)) > quota)
    }
}
