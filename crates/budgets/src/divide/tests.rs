use super::*;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::all_are_met_and_a_tenth_of_the_rest_is_reserved(20, &[2, 4, 0], &[7, 8, 4])]
#[case::the_largest_demand_gets_the_remaining_units(16, &[1, 1, 30, 1], &[1, 1, 13, 1])]
#[case::two_large_demands_share(16, &[2, 30, 40], &[2, 7, 7])]
#[case::more_nodes_than_units(2, &[5, 5, 5], &[1, 1, 0])]
#[case::nothing_to_divide(0, &[5], &[0])]
#[case::no_claims(8, &[], &[])]
fn demands_are_met_from_the_smallest_on(
    #[case] capacity: u32,
    #[case] demands: &[u32],
    #[case] limits: &[u32],
) {
    let claims: Vec<Claim> = demands
        .iter()
        .map(|demand| Claim {
            demand: *demand,
            current_limit: 0,
        })
        .collect();
    assert_eq!(divide(capacity, &claims, 0), limits);
}

#[rstest]
#[case::a_limit_in_use_shrinks_by_half(16, 16, 1, 8)]
#[case::an_unused_limit_shrinks_immediately(16, 0, 1, 1)]
#[case::a_small_change_is_skipped(16, 14, 14, 16)]
#[case::the_last_unit_is_released(1, 0, 0, 0)]
#[case::a_met_demand_keeps_its_limit(8, 8, 8, 8)]
#[case::small_growth_for_spare_units_is_skipped(16, 3, 17, 16)]
#[case::small_growth_for_a_demand_is_applied(16, 17, 17, 17)]
fn a_limit_moves_towards_its_target_in_steps(
    #[case] current_limit: u32,
    #[case] demand: u32,
    #[case] target: u32,
    #[case] next: u32,
) {
    assert_eq!(
        next_limit(
            Claim {
                demand,
                current_limit
            },
            target
        ),
        next
    );
}

proptest! {
    /// Max-min fairness: a claim whose demand is not met gets at least as much as any other claim, minus one unit.
    /// Over all rotations, each claim with a demand gets at least one unit if there is any capacity.
    #[test]
    fn no_claim_gets_less_than_another_unless_it_demands_less(
        capacity in 0..2_000u32,
        demands in proptest::collection::vec(0..300u32, 1..40),
    ) {
        let (mut highest_sum, mut totals) = (0, vec![0u64; demands.len()]);
        for rotation in 0..demands.len() as u64 {
            let shares = max_min_shares(capacity, &demands, rotation);
            highest_sum = highest_sum.max(saturating_sum(&shares));
            for (index, share) in shares.iter().enumerate() {
                totals[index] += u64::from(*share);
                prop_assert!(*share <= demands[index]);
                let largest_share = shares.iter().max().copied().unwrap_or(0);
                prop_assert!(*share == demands[index] || share + 1 >= largest_share, "{shares:?} of {demands:?}");
            }
        }
        prop_assert_eq!(highest_sum, capacity.min(demands.iter().sum()));
        let starved = totals.iter().zip(&demands).any(|(total, demand)| *total == 0 && *demand > 0);
        prop_assert!(capacity == 0 || !starved, "{:?} of {:?}", totals, demands);
    }

    #[test]
    fn new_limits_stay_within_the_capacity(
        capacity in 0..2_000u32,
        demands in proptest::collection::vec(any::<u32>(), 0..40),
        rotation in any::<u64>(),
    ) {
        let claims: Vec<Claim> = demands.iter().map(|demand| Claim { demand: *demand, current_limit: 0 }).collect();
        prop_assert!(saturating_sum(&divide(capacity, &claims, rotation)) <= capacity);
    }
}
