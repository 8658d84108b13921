//! Searches random faults and seeds for the scenario in which the placement module's service is furthest behind that
//! of a baseline policy, then simplifies that scenario.

use crate::policy::PolicyName;
use crate::population::stream;
use crate::scenario::{Fault, FaultKind, Scenario, SearchRecord};
use crate::world::run_scenario;
use rand::seq::SliceRandom;
use rand::Rng;
use rayon::prelude::*;

/// Minimum fraction of the gap that a simplified scenario must retain.
const MIN_RETAINED_GAP_RATIO: f64 = 0.8;
/// Maximum number of simplification rounds. Each round tries every simplification and applies the first one that
/// retains enough of the gap.
const MAX_SIMPLIFICATION_ROUNDS: usize = 6;

/// A scenario and the gap of the placement module to the best baseline.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The scenario, with its seed under `found`.
    pub scenario: Scenario,
    /// Service score of the best baseline less that of the placement module, plus 2 if the module violated a rule.
    pub gap: f64,
}

/// Simulates the placement module and the baselines on one scenario.
pub fn evaluate(mut scenario: Scenario, seed: u64, baselines: &[PolicyName]) -> Candidate {
    scenario.found = None;
    let module = run_scenario(&scenario, seed, PolicyName::Module);
    let services = baselines
        .iter()
        .map(|name| (*name, run_scenario(&scenario, seed, *name).service));
    let (against, against_service) = services
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((PolicyName::Module, module.service));
    // `times_broken` counts rule violations.
    let violation_penalty = if module.times_broken > 0 { 2.0 } else { 0.0 };
    let gap = against_service - module.service + violation_penalty;
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
    let mut rng = stream(seed, 9, number);
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
    let mut candidate = scenario.clone();
    candidate.name = format!("{}-{number}", scenario.name);
    candidate.faults.clear();
    for _ in 0..rng.gen_range(0..=3) {
        let kind = kinds.choose(&mut rng).copied().unwrap_or(FaultKind::Slow);
        let at_s = scenario.length_s * rng.gen_range(0.05..0.6);
        let part = rng.gen_range(0.05..0.25);
        let (part, size) = match kind {
            FaultKind::Slow => (part, rng.gen_range(2.0..9.0)),
            FaultKind::Deploy => (rng.gen_range(0.4..1.0), rng.gen_range(0.05..0.2)),
            FaultKind::Shrink | FaultKind::Surge => (part, rng.gen_range(1.3..3.0)),
            FaultKind::Reset => (part, rng.gen_range(0.5..5.0)),
            _ => (part, 0.0),
        };
        let for_s = scenario.length_s * rng.gen_range(0.15..0.6);
        candidate.faults.push(Fault {
            kind,
            at_s,
            for_s,
            part,
            size,
            drain_s: rng.gen_range(2.0..6.0),
            leave: 0.5,
        });
    }
    candidate.clients.load *= rng.gen_range(0.8..1.2);
    candidate.clients.start_skew = rng.gen_range(0.0..0.5);
    candidate
}

/// Evaluates `candidate_count` random candidates and returns the one with the largest gap; `None` if the count is 0.
pub fn find_worst(
    scenario: &Scenario,
    seed: u64,
    candidate_count: u64,
    baselines: &[PolicyName],
    done: impl Fn() + Sync,
) -> Option<Candidate> {
    let evaluate_candidate = |number: u64| {
        let candidate = evaluate(
            draw_candidate(scenario, seed, number),
            seed.wrapping_add(number),
            baselines,
        );
        done();
        candidate
    };
    let candidates: Vec<Candidate> = (0..candidate_count)
        .into_par_iter()
        .map(evaluate_candidate)
        .collect();
    // Of equal gaps the first wins, so that the result does not depend on thread scheduling.
    candidates.into_iter().reduce(|worst, candidate| {
        if candidate.gap > worst.gap {
            candidate
        } else {
            worst
        }
    })
}

/// Simplifies a candidate step by step as long as most of its gap remains.
pub fn simplify(worst: Candidate, baselines: &[PolicyName]) -> Candidate {
    let min_gap = worst.gap * MIN_RETAINED_GAP_RATIO;
    let seed = worst.scenario.found.as_ref().map_or(0, |found| found.seed);
    let mut best = worst;
    for _ in 0..MAX_SIMPLIFICATION_ROUNDS {
        let scenarios = simplifications(&best.scenario);
        let candidates: Vec<Candidate> = scenarios
            .into_par_iter()
            .map(|scenario| evaluate(scenario, seed, baselines))
            .collect();
        let Some(next) = candidates
            .into_iter()
            .find(|candidate| candidate.gap >= min_gap)
        else {
            break;
        };
        best = next;
    }
    best
}

/// Returns the scenarios that are one step simpler, those with the largest steps first.
fn simplifications(scenario: &Scenario) -> Vec<Scenario> {
    let mut simplified = Vec::new();
    let mut add_if_changed = |change: &dyn Fn(&mut Scenario)| {
        let mut simpler = scenario.clone();
        change(&mut simpler);
        if simpler != *scenario {
            simplified.push(simpler);
        }
    };
    add_if_changed(&|simpler| simpler.faults.clear());
    for index in 0..scenario.faults.len() {
        add_if_changed(&|simpler| {
            simpler.faults.remove(index);
        });
    }
    add_if_changed(&|simpler| simpler.fleet.transcribers = (simpler.fleet.transcribers / 2).max(2));
    add_if_changed(&|simpler| simpler.nodes.count = 1);
    add_if_changed(&|simpler| simpler.class.truncate(1));
    add_if_changed(&|simpler| simpler.fleet.kind.truncate(1));
    add_if_changed(&|simpler| simpler.length_s = (simpler.length_s / 2.0).max(20.0));
    add_if_changed(&|simpler| simpler.clients.group_size = 0.0);
    add_if_changed(&|simpler| simpler.clients.start_skew = 0.0);
    add_if_changed(&|simpler| {
        for kind in &mut simpler.fleet.kind {
            kind.pause_every_s = 0.0;
            kind.error_rate = 0.0;
            kind.speed_cv = 0.0;
        }
    });
    add_if_changed(&|simpler| simpler.net.zones = 1);
    simplified
}
