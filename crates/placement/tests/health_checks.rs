//! Health checks: unreachable zones, reports older than the load, and late servers.

mod common;
use common::*;
use lupincrank_placement::*;

fn checking_settings() -> Settings {
    Settings {
        health_checks_allowed: true,
        health_check_cost: 0.001,
        utilization_field: Some(0),
        node_count: 3,
        ..settings(RetrySafety::Idempotent)
    }
}

fn receive(harness: &mut Harness, id: u64) {
    let group = Some(format!("c:{}", id % 17));
    harness.receive(RequestInfo {
        group,
        ..request(id, &format!("client:{id}"), harness.now + 2_000 * MS)
    });
}

fn zone_of(server: &str) -> u32 {
    u32::from(server > "s2")
}

/// Reachability of the second zone from the node.
#[derive(Clone, Copy, PartialEq)]
enum SecondZone {
    Reachable,
    Unreachable,
}

impl SecondZone {
    fn reaches(self, server: &str) -> bool {
        self == SecondZone::Reachable || zone_of(server) == 0
    }
}

/// Advances the clock by 100 ms. Reachable servers answer at once.
fn pass_100_ms(harness: &mut Harness, second_zone: SecondZone) {
    for _ in 0..10 {
        harness.advance_ms(10);
        for server in std::mem::take(&mut harness.pending_health_checks) {
            let passed = second_zone.reaches(&server.0);
            let report = passed.then(|| vec![0.3]);
            harness.deliver(Event::HealthCheckCompleted {
                server,
                passed,
                report,
            });
        }
        let is_waiting = |record: &RequestRecord| !record.is_established && !record.is_answered();
        let waiting: Vec<u64> = harness
            .requests
            .iter()
            .filter(|(_, record)| is_waiting(record))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            let attempt = harness.requests[&id].attempts.last();
            let in_flight = attempt.filter(|attempt| attempt.is_in_flight());
            if in_flight.is_some_and(|attempt| second_zone.reaches(&attempt.server.0)) {
                harness.establish(id);
            }
        }
    }
}

/// Guards against requests delayed by an unreachable zone. A node that reached four of ten servers tried the other six
/// one by one for 18 s while other requests waited, and took the timeouts for a fault behind all servers.
#[test]
fn an_unreachable_zone_does_not_delay_requests_to_reachable_servers() {
    let mut harness = Harness::new(checking_settings(), 1);
    let names = ["s1", "s2", "s3", "s4", "s5", "s6"];
    harness.set_endpoints(
        names
            .iter()
            .map(|name| Endpoint {
                zone: zone_of(name),
                ..endpoint(name)
            })
            .collect(),
    );
    let mut next_id = 0;
    let mut run = |harness: &mut Harness, second_zone: SecondZone, request_count: u64| {
        let first_id = next_id;
        for _ in 0..request_count {
            receive(harness, next_id);
            next_id += 1;
            pass_100_ms(harness, second_zone);
        }
        first_id..next_id
    };
    run(&mut harness, SecondZone::Reachable, 50);
    run(&mut harness, SecondZone::Unreachable, 30); // detects the outage
    let during_outage = run(&mut harness, SecondZone::Unreachable, 50);
    pass_100_ms(&mut harness, SecondZone::Unreachable);
    let to_second_zone = during_outage
        .clone()
        .flat_map(|id| &harness.requests[&id].attempts)
        .filter(|attempt| zone_of(&attempt.server.0) == 1);
    assert_eq!(
        to_second_zone.count(),
        0,
        "a request was sent to the unreachable zone"
    );
    let served = during_outage
        .clone()
        .filter(|id| harness.requests[id].is_established)
        .count();
    assert!(
        served >= 45,
        "{served} of 50 requests served by the reachable zone"
    );
    run(&mut harness, SecondZone::Reachable, 30);
    let recovered = run(&mut harness, SecondZone::Reachable, 50);
    let to_second_zone = recovered
        .filter(|id| {
            harness
                .server_of(*id)
                .is_some_and(|server| zone_of(&server) == 1)
        })
        .count();
    assert!(
        to_second_zone >= 20,
        "{to_second_zone} of 50 requests sent to the recovered zone"
    );
}

/// Guards against a report of zero load, made before a server got its connections, that lets all nodes send requests
/// there until the next report.
#[test]
fn a_report_older_than_the_load_does_not_admit_requests() {
    let server_after_reports = |values: Vec<f64>| {
        let mut harness = Harness::with_servers(checking_settings(), &["s1"]);
        for id in 0..8 {
            receive(&mut harness, id);
            pass_100_ms(&mut harness, SecondZone::Reachable);
        }
        let report = |utilization| Event::HealthCheckCompleted {
            server: "s1".into(),
            passed: true,
            report: Some(vec![utilization]),
        };
        for utilization in values {
            harness.deliver(report(utilization));
        }
        receive(&mut harness, 100);
        harness.server_of(100)
    };
    assert_eq!(
        server_after_reports(vec![1.2]),
        None,
        "a request was sent to a server above its capacity"
    );
    assert_eq!(
        server_after_reports(vec![1.2, 0.0]),
        None,
        "a report of zero load admitted a request"
    );
}

/// Guards against a full server whose report is not refreshed: no request selected it, so its report became stale while
/// messages took 1.6 s, and only a recent report reduces its load.
#[test]
fn a_late_server_with_an_old_report_is_checked_again() {
    let mut harness = Harness::with_servers(checking_settings(), &["s1", "s2"]);
    for id in 0..20 {
        receive(&mut harness, id);
        pass_100_ms(&mut harness, SecondZone::Reachable);
    }
    let late_server = harness.server_of(0).unwrap();
    harness.advance_ms(1_500);
    harness.pending_health_checks.clear();
    harness.deliver(Event::DelayObserved {
        request: RequestId(0),
        delay: ms(400),
    });
    assert!(
        harness
            .pending_health_checks
            .iter()
            .any(|server| *server.0 == *late_server),
        "{:?}",
        harness.pending_health_checks
    );
}
