//! The settings of a deployment: request classes, tenants, limits and the obligations that a balancer keeps.

use std::time::Duration;

/// Whether a request may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing the request twice is harmless.
    Idempotent,
    /// Servers deduplicate by an idempotency key, so a retry is safe at some of them for some time.
    IdempotencyKey {
        /// The servers that share a deduplication record.
        scope: IdempotencyScope,
        /// How long a server remembers a key, counted from the send of an attempt.
        window: Duration,
    },
    /// The request must not be executed twice.
    NotIdempotent,
}

/// The servers among which an idempotency key is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests with its latency objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Latency objective for setting a connection up, measured from the client's request.
    pub setup_objective: Duration,
    /// Latency objective for the answer to a message on an established connection; zero if there is none.
    pub message_objective: Duration,
    /// Whether its requests may be sent again after a possible execution.
    pub retry_safety: RetrySafety,
}

/// A tenant with its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Open connections over all nodes that the tenant may hold under load; `None` if it has no quota.
    pub connection_quota: Option<f64>,
}

/// What a balancer is told of its deployment, at the start or with [`Event::SettingsChanged`](crate::Event::SettingsChanged).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Nodes of this tier, this one included.
    pub node_count: u32,
    /// Request classes; [`RequestInfo::class`](crate::RequestInfo::class) is an index into them.
    pub classes: Vec<Class>,
    /// Tenants; [`RequestInfo::tenant`](crate::RequestInfo::tenant) is an index into them.
    pub tenants: Vec<Tenant>,
    /// Maximum number of attempts for one request, the first included.
    pub max_attempts: u32,
    /// Whether nodes may send each other short messages ([`Action::Gossip`](crate::Action::Gossip)).
    pub gossip_allowed: bool,
    /// Whether servers may be health-checked ([`Action::CheckHealth`](crate::Action::CheckHealth)).
    pub health_checks_allowed: bool,
    /// What one health check for each request would cost, in points of the result; zero if health checks are free.
    pub health_check_cost: f64,
    /// Index, in a load report, of the utilization (load over capacity); `None` if reports hold none.
    pub utilization_field: Option<usize>,
    /// Whether endpoint changes come only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints); otherwise
    /// they come unasked.
    pub requires_endpoint_watch: bool,
    /// How long after the news that a server drains or is removed requests may still be sent to it.
    pub drain_grace: Duration,
    /// How long after its start a server warms up.
    pub slow_start_duration: Duration,
    /// The least share of its full capacity that a server starts with, 0 to 1.
    pub initial_capacity_ratio: f64,
    /// The multiple of its present capacity at which a server that warms up fails ...
    pub overload_factor: f64,
    /// ... if it is kept up for this long.
    pub overload_window: Duration,
    /// The longest `Retry-After` that clients obey; zero if they are not given any.
    pub max_retry_after: Duration,
}

impl Settings {
    /// The shortest message objective of any class; zero if no class has one.
    pub fn min_message_objective(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.message_objective)
            .filter(|objective| !objective.is_zero())
            .min()
            .unwrap_or_default()
    }
}
