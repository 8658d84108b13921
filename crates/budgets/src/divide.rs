//! Division of a capacity into limits by max-min fairness, in whole units.

/// The demand and the current limit of one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The units that the holder needs, as estimated by [`DemandEstimator`](crate::demand::DemandEstimator).
    pub demand: u32,
    /// The limit of the holder's current lease.
    pub current_limit: u32,
}

/// 1/`RESERVE_DIVISOR` of the capacity that no holder demands is reserved for new holders.
const RESERVE_DIVISOR: u32 = 10;
/// Changes of a limit by up to 1/`HYSTERESIS_DIVISOR` of its value are skipped, unless the demand exceeds the limit
/// or is zero.
const HYSTERESIS_DIVISOR: u32 = 8;
/// A limit whose units are in use shrinks by at most this factor at a time.
const SHRINK_DIVISOR: u32 = 2;

/// Returns the next limits, in the order of the claims.
///
/// The sum may exceed the capacity, since limits above their share shrink in steps. In that case the replicated state
/// reduces grants to the available capacity. `rotation` shifts which holders get the units that can't be divided
/// evenly.
pub fn divide(capacity: u32, claims: &[Claim], rotation: u64) -> Vec<u32> {
    let demands: Vec<u32> = claims.iter().map(|claim| claim.demand).collect();
    let demanded_shares = max_min_shares(capacity, &demands, rotation);
    let undemanded = capacity - saturating_sum(&demanded_shares);
    // Most of the undemanded capacity is divided as well, so that a node whose demand rises has units available
    // immediately.
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

/// A holder's next limit on its way to the target.
fn next_limit(claim: Claim, target: u32) -> u32 {
    if target < claim.current_limit {
        shrunk_limit(claim, target)
    } else {
        grown_limit(claim, target)
    }
}

/// Units in use are released in steps, unused ones immediately.
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

/// Raises all shares evenly until the capacity is used up or each demand is met. Leftover units are distributed among
/// the claims by `rotation`.
fn max_min_shares(capacity: u32, demands: &[u32], rotation: u64) -> Vec<u32> {
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by_key(|index| demands[*index]);
    let mut shares = vec![0; demands.len()];
    let mut remaining = capacity;
    for (met_count, index) in by_demand.iter().enumerate() {
        let unmet_count = u32::try_from(by_demand.len() - met_count).unwrap_or(u32::MAX);
        if demands[*index] > remaining / unmet_count {
            // None of the remaining demands can be met in full either.
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

/// Divides the units evenly among these claims. `rotation` determines which claims get one of the leftover units.
fn share_evenly(units: u32, claim_indexes: &[usize], rotation: u64, shares: &mut [u32]) {
    let claim_count = u32::try_from(claim_indexes.len()).unwrap_or(u32::MAX);
    let even_share = units / claim_count;
    let leftover = (units - even_share * claim_count) as usize;
    for (position, index) in claim_indexes.iter().enumerate() {
        let rotated = (position as u64 + rotation) % claim_indexes.len() as u64;
        let gets_extra = (rotated as usize) < leftover;
        shares[*index] = even_share + u32::from(gets_extra);
    }
}

#[cfg(test)]
mod tests;
