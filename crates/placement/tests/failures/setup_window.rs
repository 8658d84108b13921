//! The setup window, and requests that wait until it allows a connection setup.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// Guards against setups that become slow because all clients of a node connect at once.
#[test]
fn slow_setups_narrow_the_window_and_waiting_requests_are_sent_as_they_end() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..8 {
        receive(&mut harness, id, &format!("c:{id}"));
    }
    harness.advance_ms(190);
    (0..8).for_each(|id| harness.establish(id));
    for id in 10..30 {
        receive(&mut harness, id, &format!("c:{id}"));
    }
    let sent = |harness: &Harness| {
        (10..30)
            .filter(|id| harness.server_of(*id).is_some())
            .count()
    };
    assert!(
        sent(&harness) < 8,
        "{} requests sent at once",
        sent(&harness)
    );
    for _ in 0..20 {
        harness.advance_ms(20);
        for id in 10..30 {
            if harness.server_of(id).is_some() && !harness.requests[&id].is_established {
                harness.establish(id);
            }
        }
    }
    assert_eq!(sent(&harness), 20);
}

/// Guards against delayed mid-flow connections: hundreds arrive when nodes change, and the server that holds one has
/// nothing to set up.
#[test]
fn mid_flow_connections_do_not_wait_for_the_window() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    for id in 0..100 {
        harness.receive(RequestInfo {
            is_mid_flow: true,
            ..request(id, &format!("client:{id}"), harness.now + 2_000 * MS)
        });
        assert!(harness.server_of(id).is_some());
    }
}

/// Without a setup objective there is no reason for a timeout before the client's deadline.
#[test]
fn without_an_objective_an_attempt_may_wait_as_long_as_the_client() {
    let mut settings = idempotent_settings();
    settings.classes[0].setup_objective = std::time::Duration::ZERO;
    let mut harness = Harness::with_servers(settings, &SERVERS);
    harness.receive(request(1, "client:1", harness.now + 2_000 * MS));
    assert!(
        matches!(harness.last_actions[..], [Action::StartAttempt { timeout, .. }] if timeout == ms(2_000))
    );
}

/// Guards against overload of a slow store behind all servers: 128 nodes have one attempt in progress each, and every
/// attempt times out just before its connection would have been established.
#[test]
fn setups_that_fail_at_one_server_after_another_become_less_frequent() {
    let names: Vec<String> = (0..40).map(|n| format!("10.0.0.{n}:80")).collect();
    let mut counts = [0; 4];
    // The pauses of a window of less than one setup are random, so the attempts of several nodes are added up.
    for seed in 1..=8 {
        let mut harness = Harness::new(
            Settings {
                node_count: 128,
                ..idempotent_settings()
            },
            seed,
        );
        harness.set_endpoints(names.iter().map(|name| endpoint(name)).collect());
        let mut before = 0;
        for (span, count) in counts.iter_mut().enumerate() {
            for n in 0..50 {
                receive(
                    &mut harness,
                    span as u64 * 100 + n,
                    &format!("c:{span}-{n}"),
                );
                harness.advance_ms(200);
            }
            let sends: usize = harness
                .requests
                .values()
                .map(|record| record.attempts.len())
                .sum();
            *count += sends - std::mem::replace(&mut before, sends);
        }
    }
    assert!(
        counts[3] * 2 < counts[0],
        "{counts:?} attempts in periods of 10 s"
    );
    assert!(counts[3] > 0, "no attempt in the last period");
}

/// Guards against requests without attempts left that stay in the queue until just before their deadlines.
#[test]
fn a_request_without_attempts_left_is_rejected_at_once_though_others_wait() {
    let mut harness = Harness::with_servers(
        Settings {
            max_attempts: 1,
            ..idempotent_settings()
        },
        &SERVERS,
    );
    (0..20).for_each(|id| receive(&mut harness, id, &format!("c:{id}")));
    assert!(harness.server_of(19).is_none(), "request 19 does not wait");
    harness.end_attempt(0, Outcome::Rejected);
    assert_eq!(harness.requests[&0].final_answer_count, 1);
    assert!(harness.last_actions.iter().any(
        |action| matches!(action, Action::Reject { request: RequestId(0), retry_after } if *retry_after >= ms(1_000))
    ));
}

/// Guards against a request that stays in the queue although the endpoint list has no server left for it.
#[test]
fn a_request_without_a_server_left_does_not_wait() {
    let mut harness = Harness::with_servers(idempotent_settings(), &SERVERS);
    (0..20).for_each(|id| receive(&mut harness, id, &format!("c:{id}")));
    harness.set_endpoints(
        SERVERS
            .iter()
            .map(|name| Endpoint {
                health: Health::Draining,
                ..endpoint(name)
            })
            .collect(),
    );
    harness.advance_ms(100);
    assert_eq!(harness.requests[&19].final_answer_count, 1);
}
