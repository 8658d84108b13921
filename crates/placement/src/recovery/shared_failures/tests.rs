use super::*;

#[test]
fn failures_at_one_server_are_not_shared() {
    let mut detector = SharedFailureDetector::default();
    for _ in 0..100 {
        detector.record_failure(1);
    }
    assert!(!detector.is_detected());
}

#[test]
fn failures_at_one_server_after_another_are_shared() {
    let mut detector = SharedFailureDetector::default();
    for server in 1..=3 {
        detector.record_failure(server);
    }
    assert!(!detector.is_detected());
    detector.record_failure(4);
    assert!(detector.is_detected());
}

#[test]
fn successes_between_failures_keep_them_from_being_shared() {
    let mut detector = SharedFailureDetector::default();
    for server in 1..=100 {
        detector.record_failure(server);
        detector.record_success();
        detector.record_success();
    }
    assert!(!detector.is_detected());
}

#[test]
fn a_reset_forgets_failures_with_another_cause() {
    let mut detector = SharedFailureDetector::default();
    for server in 1..=10 {
        detector.record_failure(server);
    }
    detector.reset();
    assert!(!detector.is_detected());
}
