//! Searches for harmful fault timelines: generates random timelines, selects the one with the most severe outcome, and
//! removes the faults that its violations do not need.

use crate::error::RunError;
use crate::outcome::Outcome;
use crate::run::{run, RunOptions};
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use toml::Spanned;

/// Limit of faults in one random timeline.
const MAX_FAULT_COUNT: usize = 4;
/// Faults begin within this fraction of the run's duration.
const MAX_START_RATIO: f64 = 0.7;
/// Time between the restarts of a restart loop.
const RESTART_INTERVAL_SECONDS: f64 = 0.3;

/// Kinds of faults that random timelines contain.
const RANDOM_FAULT_KINDS: [FaultKind; 12] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::Terminate,
    FaultKind::RestartLoop,
    FaultKind::Cut,
    FaultKind::Loss,
    FaultKind::Duplicate,
    FaultKind::Reorder,
    FaultKind::Delay,
    FaultKind::Jitter,
    FaultKind::Reset,
    FaultKind::Join,
];

/// The parameters of a search.
#[derive(Clone, Copy)]
pub struct Search<'a> {
    /// Name of the scenario.
    pub name: &'a str,
    /// The scenario; its own faults are part of every run.
    pub scenario: &'a Scenario,
    /// The seed of the first run.
    pub seed: u64,
    /// Number of runs.
    pub run_count: usize,
}

/// The result of a search.
#[derive(Clone, Debug, Serialize)]
pub struct SearchResult {
    /// Number of runs.
    #[serde(rename = "runs")]
    pub run_count: usize,
    /// Number of runs with a violation.
    #[serde(rename = "broken")]
    pub failed_count: usize,
    /// The run with the most severe outcome, repeated without the faults that a violation does not need.
    pub worst: Option<Outcome>,
    /// All runs.
    #[serde(rename = "trials")]
    pub runs: Vec<SearchedRun>,
}

/// One run of a search.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(u64, f64, u32, u32, usize)")]
pub struct SearchedRun {
    /// The seed of the run.
    pub seed: u64,
    /// The fraction of sessions that were served in time.
    pub service_ratio: f64,
    /// The greatest usage of the budget in one second.
    pub budget_peak: u32,
    /// The limit of the budget.
    pub budget_limit: u32,
    /// Number of violations.
    pub violation_count: usize,
}

impl From<SearchedRun> for (u64, f64, u32, u32, usize) {
    fn from(run: SearchedRun) -> (u64, f64, u32, u32, usize) {
        (
            run.seed,
            run.service_ratio,
            run.budget_peak,
            run.budget_limit,
            run.violation_count,
        )
    }
}

impl SearchedRun {
    fn new(outcome: &Outcome) -> SearchedRun {
        let budget = outcome.budgets.first();
        SearchedRun {
            seed: outcome.seed,
            service_ratio: outcome.service_ratio,
            budget_peak: budget.map_or(0, |budget| budget.peak),
            budget_limit: budget.map_or(0, |budget| budget.limit),
            violation_count: outcome.verdict.violations.len(),
        }
    }
}

/// The severity of a run's outcome; compared in the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Severity {
    violation_count: usize,
    unanswered: u64,
    unserved_permille: u64,
}

impl Severity {
    fn of(outcome: &Outcome) -> Severity {
        Severity {
            violation_count: outcome.verdict.violations.len(),
            unanswered: outcome.unanswered,
            unserved_permille: ((1.0 - outcome.service_ratio) * 1000.0) as u64,
        }
    }
}

/// A random timeline and its outcome.
struct Candidate {
    faults: Vec<Fault>,
    outcome: Outcome,
}

/// Generates a random timeline for a scenario.
pub fn draw_faults(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 16 | 5);
    let fault_count = rng.random_range(1..=MAX_FAULT_COUNT);
    let mut faults: Vec<Fault> = (0..fault_count)
        .map(|_| draw_fault(scenario, &mut rng))
        .collect();
    faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    faults
}

