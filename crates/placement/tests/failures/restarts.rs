//! Servers that restart after a crash, and single lost connections, which indicate no crash.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// Guards against overload of a server that restarts after a crash before the endpoint list reports it: its first
/// successful attempt starts its warm-up.
#[test]
fn a_server_back_from_a_crash_warms_up_though_the_list_is_old() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 60);
    let server = busiest_server(&harness);
    for id in open_requests_on(&harness, server) {
        harness.end_attempt(id, Outcome::Reset);
    }
    harness.advance_ms(10_000);
    for id in 1_000..1_200 {
        receive(&mut harness, id, &format!("n:{id}"));
        harness.establish(id);
    }
    assert!(
        open_requests_on(&harness, server).len() <= 3,
        "{} requests sent at once after the crash",
        open_requests_on(&harness, server).len()
    );
}

/// Guards against a warm-up after one lost connection. In a zone outage, each of a hundred nodes had one connection to
/// a server and took its loss for a restart: the first requests spent the slow-start budget, and 300 were rejected
/// although the remaining servers had capacity.
#[test]
fn one_lost_connection_does_not_start_a_warm_up() {
    let settings = Settings {
        node_count: 100,
        ..reporting_settings()
    };
    let mut harness = Harness::with_servers(settings, &["a"]);
    receive(&mut harness, 1, "c:1");
    harness.establish(1);
    harness.end_attempt(1, Outcome::Reset);
    harness.advance_ms(10_000);
    // A report of low load removes the limit set at the break, so that only a slow-start budget could refuse requests.
    harness.deliver(Event::HealthCheckCompleted {
        server: "a".into(),
        passed: true,
        report: Some(vec![0.1]),
    });
    for id in 2..12 {
        receive(&mut harness, id, &format!("c:{id}"));
        assert!(harness.server_of(id).is_some(), "request {id} was rejected");
        harness.establish(id);
        harness.end_attempt(id, Outcome::Served);
    }
}
