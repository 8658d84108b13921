//! Admission by load reports and by health checks before a placement.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// Guards against health checks that cost more than they gain, as when sixty nodes check every server each second.
#[test]
fn a_server_is_checked_ahead_of_a_placement_and_passed_over_if_full() {
    let mut harness = Harness::with_servers(
        Settings {
            health_check_cost: 0.0,
            ..reporting_settings()
        },
        &SERVERS,
    );
    receive(&mut harness, 1, "c:1");
    let checked_server = |harness: &Harness| {
        harness.last_actions.iter().find_map(|action| match action {
            Action::CheckHealth(server) => Some(server.clone()),
            _ => None,
        })
    };
    let first = checked_server(&harness).expect("a health check before the placement");
    assert!(
        harness.server_of(1).is_none(),
        "the request does not wait for the report"
    );
    harness.deliver(Event::HealthCheckCompleted {
        server: first.clone(),
        passed: true,
        report: Some(vec![0.99]),
    });
    let second =
        checked_server(&harness).expect("a health check of the server with the next-highest score");
    assert_ne!(first, second);
    harness.deliver(Event::HealthCheckCompleted {
        server: second.clone(),
        passed: true,
        report: Some(vec![0.3]),
    });
    assert_eq!(harness.server_of(1).as_deref(), Some(&*second.0));
    // Without an answer in time the request is placed without a report.
    receive(&mut harness, 2, "c:2");
    harness.advance_ms(400);
    assert!(harness.server_of(2).is_some());
}

#[test]
fn expensive_health_checks_are_few() {
    let mut harness = Harness::with_servers(
        Settings {
            health_check_cost: 0.002,
            ..reporting_settings()
        },
        &SERVERS,
    );
    let mut health_checks = 0;
    for id in 0..200 {
        receive(&mut harness, id, &format!("c:{id}"));
        health_checks += harness
            .last_actions
            .iter()
            .filter(|action| matches!(action, Action::CheckHealth(_)))
            .count();
        for action in harness.last_actions.clone() {
            if let Action::CheckHealth(server) = action {
                harness.deliver(Event::HealthCheckCompleted {
                    server,
                    passed: true,
                    report: Some(vec![0.3]),
                });
            }
        }
        harness.advance_ms(100);
        if harness.server_of(id).is_some() {
            harness.establish(id);
        }
    }
    assert!(
        (20..=300).contains(&health_checks),
        "{health_checks} health checks for 200 requests"
    );
}

/// Guards against a restarted node that has no connections and rejects its clients although servers are half idle.
#[test]
fn a_restarted_node_places_clients_where_reports_show_capacity() {
    let mut harness = Harness::with_servers(reporting_settings(), &SERVERS);
    report_utilization(&mut harness, 0.4);
    for id in 0..60 {
        receive(&mut harness, id, &format!("c:{id}"));
        assert_eq!(
            harness.requests[&id].final_answer_count, 0,
            "request {id} was rejected"
        );
        harness.establish(id);
        if id % 10 == 0 {
            report_utilization(&mut harness, 0.4);
        }
    }
}

/// Guards against a surge of requests that overfills servers between two reports.
#[test]
fn load_sent_since_the_last_report_counts() {
    let mut harness = with_established_connections(reporting_settings(), &SERVERS, 120, 40);
    report_utilization(&mut harness, 0.6);
    let rejected = (1_000..1_100).filter(|id| {
        receive(&mut harness, *id, &format!("n:{id}"));
        if harness.server_of(*id).is_some() {
            harness.establish(*id);
        }
        harness.requests[id].final_answer_count == 1
    });
    let rejected = rejected.count();
    assert!(
        (50..100).contains(&rejected),
        "{rejected} of 100 rejected between two reports"
    );
}

/// Guards against groups that are spread over all servers: capacity for only a few connections, as a server reports it,
/// is reserved for groups that the server already serves.
#[test]
fn little_reported_capacity_is_left_to_groups_already_on_the_server() {
    let mut harness = with_established_connections(reporting_settings(), &SERVERS, 120, 30);
    report_utilization(&mut harness, 0.68);
    receive(&mut harness, 200, "c:new");
    assert_eq!(harness.server_of(200), None);
    receive(&mut harness, 201, "c:1");
    assert!(harness.server_of(201).is_some());
    report_utilization(&mut harness, 0.5);
    receive(&mut harness, 202, "c:new");
    assert!(harness.server_of(202).is_some());
}
