use super::*;
use rstest::rstest;
use std::time::{SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

fn unix_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since_epoch.as_millis() as i64
}

/// The resolved age, in milliseconds, of a start that was listed with a wall clock that is off by `error_ms`.
fn age_ms(start_age_ms: i64, error_ms: i64, is_first_list: bool) -> i64 {
    let clock = PlacementClock::start();
    let mut start_times = StartTimes::default();
    let not_listed_at = (!is_first_list).then(Instant::now);
    let server = ServerId::from("s-0");
    let unix_ms = unix_ms() - start_age_ms - error_ms;
    let started_at = start_times.resolve(&clock, &server, unix_ms as u64, not_listed_at);
    let age = clock.now().saturating_duration_since(started_at.unwrap());
    age.as_millis() as i64
}

#[rstest]
#[case::right_clock(2_000, 0, false, 2_000)]
#[case::listed_almost_at_the_maximum_delay(5_900, 0, false, 5_900)]
#[case::ahead(500, HOUR_MS, false, 0)]
#[case::a_little_ahead(500, 30_000, false, 0)]
#[case::behind(500, -HOUR_MS, false, 0)]
#[case::first_list(60_000, 0, true, 60_000)]
#[case::first_list_and_behind(500, -HOUR_MS, true, 0)]
fn a_start_first_listed_while_this_process_runs_is_recent(
    #[case] start_age_ms: i64,
    #[case] error_ms: i64,
    #[case] is_first_list: bool,
    #[case] expected_ms: i64,
) {
    let age_ms = age_ms(start_age_ms, error_ms, is_first_list);
    assert!(
        (age_ms - expected_ms).abs() < 50,
        "age {age_ms} ms, expected {expected_ms} ms"
    );
}

#[test]
fn a_start_listed_again_keeps_its_resolved_time() {
    let clock = PlacementClock::start();
    let mut start_times = StartTimes::default();
    let server = ServerId::from("s-0");
    let start = (unix_ms() - HOUR_MS) as u64;
    let first = start_times.resolve(&clock, &server, start, None);
    let again = start_times.resolve(&clock, &server, start, Some(Instant::now()));
    assert_eq!(first, again);
    let restarted = start_times.resolve(&clock, &server, start + 1, Some(Instant::now()));
    assert!(restarted > first);
    assert_eq!(
        start_times.resolve(&clock, &server, 0, None),
        None,
        "long ago"
    );
}

/// A start that the first list shows as long ago stays long ago in later lists; a start that first appears in a later
/// list is recent.
#[test]
fn a_start_before_the_clock_began_is_long_ago_only_if_the_first_list_has_it() {
    let clock = PlacementClock::start();
    let listed_first = ServerId::from("s-0");
    let listed_later = ServerId::from("s-1");
    let mut start_times = StartTimes::default();
    assert_eq!(start_times.resolve(&clock, &listed_first, 1, None), None);
    let now = Some(Instant::now());
    assert_eq!(start_times.resolve(&clock, &listed_first, 1, now), None);
    assert!(start_times.resolve(&clock, &listed_first, 2, now).is_some());
    assert!(start_times.resolve(&clock, &listed_later, 1, now).is_some());
}

/// The configured list is applied before discovery has reported its clock; the first list that follows resolves the
/// start times again.
#[test]
fn starts_of_a_first_list_are_resolved_again_if_the_clock_is_ahead() {
    let mut clock = PlacementClock::start();
    let mut start_times = StartTimes::default();
    let server = ServerId::from("s-0");
    let started_at_ms = (unix_ms() - HOUR_MS) as u64;
    let by_wall_clock = start_times.resolve(&clock, &server, started_at_ms, None);
    let discovery_time = UNIX_EPOCH + Duration::from_millis(started_at_ms + 2_000);
    assert!(clock.limit_system_time(discovery_time));
    start_times.forget_first_list();
    let by_discovery = start_times.resolve(&clock, &server, started_at_ms, None);
    let age = clock.now().saturating_duration_since(by_discovery.unwrap());
    assert!(by_discovery > by_wall_clock);
    assert!(
        (Duration::from_millis(1_900)..Duration::from_millis(3_100)).contains(&age),
        "{age:?}"
    );
    assert!(!clock.limit_system_time(SystemTime::now()));
}

/// A server that the other process of the node had listed, before discovery's clock showed that this machine's is ahead, was
/// taken for one that has just started.
#[test]
fn a_forgotten_start_that_is_listed_again_is_not_recent() {
    let clock = PlacementClock::start();
    let mut start_times = StartTimes::default();
    let server = ServerId::from("s-0");
    let start = (unix_ms() - HOUR_MS) as u64;
    let first = start_times.resolve(&clock, &server, start, None);
    start_times.forget_first_list();
    let again = start_times.resolve(&clock, &server, start, Some(Instant::now()));
    assert_eq!(first, again);
    start_times.forget_first_list();
    let restarted = start_times.resolve(&clock, &server, start + 1, Some(Instant::now()));
    assert!(restarted > first);
}
