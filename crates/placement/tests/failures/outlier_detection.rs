//! Failing servers and their ejection.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// Guards against a storm of attempts that overloads a store behind all servers, so that every server returns errors.
#[test]
fn errors_at_every_server_narrow_the_setup_window_and_eject_none() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..60 {
        receive(&mut harness, id, &format!("c:{id}"));
        let is_in_flight = harness.requests[&id].has_attempt_in_flight();
        if is_in_flight && id < 40 {
            harness.end_attempt(id, Outcome::Error);
        }
        harness.advance_ms(30);
    }
    let setups_in_progress = harness
        .requests
        .values()
        .filter(|record| record.has_attempt_in_flight())
        .count();
    assert!(
        (1..=8).contains(&setups_in_progress),
        "{setups_in_progress} setups in progress"
    );
    harness.advance_ms(6_000);
    assert!(
        harness
            .requests
            .values()
            .all(|record| record.final_answer_count == 1),
        "a queued request was not answered"
    );
}

/// Guards against migrations off a server that fails every setup but serves its established connections.
#[test]
fn a_server_with_errors_is_ejected_but_keeps_its_connections_and_a_silent_one_loses_them() {
    for (outcome, migrates) in [(Outcome::Error, false), (Outcome::TimedOut, true)] {
        let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
        let server = busiest_server(&harness);
        let initial_count = open_requests_on(&harness, server).len();
        let mut migrated = 0;
        let mut id = 1_000;
        let mut failures = 0;
        while failures < 2 {
            id += 1;
            receive(&mut harness, id, &format!("n:{id}"));
            if harness.server_of(id).as_deref() == Some(server) {
                failures += 1;
                harness.end_attempt(id, outcome);
                migrated += migrations(&harness).len();
            }
            if harness.server_of(id).is_some() {
                harness.establish(id);
            }
        }
        assert_eq!(
            migrated > 0,
            migrates,
            "{migrated} of {initial_count} migrated after {outcome:?}"
        );
        let before = open_requests_on(&harness, server).len();
        for id in 2_000..2_050 {
            receive(&mut harness, id, &format!("m:{id}"));
            harness.establish(id);
        }
        assert_eq!(
            open_requests_on(&harness, server).len(),
            before,
            "sent to an ejected server"
        );
    }
}

/// Guards against mistaking two servers that hang at the same time for a fault behind all servers.
#[test]
fn two_silent_servers_of_six_are_both_ejected() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    for id in 1_000..1_120 {
        receive(&mut harness, id, &format!("n:{id}"));
        while harness
            .server_of(id)
            .is_some_and(|server| server == "s1" || server == "s2")
            && harness.requests[&id].final_answer_count == 0
        {
            harness.end_attempt(id, Outcome::TimedOut);
        }
        harness.establish(id);
    }
    let wasted: usize = (1_000..1_120)
        .map(|id| harness.requests[&id].attempts.len() - 1)
        .sum();
    assert!(
        (2..12).contains(&wasted),
        "{wasted} attempts at unresponsive servers"
    );
}

/// Guards against the ejection of all servers: if every server fails, the failures are not evidence against any one.
#[test]
fn with_every_server_silent_requests_are_still_sent() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..200 {
        receive(&mut harness, id, &format!("c:{id}"));
        harness.advance_ms(500);
    }
    harness.advance_ms(10_000);
    let tried = (150..200)
        .filter(|id| !harness.requests[id].attempts.is_empty())
        .count();
    assert!(tried > 40, "{tried} of the last 50 requests were sent");
}

/// Guards against failed servers that every request tries because many other servers are ejected.
#[test]
fn a_server_that_refuses_connections_is_ejected_however_many_others_are() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..100 {
        receive(&mut harness, id, &format!("c:{id}"));
        while harness.server_of(id).is_some_and(|server| server != "s6")
            && harness.requests[&id].final_answer_count == 0
        {
            harness.end_attempt(id, Outcome::ConnectFailed);
        }
        if harness.server_of(id).as_deref() == Some("s6") {
            harness.establish(id);
        }
    }
    let wasted: usize = harness
        .requests
        .values()
        .map(|record| record.attempts.len())
        .sum::<usize>()
        - open_requests_on(&harness, "s6").len();
    assert!(wasted <= 10, "{wasted} attempts at failed servers");
}

/// Guards against connections that stay on a hung server, whose first observed delay of 30 s is longer than any queue.
#[test]
fn a_delay_longer_than_any_queue_ejects_a_server_and_migrates_its_connections() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    harness.advance_ms(10_000);
    report_delay(&mut harness, server, 30_000);
    assert!(!migrations(&harness).is_empty());
    for id in 1_000..1_030 {
        receive(&mut harness, id, &format!("n:{id}"));
        assert_ne!(harness.server_of(id).as_deref(), Some(server));
        if harness.server_of(id).is_some() {
            harness.establish(id);
        }
    }
}

/// Guards against clients that reconnect to the full server that dropped them. With hundreds of nodes, each of which
/// has one connection to a server, half of the dropped clients were placed on the same server again.
#[test]
fn a_server_that_drops_its_only_connection_does_not_get_the_next_one() {
    let (mut harness, _) = large_fleet(|_| false);
    let ids = (100..1_000).find(|id| {
        receive(&mut harness, *id, &format!("d:{id}"));
        harness.establish(*id);
        open_requests_on(&harness, &harness.server_of(*id).unwrap()).len() == 1
    });
    let (id, next) = (ids.unwrap(), 1_000);
    let first = harness.server_of(id);
    harness.advance_ms(300);
    harness.end_attempt(id, Outcome::Reset);
    receive(&mut harness, next, &format!("d:{id}"));
    assert_ne!(
        harness.server_of(next),
        first,
        "placed on the server that dropped the connection"
    );
}

/// Guards against the ejection of a server that serves other requests after the network broke one connection.
#[test]
fn a_connection_closed_before_the_send_ejects_a_server_only_the_second_time() {
    for (outcome, sends) in [(Outcome::ConnectFailed, 1), (Outcome::ClosedBeforeSend, 2)] {
        let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
        receive(&mut harness, 0, "c:1");
        let server = harness.server_of(0).unwrap();
        let mut sent = 0;
        for id in 0..5 {
            if id > 0 {
                receive(&mut harness, id, "c:1");
            }
            if harness.server_of(id).as_ref() == Some(&server) {
                sent += 1;
                harness.end_attempt(id, outcome);
            }
        }
        assert_eq!(sent, sends, "{outcome:?}");
    }
}

/// Guards against connections on a failed machine that each wait until their own messages go unanswered.
#[test]
fn an_unresponsive_server_loses_all_connections_at_once_and_gets_no_new_ones() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    let connections = open_requests_on(&harness, server);
    harness.deliver(Event::ServerUnresponsive(server.into()));
    assert_eq!(migrations(&harness), connections);
    for id in 1_000..1_030 {
        receive(&mut harness, id, &format!("n:{id}"));
        assert_ne!(harness.server_of(id).as_deref(), Some(server));
    }
}
