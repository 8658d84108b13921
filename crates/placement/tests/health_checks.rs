//! What health checks tell: zones that are cut off, reports from before a load, late servers.

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

/// Whether the node can reach the second zone.
#[derive(Clone, Copy, PartialEq)]
enum SecondZone {
    Reachable,
    CutOff,
}

impl SecondZone {
    fn reaches(self, server: &str) -> bool {
        self == SecondZone::Reachable || zone_of(server) == 0
    }
}

/// Lets 100 ms pass: what can be reached is answered at once.
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

/// A node in a zone that is cut off: of ten servers it reached four, and tried the other six one after the other, all
/// else behind that, for eighteen seconds. Time-outs there passed for a fault behind all servers.
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
    let mut play = |harness: &mut Harness, second_zone: SecondZone, request_count: u64| {
        let first_id = next_id;
        for _ in 0..request_count {
            receive(harness, next_id);
            next_id += 1;
            pass_100_ms(harness, second_zone);
        }
        first_id..next_id
    };
    play(&mut harness, SecondZone::Reachable, 50);
    play(&mut harness, SecondZone::CutOff, 30); // time to find out
    let cut_off = play(&mut harness, SecondZone::CutOff, 50);
    pass_100_ms(&mut harness, SecondZone::CutOff);
    let far = cut_off
        .clone()
        .flat_map(|id| &harness.requests[&id].attempts)
        .filter(|attempt| zone_of(&attempt.server.0) == 1);
    assert_eq!(far.count(), 0, "sent to a zone that is out of reach");
    let served = cut_off
        .clone()
        .filter(|id| harness.requests[id].is_established)
        .count();
    assert!(served >= 45, "{served} of 50 served within reach");
    play(&mut harness, SecondZone::Reachable, 30);
    let back = play(&mut harness, SecondZone::Reachable, 50);
    let far = back
        .filter(|id| {
            harness
                .server_of(*id)
                .is_some_and(|server| zone_of(&server) == 1)
        })
        .count();
    assert!(far >= 20, "{far} of 50 to a zone that is back");
}

/// A report of no load at all, made before its connections came, let all nodes send there until the next one.
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
        "sent to a server that is over its capacity"
    );
    assert_eq!(
        server_after_reports(vec![1.2, 0.0]),
        None,
        "an empty report was believed"
    );
}

/// Nobody wanted to place on a server that was known to be full, so its report grew old while messages on it took 1.6 s,
/// and only a fresh report relieves it.
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
