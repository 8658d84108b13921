use super::*;
use rstest::rstest;

#[rstest]
#[case::idle(&[(0, false)], 0)]
#[case::nothing_held_and_something_came(&[(0, true)], 1)]
#[case::what_was_used(&[(8, false)], 8)]
#[case::more_came_than_was_allowed(&[(8, true)], 12)]
#[case::falls_slowly(&[(8, true), (0, false)], 9)]
#[case::falls_to_nothing(&[(1, false), (0, false), (0, false)], 0)]
#[case::grows_at_once(&[(0, false), (40, false)], 40)]
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
