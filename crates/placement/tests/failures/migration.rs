//! Connections that are migrated away from drained and unresponsive servers.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// i61f50e: in the first seconds servers dropped hundreds of connections before any move was allowed.
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

/// A set-down migrated all of 70 connections at once, and the others timed out on the set-ups.
#[test]
fn a_drained_server_is_emptied_in_steps_and_gets_nothing_until_it_is_released() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 120, 40);
    let (out, mut left) = (busiest_server(&harness), Vec::new());
    let held = open_requests_on(&harness, out).len();
    harness.drain(&[out]);
    for step in 0..20 {
        for id in migrations(&harness) {
            harness.end_attempt(id, Outcome::Cancelled);
        }
        left.push(open_requests_on(&harness, out).len());
        // The judge of the harness sees to it that nothing new goes there, though the list tells that it serves.
        receive(&mut harness, 1_000 + step, &format!("c:{step}"));
        harness.establish(1_000 + step);
        harness.change_endpoint(endpoint(out));
        harness.advance_ms(100);
    }
    assert!(
        left[7] > held / 4 && left[7] < held * 3 / 4 && left[15] == 0,
        "{left:?} of {held}"
    );
    harness.drain(&[]);
    let back = (0..50).find(|n| {
        receive(&mut harness, 2_000 + n, &format!("c:{}", n % 40));
        harness.establish(2_000 + n);
        harness.advance_ms(100);
        harness.server_of(2_000 + n).as_deref() == Some(out)
    });
    assert!(back.is_some(), "not used again within 5 s");
}

/// With nothing saved up for moves, connections on a machine that had vanished stayed there.
#[test]
fn every_unresponsive_connection_is_migrated_whatever_the_budget() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    for id in open_requests_on(&harness, server) {
        harness.deliver(Event::ConnectionUnresponsive(RequestId(id)));
        assert_eq!(migrations(&harness), [id]);
    }
}
