//! Servers that come back after a crash, and single lost connections that are none.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// A crashed server comes back before the list tells of it: the first success starts its warm-up.
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
        "{} sent at once after the crash",
        open_requests_on(&harness, server).len()
    );
}

/// zone+vast: a node of a hundred holds one connection a server. When that broke the server counted as gone and back
/// cold, its budget was spent by the first to come, and 300 requests were rejected that survivors had room for.
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
    // A report of little load lifts the cap that the break left, so that only a cold budget could be in the way.
    harness.deliver(Event::HealthCheckCompleted {
        server: "a".into(),
        passed: true,
        report: Some(vec![0.1]),
    });
    for id in 2..12 {
        receive(&mut harness, id, &format!("c:{id}"));
        assert!(harness.server_of(id).is_some(), "request {id} is rejected");
        harness.establish(id);
        harness.end_attempt(id, Outcome::Served);
    }
}
