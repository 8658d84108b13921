use super::*;

#[test]
fn the_last_request_of_a_group_is_left_out() {
    let mut frequency = GroupFrequency::default();
    frequency.record(1);
    assert!(frequency.other_request_ratio(1).abs() < 1e-9);
    for _ in 0..2 {
        frequency.record(1);
    }
    frequency.record(2);
    frequency.record(2);
    assert!((frequency.other_request_ratio(1) - 0.5).abs() < 1e-9);
    assert!((frequency.other_request_ratio(2) - 0.25).abs() < 1e-9);
}

#[test]
fn old_requests_count_less_until_their_group_is_dropped() {
    let mut frequency = GroupFrequency::default();
    for _ in 0..3 {
        frequency.record(1);
    }
    frequency.decay();
    let recent = frequency.by_group.get(&1).copied().unwrap_or_default();
    assert!((recent - 2.94).abs() < 1e-9);
    for _ in 0..200 {
        frequency.decay();
    }
    assert!(frequency.by_group.is_empty());
}

/// Clients that sent ever new groups made the node keep each of them for two minutes, over its memory limit.
#[test]
fn ever_new_groups_are_bounded_and_push_out_no_frequent_group() {
    const GROUPS_PER_SECOND: u32 = 10_000;
    const SECONDS: u32 = 120;
    const FREQUENT: u32 = u32::MAX;
    let mut frequency = GroupFrequency::default();
    for second in 0..SECONDS {
        for group in 0..GROUPS_PER_SECOND {
            frequency.record(second * GROUPS_PER_SECOND + group);
            assert!(frequency.by_group.len() <= MAX_GROUPS);
            assert!(frequency.by_group.capacity() <= 2 * MAX_GROUPS);
        }
        frequency.record(FREQUENT);
        frequency.decay();
    }
    // One request a second, decaying by a fiftieth each second.
    let requests = frequency.by_group[&FREQUENT];
    assert!((40.0..50.0).contains(&requests), "{requests}");
    assert!(frequency.by_group.capacity() <= 2 * MAX_GROUPS);
}

/// Where there are too many groups, the earliest ones are dropped.
#[test]
fn a_group_that_was_seen_once_outlives_earlier_ones() {
    let mut frequency = GroupFrequency::default();
    for group in 0..MAX_GROUPS as u32 {
        if group % 1_000 == 0 {
            frequency.decay();
        }
        frequency.record(group);
    }
    let latest = MAX_GROUPS as u32;
    frequency.record(latest);
    assert!(frequency.by_group.contains_key(&(latest - 1_500)));
    assert!(!frequency.by_group.contains_key(&0), "the earliest one");
    assert!(frequency.other_request_ratio(latest) < 1e-9, "seen once");
}
