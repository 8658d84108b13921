//! Division of a capacity into limits: max-min fair by demand, in whole units.

/// What one holder asks for and has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The units that it needs, as [`DemandEstimator`](crate::demand::DemandEstimator) says.
    pub demand: u32,
    /// The limit of its current lease.
    pub current_limit: u32,
}

/// Of the capacity that nobody demands, this fraction (one in so many units) is reserved for new holders.
const RESERVE_DIVISOR: u32 = 10;
/// A limit is not changed by less than itself divided by this, unless the demand calls for it.
const HYSTERESIS_DIVISOR: u32 = 8;
/// A limit whose units are in use shrinks by this factor at a time.
const SHRINK_DIVISOR: u32 = 2;

/// The next limits, in the order of the claims.
///
/// Their sum exceeds the capacity only by what holders keep that have more than their share, since limits shrink in
/// steps; the replicated state cuts grants to what is available. `rotation` shifts which holders get the units that
/// can't be divided evenly.
pub fn divide(capacity: u32, claims: &[Claim], rotation: u64) -> Vec<u32> {
    let demands: Vec<u32> = claims.iter().map(|claim| claim.demand).collect();
    let demanded_shares = max_min_shares(capacity, &demands, rotation);
    let undemanded = capacity - saturating_sum(&demanded_shares);
    // Nearly all that nobody demands is handed out as well: a node that becomes active has something at once.
    let spare = undemanded - undemanded / RESERVE_DIVISOR;
    let unbounded = vec![u32::MAX; claims.len()];
    let spare_shares = max_min_shares(spare, &unbounded, rotation);
    claims
        .iter()
        .zip(demanded_shares)
        .zip(spare_shares)
        .map(|((claim, demanded), spare)| next_limit(*claim, demanded + spare))
        .collect()
}

/// A holder's next limit on the way to its target.
fn next_limit(claim: Claim, target: u32) -> u32 {
    if target < claim.current_limit {
        shrunk_limit(claim, target)
    } else {
        grown_limit(claim, target)
    }
}

/// Units in use are given up in steps, unused ones at once.
fn shrunk_limit(claim: Claim, target: u32) -> u32 {
    let current = claim.current_limit;
    let is_small_change = current - target <= current / HYSTERESIS_DIVISOR;
    if is_small_change && claim.demand > 0 {
        return current;
    }
    let kept_in_use = (current / SHRINK_DIVISOR).min(claim.demand);
    target.max(kept_in_use)
}

fn grown_limit(claim: Claim, target: u32) -> u32 {
    let current = claim.current_limit;
    let is_large_change = target - current > current / HYSTERESIS_DIVISOR;
    if is_large_change || claim.demand > current {
        target
    } else {
        current
    }
}

fn saturating_sum(shares: &[u32]) -> u32 {
    shares
        .iter()
        .fold(0, |sum, share| sum.saturating_add(*share))
}

/// Raises all shares evenly until the capacity is used up or each demand is met. Single units that are left over go to
/// the claims in turn, by `rotation`.
fn max_min_shares(capacity: u32, demands: &[u32], rotation: u64) -> Vec<u32> {
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by_key(|index| demands[*index]);
    let mut shares = vec![0; demands.len()];
    let mut remaining = capacity;
    for (met_count, index) in by_demand.iter().enumerate() {
        let unmet_count = u32::try_from(by_demand.len() - met_count).unwrap_or(u32::MAX);
        if demands[*index] > remaining / unmet_count {
            // None of the others can be met in full either.
            let mut unmet = by_demand[met_count..].to_vec();
            unmet.sort_unstable();
            share_evenly(remaining, &unmet, rotation, &mut shares);
            return shares;
        }
        shares[*index] = demands[*index];
        remaining -= demands[*index];
    }
    shares
}

/// Divides the units evenly among these claims; those that are left over go to some of them, by `rotation`.
fn share_evenly(units: u32, claim_indexes: &[usize], rotation: u64, shares: &mut [u32]) {
    let claim_count = u32::try_from(claim_indexes.len()).unwrap_or(u32::MAX);
    let each = units / claim_count;
    let leftover = (units - each * claim_count) as usize;
    for (position, index) in claim_indexes.iter().enumerate() {
        let rotated = (position as u64 + rotation) % claim_indexes.len() as u64;
        let gets_extra = (rotated as usize) < leftover;
        shares[*index] = each + u32::from(gets_extra);
    }
}

#[cfg(test)]
mod tests;
