use super::*;

const FAIR_LOAD: f64 = 10.0;

fn at_seconds(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000_000)
}

#[test]
fn an_overload_lowers_the_limit_but_not_below_a_fraction_of_the_fair_load() {
    let mut limit = ConcurrencyLimit::default();
    limit.apply_overload(at_seconds(1), 8.0, 0.75, FAIR_LOAD);
    assert!((limit.max_load - 6.0).abs() < 1e-9);
    limit.apply_overload(at_seconds(2), 0.5, 0.5, FAIR_LOAD);
    assert!((limit.max_load - 1.0).abs() < 1e-9);
    limit.apply_overload(at_seconds(3), 80.0, 0.9, FAIR_LOAD);
    assert!((limit.max_load - 1.0).abs() < 1e-9, "never raised");
}

#[test]
fn a_report_sets_the_limit_of_an_overloaded_server_and_removes_that_of_others() {
    let mut limit = ConcurrencyLimit::default();
    limit.apply_report(at_seconds(1), 20.0, 1.0);
    assert!((limit.max_load - 17.0).abs() < 1e-9);
    assert_eq!(limit.overloaded_at, Some(at_seconds(1)));
    limit.apply_report(at_seconds(2), 20.0, 0.5);
    assert!(limit.max_load.is_infinite());
}

#[test]
fn a_limit_rises_faster_the_longer_ago_the_overload_was() {
    let mut limit = ConcurrencyLimit::default();
    limit.apply_overload(at_seconds(10), 8.0, 0.5, FAIR_LOAD);
    for (seconds, rise) in [(12, 0.0), (13, 0.05), (14, 0.05), (15, 0.2)] {
        let before = limit.max_load;
        limit.recover(at_seconds(seconds), FAIR_LOAD);
        let risen = limit.max_load - before;
        assert!((risen - rise).abs() < 1e-9, "at {seconds} s: {risen}");
    }
}

#[test]
fn a_raised_limit_is_at_least_the_present_load() {
    let mut limit = ConcurrencyLimit::default();
    limit.apply_overload(at_seconds(1), 8.0, 0.5, FAIR_LOAD);
    limit.raise_to(at_seconds(2), 9.0);
    assert!((limit.max_load - 9.0).abs() < 1e-9);
    assert_eq!(limit.raised_at, Some(at_seconds(2)));
}
