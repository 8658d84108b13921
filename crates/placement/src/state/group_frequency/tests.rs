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
