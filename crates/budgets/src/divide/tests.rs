use super::*;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::all_are_met_and_of_the_rest_a_tenth_stays(20, &[2, 4, 0], &[7, 8, 4])]
#[case::the_hot_one_gets_what_others_leave(16, &[1, 1, 30, 1], &[1, 1, 13, 1])]
#[case::two_hot_ones_share(16, &[2, 30, 40], &[2, 7, 7])]
#[case::more_nodes_than_units(2, &[5, 5, 5], &[1, 1, 0])]
#[case::nothing_to_divide(0, &[5], &[0])]
#[case::nobody(8, &[], &[])]
fn wants_are_met_from_the_least_on(
    #[case] capacity: u32,
    #[case] demands: &[u32],
    #[case] slices: &[u32],
) {
    let claims: Vec<Claim> = demands
        .iter()
        .map(|demand| Claim {
            demand: *demand,
            holding: 0,
        })
        .collect();
    assert_eq!(divide(capacity, &claims, 0), slices);
}

#[rstest]
#[case::what_is_in_use_falls_by_half(16, 16, 1, 8)]
#[case::what_is_not_goes_at_once(16, 0, 1, 1)]
#[case::a_small_change_is_not_made(16, 14, 14, 16)]
#[case::the_last_one_goes(1, 0, 0, 0)]
#[case::a_met_want_does_not_swing(8, 8, 8, 8)]
#[case::a_small_growth_is_not_made_for_slack(16, 3, 17, 16)]
#[case::but_for_a_want(16, 17, 17, 17)]
fn a_slice_moves_at_its_pace(
    #[case] holds: u32,
    #[case] demand: u32,
    #[case] due: u32,
    #[case] next: u32,
) {
    assert_eq!(
        pace(
            &Claim {
                demand,
                holding: holds
            },
            due
        ),
        next
    );
}

proptest! {
    /// Whoever gets less than it demands gets as much as anybody, but for one unit: that is what max-min says. And nobody
    /// is left without for ever.
    #[test]
    fn nobody_has_less_than_another_unless_it_wants_less(
        capacity in 0..2_000u32,
        demands in proptest::collection::vec(0..300u32, 1..40),
    ) {
        let (mut most, mut totals) = (0, vec![0u64; demands.len()]);
        for turn in 0..demands.len() as u64 {
            let parts = level(capacity, &demands, turn);
            most = most.max(sum(&parts));
            for (at, part) in parts.iter().enumerate() {
                totals[at] += u64::from(*part);
                prop_assert!(*part <= demands[at]);
                let richest = parts.iter().max().copied().unwrap_or(0);
                prop_assert!(*part == demands[at] || part + 1 >= richest, "{parts:?} of {demands:?}");
            }
        }
        prop_assert_eq!(most, capacity.min(demands.iter().sum()));
        let starved = totals.iter().zip(&demands).any(|(total, demand)| *total == 0 && *demand > 0);
        prop_assert!(capacity == 0 || !starved, "{:?} of {:?}", totals, demands);
    }

    #[test]
    fn fresh_slices_stay_within_the_whole(
        capacity in 0..2_000u32,
        demands in proptest::collection::vec(any::<u32>(), 0..40),
        turn in any::<u64>(),
    ) {
        let claims: Vec<Claim> = demands.iter().map(|demand| Claim { demand: *demand, holding: 0 }).collect();
        prop_assert!(sum(&divide(capacity, &claims, turn)) <= capacity);
    }
}
