//! The conversion of a deployment's settings into those of the placement module.

use crate::deployment::{duration_from_ns, ClassSettings, DeploymentSettings};
use crate::error::SettingsError;
use lupincrank_placement::{Class, IdempotencyScope, RetrySafety, Settings, Tenant};
use std::time::Duration;

/// The name of the load report's field for the utilization.
const UTILIZATION_FIELD: &str = "x0";

/// The discovery mode in which only nodes that watch the endpoint list receive changes.
const WATCH_MODE: &str = "subscribe";

impl DeploymentSettings {
    /// Returns the settings of the placement module, with defaults for absent values.
    ///
    /// # Errors
    ///
    /// If the retry safety or the idempotency scope of a class is unknown.
    pub fn placement_settings(&self) -> Result<Settings, SettingsError> {
        let limits = self.limits.clone().unwrap_or_default();
        let obligations = self.obligations.clone().unwrap_or_default();
        let costs = self.costs.clone().unwrap_or_default();
        let max_retry_after = if limits.retry_after_allowed.unwrap_or(false) {
            duration_from_ns(limits.max_retry_after_ns)
        } else {
            Duration::ZERO
        };
        Ok(Settings {
            node_count: self.node_count.unwrap_or(1),
            classes: self.placement_classes()?,
            tenants: self.placement_tenants(),
            max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
            gossip_allowed: limits.gossip_allowed.unwrap_or(false),
            health_checks_allowed: limits.health_checks_allowed.unwrap_or(false),
            health_check_cost: costs.health_check.unwrap_or(0.0),
            utilization_field: self.utilization_field(),
            requires_endpoint_watch: self.discovery_mode.as_deref() == Some(WATCH_MODE),
            drain_grace: duration_from_ns(obligations.drain_grace_ns),
            slow_start_duration: duration_from_ns(obligations.slow_start_ns),
            initial_capacity_ratio: obligations.initial_capacity_ratio.unwrap_or(0.0),
            overload_factor: obligations.overload_factor.unwrap_or(1.0),
            overload_window: duration_from_ns(obligations.overload_window_ns),
            max_retry_after,
        })
    }

    fn placement_classes(&self) -> Result<Vec<Class>, SettingsError> {
        let objectives = self
            .family
            .as_ref()
            .and_then(|family| family.message_objectives_ns.as_deref())
            .unwrap_or_default();
        self.classes()
            .enumerate()
            .map(|(index, class)| {
                Ok(Class {
                    setup_objective: duration_from_ns(class.setup_objective_ns),
                    message_objective: duration_from_ns(objectives.get(index).copied().flatten()),
                    retry_safety: retry_safety(index, class)?,
                })
            })
            .collect()
    }

    fn placement_tenants(&self) -> Vec<Tenant> {
        let quotas = self
            .family
            .as_ref()
            .and_then(|family| family.tenant_connection_quotas.as_deref())
            .unwrap_or_default();
        let tenant_count = self.tenants.as_ref().map_or(0, Vec::len);
        (0..tenant_count)
            .map(|index| Tenant {
                connection_quota: quotas.get(index).copied().flatten(),
            })
            .collect()
    }

    fn utilization_field(&self) -> Option<usize> {
        let fields = self.load_report.as_ref()?.fields.as_ref()?;
        fields
            .iter()
            .position(|field| field.as_deref() == Some(UTILIZATION_FIELD))
    }
}

fn retry_safety(index: usize, class: &ClassSettings) -> Result<RetrySafety, SettingsError> {
    match class.retry_safety.as_deref() {
        Some("repeatable") => Ok(RetrySafety::Idempotent),
        Some("once") => Ok(RetrySafety::NotIdempotent),
        Some("by_key") => Ok(RetrySafety::IdempotencyKey {
            scope: idempotency_scope(index, class)?,
            window: duration_from_ns(class.idempotency_window_ns),
        }),
        other => Err(SettingsError::UnknownRetrySafety {
            class: index,
            value: other.map(str::to_string),
        }),
    }
}

fn idempotency_scope(
    index: usize,
    class: &ClassSettings,
) -> Result<IdempotencyScope, SettingsError> {
    match class.idempotency_scope.as_deref() {
        Some("all") => Ok(IdempotencyScope::All),
        Some("zone") => Ok(IdempotencyScope::Zone),
        Some("cell") => Ok(IdempotencyScope::Cell),
        other => Err(SettingsError::UnknownIdempotencyScope {
            class: index,
            value: other.map(str::to_string),
        }),
    }
}
