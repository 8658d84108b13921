use super::*;
use crate::state::request::PossibleExecution;
use crate::Class;

const WINDOW: Duration = Duration::from_secs(5);

fn at_seconds(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000_000)
}

fn server(zone: u32, cell: u32) -> Server {
    Server {
        zone,
        cell,
        ..Server::default()
    }
}

fn request(retry_safety: RetrySafety) -> RequestState {
    RequestState {
        class_rules: Some(Class {
            setup_objective: Duration::from_secs(1),
            message_objective: Duration::ZERO,
            retry_safety,
        }),
        max_attempts: 4,
        deadline: at_seconds(10),
        ..RequestState::default()
    }
}

fn with_idempotency_key(scope: IdempotencyScope) -> RetrySafety {
    RetrySafety::IdempotencyKey {
        scope,
        window: WINDOW,
    }
}

/// A request with an attempt that may have been executed in zone 1, cell 11 at second 0.
fn possibly_executed(retry_safety: RetrySafety) -> RequestState {
    RequestState {
        possible_execution: Some(PossibleExecution::new(&server(1, 11), at_seconds(0))),
        ..request(retry_safety)
    }
}

#[test]
fn a_request_that_was_not_executed_may_go_anywhere() {
    let request = request(RetrySafety::NotIdempotent);
    assert!(request.may_retry());
    assert!(request.may_be_rejected());
    assert!(request.may_retry_on(at_seconds(9), &server(2, 22)));
}

#[test]
fn a_request_that_is_not_idempotent_ends_once_it_may_have_been_executed() {
    let request = possibly_executed(RetrySafety::NotIdempotent);
    assert!(!request.may_retry());
    assert!(!request.may_be_rejected());
    assert!(!request.may_retry_on(at_seconds(0), &server(1, 11)));
}

#[test]
fn an_idempotency_key_holds_within_its_scope() {
    let cases = [
        (IdempotencyScope::All, [true, true, true]),
        (IdempotencyScope::Zone, [true, true, false]),
        (IdempotencyScope::Cell, [true, false, false]),
    ];
    let servers = [server(1, 11), server(1, 12), server(2, 22)];
    for (scope, expected) in cases {
        let request = possibly_executed(with_idempotency_key(scope));
        let allowed = servers
            .each_ref()
            .map(|server| request.may_retry_on(at_seconds(1), server));
        assert_eq!(allowed, expected, "{scope:?}");
        let is_everywhere = scope == IdempotencyScope::All;
        assert_eq!(request.may_be_rejected(), is_everywhere, "{scope:?}");
    }
}

#[test]
fn an_idempotency_key_holds_within_its_window() {
    let request = possibly_executed(with_idempotency_key(IdempotencyScope::All));
    assert!(request.may_retry_on(at_seconds(4), &server(1, 11)));
    assert!(!request.may_retry_on(at_seconds(5), &server(1, 11)));
}

#[test]
fn attempt_timeouts_double_and_the_last_one_lasts_until_the_deadline() {
    let mut request = request(RetrySafety::Idempotent);
    for (attempt_count, millis) in [(0, 400), (1, 800), (2, 1_600), (3, 10_000)] {
        request.attempt_count = attempt_count;
        let timeout = request.attempt_timeout(at_seconds(0), 0.0);
        assert_eq!(timeout, Duration::from_millis(millis));
    }
}

#[test]
fn attempt_timeouts_are_longer_if_setups_are_slow() {
    let request = request(RetrySafety::Idempotent);
    let timeout = request.attempt_timeout(at_seconds(0), 0.5);
    assert_eq!(timeout, Duration::from_secs(2));
}

#[test]
fn the_only_attempt_of_a_request_that_is_not_idempotent_lasts_until_the_deadline() {
    let request = request(RetrySafety::NotIdempotent);
    let timeout = request.attempt_timeout(at_seconds(3), 0.0);
    assert_eq!(timeout, Duration::from_secs(7));
}
