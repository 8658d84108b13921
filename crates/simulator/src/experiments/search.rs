//! The search for the worst day: it tries seeds and faults for the day on which the module falls furthest behind what a plain policy
//! or the true state reaches, then makes that day as small as it goes.

use crate::policy::PolicyName;
use crate::population::stream;
use crate::scenario::{Fault, FaultKind, Scenario, SearchRecord};
use crate::world::run_scenario;
use rand::seq::SliceRandom;
use rand::Rng;
use rayon::prelude::*;

/// The least share of the gap that a simplified scenario keeps.
const MIN_RETAINED_GAP_RATIO: f64 = 0.8;
/// Rounds of simplification; each tries every step once.
const MAX_SHRINK_ROUNDS: usize = 6;

/// A scenario and how far the module falls behind on it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The scenario, with its seed under `found`.
    pub scenario: Scenario,
    /// How far the best of the others is ahead; 2 more where the module broke a rule.
    pub gap: f64,
}

/// Plays the module and the others on one scenario.
pub fn evaluate(mut scenario: Scenario, seed: u64, others: &[PolicyName]) -> Candidate {
    scenario.found = None;
    let module = run_scenario(&scenario, seed, PolicyName::Module);
    let best = others
        .iter()
        .map(|name| (*name, run_scenario(&scenario, seed, *name).service));
    let (against, against_service) = best
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((PolicyName::Module, module.service));
    let broke = if module.times_broken > 0 { 2.0 } else { 0.0 };
    let gap = against_service - module.service + broke;
    let service = module.service;
    scenario.found = Some(SearchRecord {
        seed,
        service,
        against: against.as_str().into(),
        against_service,
    });
    Candidate { scenario, gap }
}

/// Draws the faults and the load of a candidate.
fn draw_candidate(scenario: &Scenario, seed: u64, number: u64) -> Scenario {
    let mut random = stream(seed, 9, number);
    let kinds = [
        FaultKind::Silent,
        FaultKind::Slow,
        FaultKind::Deploy,
        FaultKind::Shrink,
        FaultKind::NodeDown,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoveryStale,
        FaultKind::Reset,
        FaultKind::Surge,
    ];
    let mut day = scenario.clone();
    day.name = format!("{}-{number}", scenario.name);
    day.faults.clear();
    for _ in 0..random.gen_range(0..=3) {
        let kind = kinds
            .choose(&mut random)
            .copied()
            .unwrap_or(FaultKind::Slow);
        let at_s = scenario.length_s * random.gen_range(0.05..0.6);
        let part = random.gen_range(0.05..0.25);
        let (part, size) = match kind {
            FaultKind::Slow => (part, random.gen_range(2.0..9.0)),
            FaultKind::Deploy => (random.gen_range(0.4..1.0), random.gen_range(0.05..0.2)),
            FaultKind::Shrink | FaultKind::Surge => (part, random.gen_range(1.3..3.0)),
            FaultKind::Reset => (part, random.gen_range(0.5..5.0)),
            _ => (part, 0.0),
        };
        let for_s = scenario.length_s * random.gen_range(0.15..0.6);
        day.faults.push(Fault {
            kind,
            at_s,
            for_s,
            part,
            size,
            drain_s: random.gen_range(2.0..6.0),
            leave: 0.5,
        });
    }
    day.clients.load *= random.gen_range(0.8..1.2);
    day.clients.start_skew = random.gen_range(0.0..0.5);
    day
}

/// Returns the worst of `days` candidates.
pub fn find_worst(
    scenario: &Scenario,
    seed: u64,
    days: u64,
    others: &[PolicyName],
    done: impl Fn() + Sync,
) -> Option<Candidate> {
    let day = |number: u64| {
        let day = evaluate(
            draw_candidate(scenario, seed, number),
            seed.wrapping_add(number),
            others,
        );
        done();
        day
    };
    let all: Vec<Candidate> = (0..days).into_par_iter().map(day).collect();
    // Of equal ones the first, so that the threads decide nothing.
    all.into_iter()
        .reduce(|worst, day| if day.gap > worst.gap { day } else { worst })
}

/// Simplifies a candidate step by step as long as most of its gap stays.
pub fn shrink(worst: Candidate, others: &[PolicyName]) -> Candidate {
    let wanted = worst.gap * MIN_RETAINED_GAP_RATIO;
    let seed = worst.scenario.found.as_ref().map_or(0, |found| found.seed);
    let mut best = worst;
    for _ in 0..MAX_SHRINK_ROUNDS {
        let simpler = simplifications(&best.scenario);
        let candidates: Vec<Candidate> = simpler
            .into_par_iter()
            .map(|day| evaluate(day, seed, others))
            .collect();
        let Some(next) = candidates.into_iter().find(|day| day.gap >= wanted) else {
            break;
        };
        best = next;
    }
    best
}

/// Returns each scenario that is one step simpler, the largest step first.
fn simplifications(scenario: &Scenario) -> Vec<Scenario> {
    let mut ways = Vec::new();
    let mut way = |change: &dyn Fn(&mut Scenario)| {
        let mut day = scenario.clone();
        change(&mut day);
        if day != *scenario {
            ways.push(day);
        }
    };
    way(&|day| day.faults.clear());
    for at in 0..scenario.faults.len() {
        way(&|day| {
            day.faults.remove(at);
        });
    }
    way(&|day| day.fleet.transcribers = (day.fleet.transcribers / 2).max(2));
    way(&|day| day.nodes.count = 1);
    way(&|day| day.class.truncate(1));
    way(&|day| day.fleet.kind.truncate(1));
    way(&|day| day.length_s = (day.length_s / 2.0).max(20.0));
    way(&|day| day.clients.group_size = 0.0);
    way(&|day| day.clients.start_skew = 0.0);
    way(&|day| {
        for kind in &mut day.fleet.kind {
            kind.pause_every_s = 0.0;
            kind.error_rate = 0.0;
            kind.speed_cv = 0.0;
        }
    });
    way(&|day| day.net.zones = 1);
    ways
}
