//! Harnesses with established connections, and queries on them, for the tests of failures.

use crate::common::*;
use lupincrank_placement::*;

/// The servers of most tests.
pub const SERVERS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];

/// Settings under which all requests are idempotent and may be retried at any time.
pub fn idempotent_settings() -> Settings {
    settings(RetrySafety::Idempotent)
}

/// Delivers a request of a client of the group, with a deadline in five seconds.
pub fn receive(harness: &mut Harness, id: u64, group: &str) {
    let group = Some(group.to_string());
    harness.receive(RequestInfo {
        group,
        ..request(id, &format!("client:{id}"), harness.now + 5_000 * MS)
    });
}

/// Returns a harness with established connections, which are assigned to the groups in turn, after a period without
/// events.
pub fn with_established_connections(
    settings: Settings,
    servers: &[&str],
    connection_count: u64,
    group_count: u64,
) -> Harness {
    let mut harness = Harness::with_servers(settings, servers);
    for id in 0..connection_count {
        receive(&mut harness, id, &format!("c:{}", id % group_count));
        harness.establish(id);
    }
    harness.advance_ms(9_000);
    harness
}

/// Returns the requests without a final answer whose latest attempt went to `server`.
pub fn open_requests_on(harness: &Harness, server: &str) -> Vec<u64> {
    let is_open_there = |id: &u64| {
        !harness.requests[id].is_answered() && harness.server_of(*id).as_deref() == Some(server)
    };
    let ids = harness.requests.keys().copied();
    ids.filter(is_open_there).collect()
}

/// Returns the connections that the latest event migrated.
pub fn migrations(harness: &Harness) -> Vec<u64> {
    let migrated = |action: &Action| {
        if let Action::Migrate(id) = action {
            Some(id.0)
        } else {
            None
        }
    };
    harness.last_actions.iter().filter_map(migrated).collect()
}

/// Reports a message delay of `delay` milliseconds on a connection to the server.
pub fn report_delay(harness: &mut Harness, server: &str, delay: u64) {
    let id = open_requests_on(harness, server)[0];
    harness.deliver(Event::DelayObserved {
        request: RequestId(id),
        delay: ms(delay),
    });
}

/// Returns the server with the most open requests.
pub fn busiest_server(harness: &Harness) -> &'static str {
    SERVERS
        .into_iter()
        .max_by_key(|server| open_requests_on(harness, server).len())
        .unwrap()
}

/// Settings with load reports. Health checks are too expensive to be sent, so reports arrive without them.
pub fn reporting_settings() -> Settings {
    Settings {
        health_checks_allowed: true,
        health_check_cost: 1.0,
        utilization_field: Some(0),
        ..idempotent_settings()
    }
}

/// Delivers a load report with this utilization (load over capacity) of every server.
pub fn report_utilization(harness: &mut Harness, utilization: f64) {
    for server in SERVERS {
        let report = Some(vec![utilization]);
        harness.deliver(Event::HealthCheckCompleted {
            server: server.into(),
            passed: true,
            report,
        });
    }
}

/// Returns one of a hundred nodes, with 200 servers of two machine kinds, and the servers' names.
pub fn large_fleet(is_second_kind: fn(usize) -> bool) -> (Harness, Vec<String>) {
    let mut harness = Harness::new(
        Settings {
            node_count: 100,
            ..idempotent_settings()
        },
        1,
    );
    let names: Vec<String> = (0..200).map(|n| format!("s{n}")).collect();
    let entries = names.iter().enumerate();
    harness.set_endpoints(
        entries
            .map(|(n, name)| Endpoint {
                machine_kind: u32::from(is_second_kind(n)),
                ..endpoint(name)
            })
            .collect(),
    );
    for id in 0..30 {
        receive(&mut harness, id, &format!("c:{id}"));
        harness.establish(id);
    }
    (harness, names)
}
