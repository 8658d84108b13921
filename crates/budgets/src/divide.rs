//! The division: max-min over what is wanted, in whole units.

/// One holder's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it demands; see `need`.
    pub demand: u32,
    /// What it holds now.
    pub holding: u32,
}

/// Of what nobody demands this part stays for newcomers.
const RESERVE: u32 = 10;
/// A change of a slice by less than this part is not made.
const STILL: u32 = 8;

/// The slices, in the order of the claims. They never sum up to more than the capacity, but for what pace and hysteresis leave
/// with holders that have more than their due; the log cuts grants down to what is left. `turn` shifts who gets what
/// can't be divided evenly.
pub fn divide(capacity: u32, claims: &[Claim], turn: u64) -> Vec<u32> {
    let demands: Vec<u32> = claims.iter().map(|claim| claim.demand).collect();
    let mut due = level(capacity, &demands, turn);
    let left = capacity - sum(&due);
    // Nearly all that nobody demands is given out all the same: a node that wakes has something at once.
    let slack = level(left - left / RESERVE, &vec![u32::MAX; claims.len()], turn);
    due.iter_mut()
        .zip(slack)
        .for_each(|(due, slack)| *due += slack);
    let paced = claims.iter().zip(due).map(|(claim, due)| pace(claim, due));
    paced.collect()
}

/// A holder's next slice on the way to what is due.
fn pace(claim: &Claim, due: u32) -> u32 {
    let holds = claim.holding;
    if due < holds {
        let still = holds - due <= holds / STILL && claim.demand > 0;
        // What is in use falls by half at a time; what is not goes at once.
        return if still {
            holds
        } else {
            due.max((holds / 2).min(claim.demand))
        };
    }
    let grows = due - holds > holds / STILL || claim.demand > holds;
    if grows {
        due
    } else {
        holds
    }
}

fn sum(parts: &[u32]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(*part))
}

/// Fills all up evenly until the capacity is out or each has what it demands; single units that are left go round by turns.
fn level(capacity: u32, demands: &[u32], turn: u64) -> Vec<u32> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|at| demands[*at]);
    let (mut parts, mut left) = (vec![0; demands.len()], capacity);
    for (done, at) in order.iter().enumerate() {
        let open = u32::try_from(order.len() - done).unwrap_or(u32::MAX);
        let each = left / open;
        if demands[*at] > each {
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
        parts[*at] = demands[*at];
        left -= demands[*at];
    }
    parts
}

#[cfg(test)]
mod tests;
