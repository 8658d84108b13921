use super::*;

const NO_JITTER: f64 = 0.5;

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

#[test]
fn an_ejection_is_due_after_two_failures_in_a_row() {
    let mut ejection = Ejection::default();
    ejection.consecutive_failures += 1;
    assert!(!ejection.is_due(at_millis(0)));
    ejection.consecutive_failures += 1;
    assert!(ejection.is_due(at_millis(0)));
    ejection.record_success();
    assert!(!ejection.is_due(at_millis(0)));
}

#[test]
fn each_ejection_lasts_twice_as_long_up_to_a_bound() {
    let mut ejection = Ejection::default();
    for seconds in [1, 2, 4, 8, 8] {
        ejection.eject(at_millis(0), NO_JITTER);
        assert_eq!(ejection.until, Some(at_millis(seconds * 1_000)));
    }
}

#[test]
fn after_an_ejection_one_attempt_at_a_time_is_let_through() {
    let mut ejection = Ejection::default();
    ejection.eject(at_millis(0), NO_JITTER);
    assert!(ejection.blocks(at_millis(999)));
    assert!(!ejection.blocks(at_millis(1_000)));
    ejection.is_half_open = true;
    assert!(ejection.blocks(at_millis(1_000)));
    ejection.record_success();
    assert!(!ejection.blocks(at_millis(1_000)));
}

#[test]
fn an_ejection_is_extended_but_never_shortened() {
    let mut ejection = Ejection::default();
    ejection.extend_until(at_millis(500));
    ejection.extend_until(at_millis(300));
    assert_eq!(ejection.until, Some(at_millis(500)));
}

#[test]
fn a_new_process_starts_without_evidence() {
    let mut ejection = Ejection {
        consecutive_failures: 1,
        is_zone_unreachable: true,
        ..Ejection::default()
    };
    ejection.eject(at_millis(0), NO_JITTER);
    ejection.reset_for_new_process();
    assert!(!ejection.blocks(at_millis(0)));
    assert!(!ejection.is_zone_unreachable);
    ejection.eject(at_millis(0), NO_JITTER);
    assert_eq!(
        ejection.until,
        Some(at_millis(1_000)),
        "lasts as long as a first ejection"
    );
}
