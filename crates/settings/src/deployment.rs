//! The JSON form of the settings, and the settings that a node uses outside of the placement module.

use serde::Deserialize;
use std::time::Duration;

/// The settings of a deployment as written in JSON. Unknown keys are ignored, absent ones have defaults.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct Site")]
pub struct DeploymentSettings {
    #[serde(rename = "Instances")]
    pub(crate) node_count: Option<u32>,
    #[serde(rename = "Categories")]
    pub(crate) classes: Option<Vec<ClassSettings>>,
    #[serde(rename = "Tenants")]
    pub(crate) tenants: Option<Vec<Option<TenantSettings>>>,
    #[serde(rename = "FamilyInfo")]
    pub(crate) family: Option<FamilySettings>,
    #[serde(rename = "Limits")]
    pub(crate) limits: Option<LimitSettings>,
    #[serde(rename = "Obligations")]
    pub(crate) obligations: Option<ObligationSettings>,
    #[serde(rename = "RegistryMode")]
    pub(crate) discovery_mode: Option<String>,
    #[serde(rename = "Report")]
    pub(crate) load_report: Option<LoadReportSettings>,
    #[serde(rename = "Prices")]
    pub(crate) costs: Option<CostSettings>,
    #[serde(rename = "Kinds")]
    machine_kinds: Option<Vec<String>>,
    #[serde(rename = "Localities")]
    zones: Option<Vec<String>>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(expecting = "struct Category")]
pub(crate) struct ClassSettings {
    #[serde(rename = "Name")]
    name: Option<String>,
    #[serde(rename = "DeadlineNs")]
    deadline_ns: Option<u64>,
    #[serde(rename = "PromiseNs")]
    pub(crate) setup_objective_ns: Option<u64>,
    #[serde(rename = "Repeat")]
    pub(crate) retry_safety: Option<String>,
    #[serde(rename = "Group")]
    pub(crate) idempotency_scope: Option<String>,
    #[serde(rename = "WindowNs")]
    pub(crate) idempotency_window_ns: Option<u64>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(expecting = "struct TenantConf")]
pub(crate) struct TenantSettings {
    #[serde(rename = "Name")]
    name: Option<String>,
}

/// Settings that are specific to long-lived connections.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct FamilyInfo")]
pub(crate) struct FamilySettings {
    #[serde(rename = "Groups")]
    has_groups: Option<bool>,
    /// One per class.
    #[serde(rename = "MessageAimNs")]
    pub(crate) message_objectives_ns: Option<Vec<Option<u64>>>,
    /// One per tenant.
    #[serde(rename = "TenantQuotaConnections")]
    pub(crate) tenant_connection_quotas: Option<Vec<Option<f64>>>,
}

/// Limits of a node's actions.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct Limits")]
pub(crate) struct LimitSettings {
    #[serde(rename = "ConnectTimeoutNs")]
    connect_timeout_ns: Option<u64>,
    #[serde(rename = "SendCap")]
    pub(crate) max_attempts: Option<u32>,
    #[serde(rename = "MayProbe")]
    pub(crate) health_checks_allowed: Option<bool>,
    #[serde(rename = "Peers")]
    pub(crate) gossip_allowed: Option<bool>,
    #[serde(rename = "MaxRetryAfterNs")]
    pub(crate) max_retry_after_ns: Option<u64>,
    #[serde(rename = "RetryAfter")]
    pub(crate) retry_after_allowed: Option<bool>,
}

/// A node's obligations to servers that drain or warm up.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct Obligations")]
pub(crate) struct ObligationSettings {
    #[serde(rename = "DrainGraceNs")]
    pub(crate) drain_grace_ns: Option<u64>,
    #[serde(rename = "ColdNs")]
    pub(crate) slow_start_ns: Option<u64>,
    #[serde(rename = "StartCapacity")]
    pub(crate) initial_capacity_ratio: Option<f64>,
    #[serde(rename = "FallMultiple")]
    pub(crate) overload_factor: Option<f64>,
    #[serde(rename = "OverloadForNs")]
    pub(crate) overload_window_ns: Option<u64>,
}

/// The costs of actions, in points taken off the deployment's score.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct Prices")]
pub(crate) struct CostSettings {
    #[serde(rename = "Probe")]
    pub(crate) health_check: Option<f64>,
}

/// The value of `Report.How` with which answers to requests also contain load reports.
const CARRIED_BY_ANSWERS: &str = "inline";

/// The form of servers' load reports.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(expecting = "struct Report")]
pub(crate) struct LoadReportSettings {
    #[serde(rename = "Fields")]
    pub(crate) fields: Option<Vec<Option<String>>>,
    /// The messages that contain a report.
    #[serde(rename = "How")]
    pub(crate) carried_by: Option<String>,
}

/// Converts nanoseconds to a duration; zero if absent.
pub(crate) fn duration_from_ns(nanoseconds: Option<u64>) -> Duration {
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

impl DeploymentSettings {
    /// Returns the names of the request classes, by index.
    pub fn class_names(&self) -> Vec<&str> {
        self.classes()
            .map(|class| class.name.as_deref().unwrap_or(""))
            .collect()
    }

    /// Returns the longest deadline of any class: the time for which a client waits, over all attempts.
    pub fn max_deadline(&self) -> Duration {
        self.classes()
            .map(|class| duration_from_ns(class.deadline_ns))
            .max()
            .unwrap_or_default()
    }

    /// Returns the names of the zones, by index.
    pub fn zones(&self) -> &[String] {
        self.zones.as_deref().unwrap_or_default()
    }

    /// Returns the names of the tenants, by index; empty for a tenant without a name.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants
            .iter()
            .flatten()
            .map(|tenant| tenant.as_ref().and_then(|tenant| tenant.name.clone()))
            .map(Option::unwrap_or_default)
            .collect()
    }

    /// Returns the names of the fields of a load report, by index; empty for a field without a name.
    pub fn report_fields(&self) -> Vec<String> {
        let fields = self
            .load_report
            .as_ref()
            .and_then(|report| report.fields.as_ref());
        fields
            .into_iter()
            .flatten()
            .map(|field| field.clone().unwrap_or_default())
            .collect()
    }

    /// Returns the names of the fields of the load report at the end of an answer to a request; empty if at most the
    /// answers to health checks contain reports.
    pub fn answer_report_fields(&self) -> Vec<String> {
        let carried_by = self
            .load_report
            .as_ref()
            .and_then(|report| report.carried_by.as_deref());
        if carried_by == Some(CARRIED_BY_ANSWERS) {
            self.report_fields()
        } else {
            Vec::new()
        }
    }

    /// Returns the names of the machine kinds, by index.
    pub fn machine_kinds(&self) -> &[String] {
        self.machine_kinds.as_deref().unwrap_or_default()
    }

    /// Returns true if connections belong to groups whose members share work on a server.
    pub fn has_groups(&self) -> bool {
        self.family
            .as_ref()
            .and_then(|family| family.has_groups)
            .unwrap_or(false)
    }

    /// Returns the time after which an attempt without a connection counts as failed; `None` if unlimited.
    pub fn connect_timeout(&self) -> Option<Duration> {
        let nanoseconds = self
            .limits
            .as_ref()
            .and_then(|limits| limits.connect_timeout_ns);
        nanoseconds
            .filter(|nanoseconds| *nanoseconds > 0)
            .map(Duration::from_nanos)
    }

    /// Returns the request classes, by index.
    pub(crate) fn classes(&self) -> impl Iterator<Item = &ClassSettings> {
        self.classes.iter().flatten()
    }
}
