//! Open connections of each tenant at this node.

use crate::Settings;

/// Connection counts by the index of the tenant in the settings.
pub(crate) struct TenantUsage {
    open_connections: Vec<usize>,
}

impl TenantUsage {
    pub(crate) fn new(tenant_count: usize) -> TenantUsage {
        TenantUsage {
            open_connections: vec![0; tenant_count],
        }
    }

    pub(crate) fn set_tenant_count(&mut self, tenant_count: usize) {
        self.open_connections.resize(tenant_count, 0);
    }

    pub(crate) fn record_open(&mut self, tenant: usize) {
        if let Some(open) = self.open_connections.get_mut(tenant) {
            *open += 1;
        }
    }

    pub(crate) fn record_close(&mut self, tenant: usize) {
        if let Some(open) = self.open_connections.get_mut(tenant) {
            *open = open.saturating_sub(1);
        }
    }

    /// Returns true if the tenant exceeds its quota, assuming that all nodes have as many of its connections as this
    /// one.
    pub(crate) fn is_over_quota(&self, settings: &Settings, tenant: usize) -> bool {
        let Some(rules) = settings.tenants.get(tenant) else {
            return false;
        };
        let open = self.open_connections.get(tenant).copied().unwrap_or(0) as f64;
        let fleet_estimate = open * f64::from(settings.node_count.max(1));
        rules
            .connection_quota
            .is_some_and(|quota| fleet_estimate > quota)
    }
}
