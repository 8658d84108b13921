//! Default settings, endpoints and requests; tests override fields with struct update syntax.

use lupincrank_placement::{
    Class, Endpoint, Health, RequestId, RequestInfo, RetrySafety, Settings, Timestamp,
};
use std::time::Duration;

/// Nanoseconds in a millisecond, for arithmetic on timestamps.
pub const MS: u64 = 1_000_000;

/// A duration of `count` milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Settings for two nodes and one request class.
pub fn settings(retry_safety: RetrySafety) -> Settings {
    Settings {
        node_count: 2,
        classes: vec![Class {
            setup_objective: ms(500),
            message_objective: ms(100),
            retry_safety,
        }],
        tenants: vec![],
        max_attempts: 4,
        gossip_allowed: false,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: true,
        drain_grace: ms(500),
        slow_start_duration: Duration::from_secs(20),
        initial_capacity_ratio: 0.2,
        overload_factor: 3.0,
        overload_window: Duration::from_secs(2),
        max_retry_after: Duration::from_secs(2),
    }
}

/// An endpoint of a ready, warm server.
pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        server: name.into(),
        health: Health::Ready,
        weight: 1.0,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        started_at: None,
    }
}

/// A request with a key and without a group. `deadline` is in nanoseconds on the harness's clock.
pub fn request(id: u64, key: &str, deadline: u64) -> RequestInfo {
    RequestInfo {
        request: RequestId(id),
        class: 0,
        tenant: None,
        group: None,
        key: Some(key.into()),
        load: None,
        deadline: Timestamp(deadline),
        is_mid_flow: false,
        is_reconnect: false,
    }
}
