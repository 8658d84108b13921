use super::*;
use rstest::rstest;

fn after_failures(count: u32) -> ReconnectBackoff {
    let mut backoff = ReconnectBackoff::after_failure(None, 1.0);
    for _ in 1..count {
        backoff = ReconnectBackoff::after_failure(Some(backoff), 1.0);
    }
    backoff
}

#[rstest]
#[case::first(1, 200)]
#[case::doubled(2, 400)]
#[case::below_the_maximum(5, 3_200)]
#[case::at_the_maximum(6, 4_000)]
#[case::after_many_failures(100, 4_000)]
fn the_pause_doubles_up_to_a_maximum(#[case] failure_count: u32, #[case] pause_ms: u64) {
    let pause = Duration::from_millis(pause_ms);
    let too_short = Duration::from_millis(pause_ms - 1);
    let before = Instant::now();
    let backoff = after_failures(failure_count);
    let after = Instant::now();
    assert!(!backoff.may_retry(before + too_short));
    assert!(backoff.may_retry(after + pause));
}

#[test]
fn jitter_stretches_the_pause() {
    let before = Instant::now();
    let backoff = ReconnectBackoff::after_failure(None, 1.25);
    assert!(!backoff.may_retry(before + Duration::from_millis(249)));
    assert!(backoff.may_retry(Instant::now() + Duration::from_millis(250)));
}
