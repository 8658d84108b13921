//! Migration of connections off overloaded, drained and unresponsive servers.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// Guards against overloaded servers that drop hundreds of connections in a process's first seconds, before the
/// migration budget allows any migration.
#[test]
fn inherited_connections_may_be_migrated_at_once() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..60 {
        let group = Some(format!("c:{}", id % 20));
        let info = RequestInfo {
            group,
            ..request(id, &format!("client:{id}"), harness.now)
        };
        harness.inherit_connection(info, SERVERS[id as usize % 6]);
    }
    report_delay(&mut harness, "s1", 300);
    assert!(!migrations(&harness).is_empty());
}

/// Guards against an admin drain that migrates all of 70 connections at once, so that setups time out on other servers.
#[test]
fn a_drained_server_is_emptied_in_steps_and_gets_nothing_until_it_is_released() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 120, 40);
    let (drained, mut remaining) = (busiest_server(&harness), Vec::new());
    let initial_count = open_requests_on(&harness, drained).len();
    harness.drain(&[drained]);
    for step in 0..20 {
        for id in migrations(&harness) {
            harness.end_attempt(id, Outcome::Cancelled);
        }
        remaining.push(open_requests_on(&harness, drained).len());
        // The harness checks that nothing new is sent there, although the endpoint list reports the server as ready.
        receive(&mut harness, 1_000 + step, &format!("c:{step}"));
        harness.establish(1_000 + step);
        harness.change_endpoint(endpoint(drained));
        harness.advance_ms(100);
    }
    assert!(
        remaining[7] > initial_count / 4
            && remaining[7] < initial_count * 3 / 4
            && remaining[15] == 0,
        "{remaining:?} of {initial_count} connections remain after each step"
    );
    harness.drain(&[]);
    let first_placed = (0..50).find(|n| {
        receive(&mut harness, 2_000 + n, &format!("c:{}", n % 40));
        harness.establish(2_000 + n);
        harness.advance_ms(100);
        harness.server_of(2_000 + n).as_deref() == Some(drained)
    });
    assert!(
        first_placed.is_some(),
        "released server not used within 5 s"
    );
}

/// Guards against connections that stay on a failed machine because the migration budget is empty.
#[test]
fn every_unresponsive_connection_is_migrated_whatever_the_budget() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    for id in open_requests_on(&harness, server) {
        harness.deliver(Event::ConnectionUnresponsive(RequestId(id)));
        assert_eq!(migrations(&harness), [id]);
    }
}
