//! The division: max-min over what is wanted, in whole units.

/// One holder's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it wants; see `need`.
    pub want: u32,
    /// What it holds now.
    pub holds: u32,
}

/// Of what nobody wants this part stays for newcomers.
const RESERVE: u32 = 10;
/// A change of a slice by less than this part is not made.
const STILL: u32 = 8;

/// The slices, in the order of the claims. They never sum up to more than the whole, but for what pace and hysteresis leave
/// with holders that have more than their due; the log cuts grants down to what is left. `turn` shifts who gets what
/// can't be divided evenly.
pub fn divide(whole: u32, claims: &[Claim], turn: u64) -> Vec<u32> {
    let wants: Vec<u32> = claims.iter().map(|claim| claim.want).collect();
    let mut due = level(whole, &wants, turn);
    let left = whole - sum(&due);
    // Nearly all that nobody wants is given out all the same: a node that wakes has something at once.
    let slack = level(left - left / RESERVE, &vec![u32::MAX; claims.len()], turn);
    due.iter_mut().zip(slack).for_each(|(due, slack)| *due += slack);
    let paced = claims.iter().zip(due).map(|(claim, due)| pace(claim, due));
    paced.collect()
}

/// A holder's next slice on the way to what is due.
fn pace(claim: &Claim, due: u32) -> u32 {
    let holds = claim.holds;
    if due < holds {
        let still = holds - due <= holds / STILL && claim.want > 0;
        // What is in use falls by half at a time; what is not goes at once.
        return if still { holds } else { due.max((holds / 2).min(claim.want)) };
    }
    let grows = due - holds > holds / STILL || claim.want > holds;
    if grows {
        due
    } else {
        holds
    }
}

fn sum(parts: &[u32]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(*part))
}

/// Fills all up evenly until the whole is out or each has what it wants; single units that are left go round by turns.
fn level(whole: u32, wants: &[u32], turn: u64) -> Vec<u32> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|at| wants[*at]);
    let (mut parts, mut left) = (vec![0; wants.len()], whole);
    for (done, at) in order.iter().enumerate() {
        let open = u32::try_from(order.len() - done).unwrap_or(u32::MAX);
        let each = left / open;
        if wants[*at] > each {
            // None of the rest is met: they share evenly, and by turns what can't be.
            let rest: Vec<usize> = {
                let mut rest = order[done..].to_vec();
                rest.sort_unstable();
                rest
            };
            let over = (left - each * open) as usize;
            for (place, at) in rest.iter().enumerate() {
                let shifted = (place as u64 + turn) % rest.len() as u64;
                parts[*at] = each + u32::from((shifted as usize) < over);
            }
            return parts;
        }
        parts[*at] = wants[*at];
        left -= wants[*at];
    }
    parts
}

#[cfg(test)]
mod tests {
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
    fn wants_are_met_from_the_least_on(#[case] whole: u32, #[case] wants: &[u32], #[case] slices: &[u32]) {
        let claims: Vec<Claim> = wants.iter().map(|want| Claim { want: *want, holds: 0 }).collect();
        assert_eq!(divide(whole, &claims, 0), slices);
    }

    #[rstest]
    #[case::what_is_in_use_falls_by_half(16, 16, 1, 8)]
    #[case::what_is_not_goes_at_once(16, 0, 1, 1)]
    #[case::a_small_change_is_not_made(16, 14, 14, 16)]
    #[case::the_last_one_goes(1, 0, 0, 0)]
    #[case::a_met_want_does_not_swing(8, 8, 8, 8)]
    #[case::a_small_growth_is_not_made_for_slack(16, 3, 17, 16)]
    #[case::but_for_a_want(16, 17, 17, 17)]
    fn a_slice_moves_at_its_pace(#[case] holds: u32, #[case] want: u32, #[case] due: u32, #[case] next: u32) {
        assert_eq!(pace(&Claim { want, holds }, due), next);
    }

    proptest! {
        /// Whoever gets less than it wants gets as much as anybody, but for one unit: that is what max-min says. And nobody
        /// is left without for ever.
        #[test]
        fn nobody_has_less_than_another_unless_it_wants_less(
            whole in 0..2_000u32,
            wants in proptest::collection::vec(0..300u32, 1..40),
        ) {
            let (mut most, mut totals) = (0, vec![0u64; wants.len()]);
            for turn in 0..wants.len() as u64 {
                let parts = level(whole, &wants, turn);
                most = most.max(sum(&parts));
                for (at, part) in parts.iter().enumerate() {
                    totals[at] += u64::from(*part);
                    prop_assert!(*part <= wants[at]);
                    let richest = parts.iter().max().copied().unwrap_or(0);
                    prop_assert!(*part == wants[at] || part + 1 >= richest, "{parts:?} of {wants:?}");
                }
            }
            prop_assert_eq!(most, whole.min(wants.iter().sum()));
            let starved = totals.iter().zip(&wants).any(|(total, want)| *total == 0 && *want > 0);
            prop_assert!(whole == 0 || !starved, "{:?} of {:?}", totals, wants);
        }

        #[test]
        fn fresh_slices_stay_within_the_whole(
            whole in 0..2_000u32,
            wants in proptest::collection::vec(any::<u32>(), 0..40),
            turn in any::<u64>(),
        ) {
            let claims: Vec<Claim> = wants.iter().map(|want| Claim { want: *want, holds: 0 }).collect();
            prop_assert!(sum(&divide(whole, &claims, turn)) <= whole);
        }
    }
}
