use super::*;
use rstest::rstest;

#[rstest]
#[case::idle(&[(0, false)], 0)]
#[case::a_rejected_request_without_a_limit(&[(0, true)], 1)]
#[case::the_peak_usage(&[(8, false)], 8)]
#[case::limited_usage_adds_half(&[(8, true)], 12)]
#[case::decreases_slowly(&[(8, true), (0, false)], 9)]
#[case::decreases_to_zero(&[(1, false), (0, false), (0, false)], 0)]
#[case::grows_immediately(&[(0, false), (40, false)], 40)]
#[case::no_overflow(&[(u32::MAX, true)], u32::MAX)]
fn the_demand_follows_the_usage(#[case] usages: &[(u32, bool)], #[case] demand: u32) {
    let mut estimator = DemandEstimator::default();
    let demands = usages.iter().map(|(peak, was_limited)| {
        estimator.update(BudgetUsage {
            peak: *peak,
            was_limited: *was_limited,
        })
    });
    assert_eq!(demands.last(), Some(demand));
}
