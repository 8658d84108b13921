//! The cost of decisions, measured in rows of the server table that are read, not in time.

use crate::state::server_table::ROWS_READ;
use crate::*;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;

pub(crate) fn settings() -> Settings {
    let second = Duration::from_secs(1);
    Settings {
        node_count: 200,
        classes: vec![Class {
            setup_objective: second,
            message_objective: second / 10,
            retry_safety: RetrySafety::Idempotent,
        }],
        tenants: Vec::new(),
        max_attempts: 5,
        gossip_allowed: true,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: false,
        drain_grace: second,
        slow_start_duration: second * 10,
        initial_capacity_ratio: 0.2,
        overload_factor: 3.0,
        overload_window: second * 2,
        max_retry_after: second,
    }
}

fn request_info(id: u64) -> RequestInfo {
    RequestInfo {
        request: RequestId(id),
        class: 0,
        tenant: None,
        group: Some(format!("group:{}", id % 3)),
        key: Some(format!("client:{id}")),
        load: None,
        deadline: Timestamp(id * SECOND + 3 * SECOND),
        is_mid_flow: false,
        is_reconnect: false,
    }
}

fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        server: format!("10.0.{}.{}:80", number / 250, number % 250)
            .as_str()
            .into(),
        health: Health::Ready,
        weight: 1.0,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        started_at: None,
    }
}

/// Counts the rows that a node reads while it receives a connection a second for twenty seconds, some with late
/// messages or resets.
fn rows_read(servers: u64) -> u64 {
    let mut balancer = Balancer::new(settings(), 1);
    let mut actions = Vec::new();
    let entries = (0..servers).map(endpoint).collect();
    balancer.handle(
        Timestamp(0),
        Event::EndpointList {
            entries,
            cached: false,
        },
        &mut actions,
    );
    ROWS_READ.set(0);
    for id in 1..=20 {
        let now = Timestamp(id * SECOND);
        let request = RequestId(id);
        balancer.handle(now, Event::RequestReceived(request_info(id)), &mut actions);
        assert!(
            matches!(actions.last(), Some(Action::StartAttempt { .. })),
            "placed at once"
        );
        balancer.handle(
            now,
            Event::ConnectionEstablished {
                request,
                setup_duration: Duration::from_millis(20),
            },
            &mut actions,
        );
        if id % 4 == 0 {
            balancer.handle(
                now,
                Event::DelayObserved {
                    request,
                    delay: Duration::from_millis(90),
                },
                &mut actions,
            );
        }
        if id % 5 == 0 {
            let outcome = Outcome::Reset;
            balancer.handle(
                now,
                Event::AttemptEnded {
                    request,
                    attempt: 0,
                    outcome,
                    done: true,
                    report: None,
                },
                &mut actions,
            );
        }
        balancer.handle(now, Event::TimerFired(Timer::Upkeep), &mut actions);
    }
    ROWS_READ.get()
}

/// Guards against placement and upkeep that walk all servers: at one request a second, such an upkeep cost a node as
/// much as its requests.
#[test]
fn the_rows_that_a_node_reads_follow_its_connections_not_the_size_of_the_fleet() {
    let (small, large) = (rows_read(30), rows_read(900));
    assert!(small > 100, "{small} rows counted");
    assert!(
        large <= small * 5 / 4,
        "{small} rows with 30 servers, {large} with 900"
    );
}
