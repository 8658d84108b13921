//! Reads a site's settings: the JSON object that the simulator's first message and a node's configuration share.

#![forbid(unsafe_code)]

pub mod strict;

use lupincrank_placement::{Class, IdempotencyScope, RetrySafety, Settings, Tenant};
use serde::Deserialize;
use std::time::Duration;

/// A site's settings as they are told to an instance. Keys that nothing here needs are passed over.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Site {
    instances: Option<u32>,
    categories: Option<Vec<Category>>,
    tenants: Option<Vec<Option<TenantConf>>>,
    family_info: Option<FamilyInfo>,
    limits: Option<Limits>,
    obligations: Option<Obligations>,
    registry_mode: Option<String>,
    report: Option<Report>,
    prices: Option<Prices>,
    kinds: Option<Vec<String>>,
    localities: Option<Vec<String>>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Category {
    name: Option<String>,
    deadline_ns: Option<u64>,
    promise_ns: Option<u64>,
    repeat: Option<String>,
    group: Option<String>,
    window_ns: Option<u64>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct TenantConf {
    name: Option<String>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct FamilyInfo {
    groups: Option<bool>,
    message_aim_ns: Option<Vec<Option<u64>>>,
    tenant_quota_connections: Option<Vec<Option<f64>>>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    connect_timeout_ns: Option<u64>,
    send_cap: Option<u32>,
    may_probe: Option<bool>,
    peers: Option<bool>,
    max_retry_after_ns: Option<u64>,
    retry_after: Option<bool>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Obligations {
    drain_grace_ns: Option<u64>,
    cold_ns: Option<u64>,
    start_capacity: Option<f64>,
    fall_multiple: Option<f64>,
    overload_for_ns: Option<u64>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Prices {
    probe: Option<f64>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Report {
    fields: Option<Vec<Option<String>>>,
}

/// A span given in whole nanoseconds; none is zero.
pub fn nanos(value: Option<u64>) -> Duration {
    Duration::from_nanos(value.unwrap_or(0))
}

impl Site {
    /// What the decisions need; says which value it cannot make sense of.
    pub fn settings(&self) -> Result<Settings, String> {
        let conf = self.clone();
        let family = conf.family_info.unwrap_or_default();
        let limits = conf.limits.unwrap_or_default();
        let rules = conf.obligations.unwrap_or_default();
        let aims = family.message_aim_ns.unwrap_or_default();
        let quotas = family.tenant_quota_connections.unwrap_or_default();
        let mut classes = Vec::new();
        for (place, category) in conf.categories.unwrap_or_default().into_iter().enumerate() {
            let repeat = match category.repeat.as_deref() {
                Some("repeatable") => RetrySafety::Idempotent,
                Some("once") => RetrySafety::NotIdempotent,
                Some("by_key") => {
                    let scope = match category.group.as_deref() {
                        Some("all") => IdempotencyScope::All,
                        Some("zone") => IdempotencyScope::Zone,
                        Some("cell") => IdempotencyScope::Cell,
                        other => {
                            return Err(format!(
                                "Categories[{place}].Group: unknown value {other:?}"
                            ))
                        }
                    };
                    RetrySafety::IdempotencyKey {
                        scope,
                        window: nanos(category.window_ns),
                    }
                }
                other => {
                    return Err(format!(
                        "Categories[{place}].Repeat: unknown value {other:?}"
                    ))
                }
            };
            classes.push(Class {
                setup_objective: nanos(category.promise_ns),
                message_objective: nanos(aims.get(place).copied().flatten()),
                retry_safety: repeat,
            });
        }
        let quota = |place: usize| quotas.get(place).copied().flatten();
        let tenants = (0..conf.tenants.unwrap_or_default().len())
            .map(|place| Tenant {
                connection_quota: quota(place),
            })
            .collect();
        let fields = conf
            .report
            .and_then(|report| report.fields)
            .unwrap_or_default();
        let advises = limits.retry_after.unwrap_or(false);
        Ok(Settings {
            node_count: conf.instances.unwrap_or(1),
            classes,
            tenants,
            max_attempts: limits.send_cap.unwrap_or(u32::MAX),
            gossip_allowed: limits.peers.unwrap_or(false),
            health_checks_allowed: limits.may_probe.unwrap_or(false),
            health_check_cost: conf.prices.and_then(|prices| prices.probe).unwrap_or(0.0),
            utilization_field: fields
                .iter()
                .position(|field| field.as_deref() == Some("x0")),
            requires_endpoint_watch: conf.registry_mode.as_deref() == Some("subscribe"),
            drain_grace: nanos(rules.drain_grace_ns),
            slow_start_duration: nanos(rules.cold_ns),
            initial_capacity_ratio: rules.start_capacity.unwrap_or(0.0),
            overload_factor: rules.fall_multiple.unwrap_or(1.0),
            overload_window: nanos(rules.overload_for_ns),
            max_retry_after: if advises {
                nanos(limits.max_retry_after_ns)
            } else {
                Duration::ZERO
            },
        })
    }

    /// The names of the classes, in the order in which requests number them.
    pub fn classes(&self) -> Vec<&str> {
        self.categories()
            .map(|category| category.name.as_deref().unwrap_or(""))
            .collect()
    }

    /// The longest time that a client of any class waits, over all of its tries.
    pub fn longest_deadline(&self) -> Duration {
        self.categories()
            .map(|category| nanos(category.deadline_ns))
            .max()
            .unwrap_or_default()
    }

    /// The names of the zones, in the order in which the list numbers them.
    pub fn zones(&self) -> &[String] {
        self.localities.as_deref().unwrap_or_default()
    }

    /// The names of the tenants, in the order in which requests number them.
    pub fn tenants(&self) -> Vec<String> {
        let name =
            |tenant: &Option<TenantConf>| tenant.as_ref().and_then(|tenant| tenant.name.clone());
        self.tenants
            .iter()
            .flatten()
            .map(|tenant| name(tenant).unwrap_or_default())
            .collect()
    }

    /// The names of the fields of a load report, in their order.
    pub fn report_fields(&self) -> Vec<String> {
        let fields = self
            .report
            .as_ref()
            .and_then(|report| report.fields.as_ref());
        fields
            .into_iter()
            .flatten()
            .map(|field| field.clone().unwrap_or_default())
            .collect()
    }

    /// The names of the kinds of machines, likewise.
    pub fn kinds(&self) -> &[String] {
        self.kinds.as_deref().unwrap_or_default()
    }

    /// Whether connections belong to groups that share work.
    pub fn has_groups(&self) -> bool {
        self.family_info
            .as_ref()
            .and_then(|family| family.groups)
            .unwrap_or(false)
    }

    /// How long a connection may take to come up before it counts as one that could not be made.
    pub fn connect_timeout(&self) -> Option<Duration> {
        let told = self
            .limits
            .as_ref()
            .and_then(|limits| limits.connect_timeout_ns);
        told.filter(|span| *span > 0).map(Duration::from_nanos)
    }

    fn categories(&self) -> impl Iterator<Item = &Category> {
        self.categories.iter().flatten()
    }
}
