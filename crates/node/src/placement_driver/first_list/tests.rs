use super::*;
use rstest::rstest;
use std::time::{SystemTime, UNIX_EPOCH};

const SLOW_START: Duration = Duration::from_secs(20);
const LONG_AGO_MS: u64 = 0;

fn unix_ms_before(age_seconds: u64) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (since_epoch.as_millis() as u64) - age_seconds * 1_000
}

fn listed_start(number: usize, health: Health, started_at_ms: u64) -> ListedStart {
    ListedStart {
        server: ServerId::from(format!("s-{number}").as_str()),
        health,
        started_at_ms,
    }
}

/// Ages are by this machine's clock, in seconds.
#[rstest]
#[case::none_started_lately(&[], 5, false)]
#[case::one_may_have_just_started(&[3_600], 2, true)]
#[case::the_clock_shows_slow_start(&[3, 3_600], 5, false)]
#[case::a_third_started_together(&[3_600, 3_601], 4, true)]
#[case::more_than_a_third_started_together(&[3_600, 3_601, 3_602], 4, false)]
#[case::others_started_earlier(&[3_600, 7_200, 7_201], 0, true)]
fn latest_starts_are_suspect_only_if_they_are_few(
    #[case] ages_seconds: &[u64],
    #[case] long_ago: usize,
    #[case] is_clock_suspected: bool,
) {
    let listed = ages_seconds.iter().map(|age| unix_ms_before(*age));
    let old = std::iter::repeat_n(LONG_AGO_MS, long_ago);
    let mut starts = FirstListStarts::default();
    for (number, started_at_ms) in listed.chain(old).enumerate() {
        starts.set(listed_start(number, Health::Ready, started_at_ms));
    }
    let suspected = starts.suspected_now_ms(&PlacementClock::start(), SLOW_START);
    assert_eq!(suspected.is_some(), is_clock_suspected);
}

#[test]
fn draining_servers_are_ignored() {
    let mut starts = FirstListStarts::default();
    starts.set(listed_start(0, Health::Draining, unix_ms_before(3_600)));
    starts.set(listed_start(1, Health::Ready, LONG_AGO_MS));
    starts.set(listed_start(2, Health::Ready, LONG_AGO_MS));
    let clock = PlacementClock::start();
    assert_eq!(starts.suspected_now_ms(&clock, SLOW_START), None);
}
