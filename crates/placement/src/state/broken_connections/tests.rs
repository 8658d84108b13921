use super::*;

const MAX_AGE: Duration = Duration::from_secs(2);

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

#[test]
fn breaks_count_until_they_are_too_old() {
    let mut broken = BrokenConnections::default();
    for millis in [1_000, 1_000, 1_900] {
        broken.record(at_millis(millis), MAX_AGE);
    }
    assert_eq!(broken.count_within(at_millis(2_999), MAX_AGE), 3);
    assert_eq!(broken.count_within(at_millis(3_000), MAX_AGE), 1);
    assert_eq!(broken.count_within(at_millis(3_900), MAX_AGE), 0);
}

#[test]
fn the_number_of_entries_is_bounded_and_no_break_is_dropped_early() {
    let mut broken = BrokenConnections::default();
    for millis in 0..1_000 {
        broken.record(at_millis(millis), MAX_AGE);
    }
    assert_eq!(broken.counts.len(), MAX_ENTRIES);
    assert_eq!(broken.count_within(at_millis(1_000), MAX_AGE), 1_000);
    assert!(broken.count_within(at_millis(2_900), MAX_AGE) >= 900);
}
