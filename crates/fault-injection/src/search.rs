//! Looks for the worst: draws time lines of faults, keeps the one that does most harm, and leaves out of it what does not
//! matter.

use crate::run::{run, Options, Outcome};
use crate::scenario::{Fault, Kind, Scenario};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use toml::Spanned;

/// Faults in one time line.
const MOST: usize = 4;

/// What a hunt found.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    /// Trials that were run, and those in which a rule broke.
    pub runs: usize,
    /// See `runs`.
    pub broken: usize,
    /// The worst one, with the fewest faults that still do it.
    pub worst: Option<Outcome>,
    /// Of each trial: its seed, service, the budget's peak against its whole, and broken rules.
    pub trials: Vec<(u64, f64, u32, u32, usize)>,
}

/// How bad it was: broken rules first, then what nobody answered, then what was not served.
fn harm(outcome: &Outcome) -> (usize, u64, u64) {
    let unserved = ((1.0 - outcome.service) * 1000.0) as u64;
    (outcome.judge.broken.len(), outcome.unanswered, unserved)
}

/// Draws a time line for this scenario.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 16 | 5);
    let (seconds, nodes) = (*scenario.seconds.get_ref(), *scenario.nodes.get_ref());
    let kinds = [
        Kind::Kill,
        Kind::Freeze,
        Kind::Term,
        Kind::Loop,
        Kind::Cut,
        Kind::Loss,
        Kind::Double,
        Kind::Reorder,
        Kind::Delay,
        Kind::Jitter,
        Kind::Reset,
        Kind::Join,
    ];
    let many = random.random_range(1..=MOST);
    let mut faults: Vec<Fault> = (0..many)
        .map(|_| {
            let kind = kinds[random.random_range(0..kinds.len())];
            let node = |random: &mut Pcg64Mcg| match random.random_range(0..4) {
                0 => "leader".to_string(),
                1 => "follower".to_string(),
                _ => format!("n{}", random.random_range(0..nodes)),
            };
            let links = matches!(
                kind,
                Kind::Cut
                    | Kind::Loss
                    | Kind::Double
                    | Kind::Reorder
                    | Kind::Delay
                    | Kind::Jitter
                    | Kind::Reset
            );
            Fault {
                at_s: random.random_range(0.5..seconds * 0.7),
                kind,
                for_s: if kind == Kind::Loop {
                    0.3
                } else {
                    random.random_range(0.3..6.0)
                },
                on: if kind == Kind::Join {
                    String::new()
                } else {
                    node(&mut random)
                },
                to: if links { "nodes".into() } else { String::new() },
                one_way: links && random.random::<bool>(),
                much: match kind {
                    Kind::Loss | Kind::Double | Kind::Reorder => random.random_range(0.1..0.6),
                    Kind::Delay | Kind::Jitter => random.random_range(10.0..400.0),
                    _ => 0.0,
                },
                times: if kind == Kind::Loop {
                    random.random_range(2..6)
                } else {
                    0
                },
            }
        })
        .collect();
    faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    faults
}

fn with(scenario: &Scenario, faults: &[Fault]) -> Scenario {
    // The scenario's own faults stay: they bring the transcribers that the budget is for.
    let drawn = faults.iter().map(|fault| Spanned::new(0..0, fault.clone()));
    Scenario {
        fault: scenario.fault.iter().cloned().chain(drawn).collect(),
        ..scenario.clone()
    }
}

/// Hunts with this many trials, then shrinks the worst one.
pub fn hunt(
    name: &str,
    scenario: &Scenario,
    seed: u64,
    runs: usize,
    options: impl Fn() -> Options,
    mut told: impl FnMut(usize, &Outcome),
) -> Result<Found, String> {
    let mut found = Found {
        runs: 0,
        broken: 0,
        worst: None,
        trials: Vec::new(),
    };
    let mut worst: Option<(Vec<Fault>, Outcome)> = None;
    for number in 0..runs as u64 {
        let seed = seed.wrapping_add(number);
        let faults = draw(scenario, seed);
        let outcome = run(name, with(scenario, &faults), seed, options())?;
        found.runs += 1;
        found.broken += usize::from(!outcome.holds());
        let (peak, whole) = outcome
            .budgets
            .first()
            .map_or((0, 0), |budget| (budget.peak, budget.whole));
        found.trials.push((
            seed,
            outcome.service,
            peak,
            whole,
            outcome.judge.broken.len(),
        ));
        told(found.runs, &outcome);
        if worst
            .as_ref()
            .is_none_or(|(_, before)| harm(&outcome) > harm(before))
        {
            worst = Some((faults, outcome));
        }
    }
    // One fault after the other is left out, as long as a rule still breaks.
    if let Some((mut faults, mut outcome)) = worst {
        let mut at = 0;
        while !outcome.holds() && at < faults.len() && faults.len() > 1 {
            let mut fewer = faults.clone();
            fewer.remove(at);
            let less = run(name, with(scenario, &fewer), outcome.seed, options())?;
            if less.holds() {
                at += 1;
            } else {
                (faults, outcome) = (fewer, less);
            }
        }
        found.worst = Some(outcome);
    }
    Ok(found)
}
