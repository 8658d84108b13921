use super::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(2);

fn at_seconds(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000_000)
}

fn lease(limit: u32, floor: u32, expires_at: u64) -> SlowStartLease {
    SlowStartLease {
        fleet_share: 0.5,
        limit,
        expires_at: Some(at_seconds(expires_at)),
        floor,
        window: WINDOW,
    }
}

fn full_budget() -> SlowStartBudget {
    let mut budget = SlowStartBudget::new(0.5);
    budget.add(100.0);
    budget
}

#[test]
fn without_a_lease_an_attempt_is_allowed_above_the_threshold() {
    let mut budget = SlowStartBudget::new(0.5);
    assert!(!budget.allows_attempt(at_seconds(1)));
    budget.add(1.2);
    assert!(budget.allows_attempt(at_seconds(1)));
    budget.spend(at_seconds(1), 0.1);
    assert!(
        budget.allows_attempt(at_seconds(1)),
        "0.2 above a threshold of 0.1"
    );
    budget.refill(5.0, 0.05);
    assert!(!budget.allows_attempt(at_seconds(1)), "bounded to 0.05");
}

#[test]
fn a_lease_bounds_the_attempts_of_each_window() {
    let mut budget = full_budget();
    budget.set_lease(Some(lease(2, 0, 60)));
    for _ in 0..2 {
        assert!(budget.allows_attempt(at_seconds(10)));
        budget.spend(at_seconds(10), 0.5);
    }
    assert!(!budget.allows_attempt(at_seconds(11)));
    assert!(
        budget.allows_attempt(at_seconds(12)),
        "the window has moved on"
    );
}

#[test]
fn only_the_floor_of_an_expired_lease_remains() {
    let mut budget = full_budget();
    budget.set_lease(Some(lease(5, 1, 20)));
    assert!(budget.allows_attempt(at_seconds(20)));
    budget.spend(at_seconds(20), 0.5);
    assert!(!budget.allows_attempt(at_seconds(20)));
}

#[test]
fn usage_reports_the_busiest_window_and_an_exhausted_lease() {
    let mut budget = full_budget();
    budget.set_lease(Some(lease(2, 0, 60)));
    for _ in 0..2 {
        budget.spend(at_seconds(10), 0.5);
    }
    assert!(!budget.allows_attempt(at_seconds(10)));
    budget.record_demand();
    assert!(budget.allows_attempt(at_seconds(30)));
    let used = SlowStartUsage {
        max_attempts_in_window: 2,
        was_exhausted: true,
    };
    assert_eq!(budget.take_usage(), used);
    let unused = SlowStartUsage {
        max_attempts_in_window: 0,
        was_exhausted: false,
    };
    assert_eq!(budget.take_usage(), unused);
}

#[test]
fn a_valid_lease_replaces_the_node_count() {
    let mut budget = SlowStartBudget::new(0.0);
    assert!((budget.saved_per_node(at_seconds(1), 30) - 0.1).abs() < 1e-9);
    budget.set_lease(Some(lease(1, 0, 5)));
    assert!((budget.saved_per_node(at_seconds(1), 30) - 1.5).abs() < 1e-9);
    assert!((budget.saved_per_node(at_seconds(5), 30) - 0.1).abs() < 1e-9);
}
