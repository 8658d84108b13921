//! The settings of a deployment: request classes, tenants, limits, and the guarantees that a balancer keeps.

use std::time::Duration;

/// The conditions for sending a request again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing the request twice is harmless.
    Idempotent,
    /// Servers deduplicate by an idempotency key, so a retry is safe at some of them for some time.
    IdempotencyKey {
        /// The servers that share a deduplication record.
        scope: IdempotencyScope,
        /// The time for which a server remembers a key, from the send of an attempt.
        window: Duration,
    },
    /// The request must not be executed twice.
    NotIdempotent,
}

/// The servers that share the record of idempotency keys.
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
    /// Latency objective for a connection setup, measured from the client's request.
    pub setup_objective: Duration,
    /// Latency objective for the answer to a message on an established connection; zero if there is none.
    pub message_objective: Duration,
    /// The conditions for sending its requests again after a possible execution.
    pub retry_safety: RetrySafety,
}

/// A tenant with its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The number of open connections, over all nodes, that the tenant may hold under load; `None` if it has no
    /// quota.
    pub connection_quota: Option<f64>,
}

/// The configuration of a balancer, passed at the start or with
/// [`Event::SettingsChanged`](crate::Event::SettingsChanged).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of balancer nodes, this one included.
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
    /// The cost of one health check per request, in points of the score by which the deployment is rated; zero if
    /// health checks are free.
    pub health_check_cost: f64,
    /// Index of the utilization (load over capacity) in a load report; `None` if reports do not contain it.
    pub utilization_field: Option<usize>,
    /// Whether endpoint changes are sent only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints);
    /// otherwise they are sent without a request.
    pub requires_endpoint_watch: bool,
    /// The time for which requests may still be sent to a server after the endpoint list reports it as draining or
    /// removed.
    pub drain_grace: Duration,
    /// The time for which a server is warming up after its start.
    pub slow_start_duration: Duration,
    /// The minimum fraction of its full capacity that a server has at its start, 0 to 1.
    pub initial_capacity_ratio: f64,
    /// The multiple of its present capacity at which a server that is warming up fails from overload.
    pub overload_factor: f64,
    /// The time for which such a load must last before the server fails.
    pub overload_window: Duration,
    /// The longest `Retry-After` that clients obey; zero if they are sent none.
    pub max_retry_after: Duration,
}

impl Settings {
    /// Returns the shortest message latency objective of any class, or zero if no class has one.
    pub fn min_message_objective(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.message_objective)
            .filter(|objective| !objective.is_zero())
            .min()
            .unwrap_or_default()
    }
}