/// Generates one fault. The order of the draws must not change: it determines the faults that a seed generates.
fn draw_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Fault {
    let kind = RANDOM_FAULT_KINDS[rng.random_range(0..RANDOM_FAULT_KINDS.len())];
    let at_s = rng.random_range(0.5..scenario.duration_s() * MAX_START_RATIO);
    let duration_s = match kind {
        FaultKind::RestartLoop => RESTART_INTERVAL_SECONDS,
        _ => rng.random_range(0.3..6.0),
    };
    let target = match kind {
        FaultKind::Join => String::new(),
        _ => draw_node(scenario, rng),
    };
    let is_link_fault = kind.is_link_fault();
    let peer = if is_link_fault { "nodes" } else { "" };
    let is_one_way = is_link_fault && rng.random::<bool>();
    let magnitude = match kind {
        FaultKind::Loss | FaultKind::Duplicate | FaultKind::Reorder => rng.random_range(0.1..0.6),
        FaultKind::Delay | FaultKind::Jitter => rng.random_range(10.0..400.0),
        _ => 0.0,
    };
    let count = match kind {
        FaultKind::RestartLoop => rng.random_range(2..6),
        _ => 0,
    };
    Fault {
        at_s,
        kind,
        duration_s,
        target,
        peer: peer.to_string(),
        is_one_way,
        magnitude,
        count,
    }
}

/// Draws a selector of one node.
fn draw_node(scenario: &Scenario, rng: &mut Pcg64Mcg) -> String {
    match rng.random_range(0..4) {
        0 => "leader".to_string(),
        1 => "follower".to_string(),
        _ => format!("n{}", rng.random_range(0..scenario.node_count())),
    }
}

/// Adds faults to a scenario. The scenario's own faults stay, because they start the servers that warm up, and the
/// budget limits connections to such servers.
fn with_faults(scenario: &Scenario, faults: &[Fault]) -> Scenario {
    let drawn = faults.iter().map(|fault| Spanned::new(0..0, fault.clone()));
    let mut scenario = scenario.clone();
    scenario.faults.extend(drawn);
    scenario
}

impl Search<'_> {
    /// Executes the runs, then reduces the one with the most severe outcome. `on_outcome` receives the number and
    /// outcome of each run.
    ///
    /// # Errors
    ///
    /// If a run could not be executed.
    pub fn run(
        &self,
        options: impl Fn() -> RunOptions,
        mut on_outcome: impl FnMut(usize, &Outcome),
    ) -> Result<SearchResult, RunError> {
        let mut result = SearchResult {
            run_count: 0,
            failed_count: 0,
            worst: None,
            runs: Vec::new(),
        };
        let mut worst: Option<Candidate> = None;
        for number in 0..self.run_count as u64 {
            let seed = self.seed.wrapping_add(number);
            let faults = draw_faults(self.scenario, seed);
            let outcome = self.run_with(&faults, seed, options())?;
            result.run_count += 1;
            result.failed_count += usize::from(!outcome.has_passed());
            result.runs.push(SearchedRun::new(&outcome));
            on_outcome(result.run_count, &outcome);
            let severity = Severity::of(&outcome);
            let is_worst = |worst: &Candidate| severity > Severity::of(&worst.outcome);
            if worst.as_ref().is_none_or(is_worst) {
                worst = Some(Candidate { faults, outcome });
            }
        }
        if let Some(worst) = worst {
            result.worst = Some(self.reduce(worst, &options)?);
        }
        Ok(result)
    }

    fn run_with(
        &self,
        faults: &[Fault],
        seed: u64,
        options: RunOptions,
    ) -> Result<Outcome, RunError> {
        let scenario = with_faults(self.scenario, faults);
        run(self.name, scenario, seed, options)
    }

    /// Removes each fault without which a rule is still violated.
    fn reduce(
        &self,
        mut candidate: Candidate,
        options: &impl Fn() -> RunOptions,
    ) -> Result<Outcome, RunError> {
        let mut index = 0;
        while !candidate.outcome.has_passed()
            && index < candidate.faults.len()
            && candidate.faults.len() > 1
        {
            let mut faults = candidate.faults.clone();
            faults.remove(index);
            let outcome = self.run_with(&faults, candidate.outcome.seed, options())?;
            if outcome.has_passed() {
                index += 1;
            } else {
                candidate = Candidate { faults, outcome };
            }
        }
        Ok(candidate.outcome)
    }
}
