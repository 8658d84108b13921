//! The commands. Each reads its input files, runs simulations or measurements, and prints and writes the results.

use super::error::CommandError;
use super::options::Command;
use super::results::{is_standard_output, progress_bar, read_scenario, write_json};
use lupincrank_simulator::experiments::{compare, cost, search, sweep};
use lupincrank_simulator::metrics::Outcome;
use lupincrank_simulator::policy::PolicyName;
use lupincrank_simulator::{paper, plot, world};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Policies with which a search compares the placement module.
const SEARCH_BASELINES: [PolicyName; 3] = [
    PolicyName::Plain,
    PolicyName::TwoChoices,
    PolicyName::LeastLoaded,
];
/// Fleet sizes for which the cost is measured.
const COST_SIZES: [u32; 8] = [10, 30, 60, 100, 300, 1_000, 3_000, 10_000];
/// Maximum number of rule violations that a run prints with their traces.
const MAX_PRINTED_VIOLATIONS: usize = 3;
/// Rows of the paper's comparison per server count: two key formats times two methods.
const PAPER_ROWS_PER_SERVER_COUNT: usize = 4;

/// Executes a command.
pub(crate) fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check { files } => check(&files),
        Command::Run {
            seed,
            policy,
            json,
            file,
        } => run(seed, policy, json.as_deref(), &file),
        Command::Compare {
            seeds,
            policies,
            json,
            file,
        } => compare_policies(seeds, &policies, json.as_deref(), &file),
        Command::Sweep {
            axes,
            seeds,
            policies,
            json,
            file,
        } => sweep_grid(&axes, seeds, &policies, json.as_deref(), &file),
        Command::Hunt {
            seed,
            days,
            out,
            file,
        } => search_worst_scenario(seed, days, out.as_deref(), &file),
        Command::Replay { file } => replay(&file),
        Command::Plot { figure, out, file } => plot_results(&figure, &out, &file),
        Command::Paper {
            keys,
            sets,
            seed,
            json,
        } => repeat_paper_comparison(keys, sets, seed, json.as_deref()),
        Command::Cost { json } => measure_cost(json.as_deref()),
    }
}

fn check(files: &[PathBuf]) -> Result<(), CommandError> {
    for file in files {
        let scenario = read_scenario(file)?;
        println!(
            "{}: holds; {:.1} connections a second",
            file.display(),
            scenario.rate()
        );
    }
    Ok(())
}

fn run(
    seed: u64,
    policy: PolicyName,
    json: Option<&Path>,
    file: &Path,
) -> Result<(), CommandError> {
    let scenario = read_scenario(file)?;
    let started_at = Instant::now();
    let outcome = world::run_scenario(&scenario, seed, policy);
    let elapsed_s = started_at.elapsed().as_secs_f64();
    print_summary(&outcome, elapsed_s);
    print_violations(&outcome);
    write_json(json, &outcome)
}

/// Prints a summary with the real time that the run took. This time is not part of the results, which are the same on
/// every machine.
fn print_summary(outcome: &Outcome, elapsed_s: f64) {
    eprintln!(
        "{} under {}: service {:.3}, {} events in {elapsed_s:.2} s ({:.0} a second), at most {} waiting",
        outcome.scenario,
        outcome.policy,
        outcome.service,
        outcome.events,
        outcome.events as f64 / elapsed_s.max(1e-9),
        outcome.peak_queue
    );
}

fn print_violations(outcome: &Outcome) {
    for violation in outcome.rules_broken.iter().take(MAX_PRINTED_VIOLATIONS) {
        eprintln!(
            "rule broken, {:?} at {:.3} s: {}",
            violation.rule, violation.at_s, violation.what
        );
        for line in &violation.trace {
            eprintln!("    {line}");
        }
    }
}

fn compare_policies(
    seeds: u64,
    policies: &[PolicyName],
    json: Option<&Path>,
    file: &Path,
) -> Result<(), CommandError> {
    let scenario = read_scenario(file)?;
    let bar = progress_bar(seeds * policies.len() as u64);
    let results = compare::compare(&scenario, policies, 1..seeds + 1, || bar.inc(1));
    bar.finish_and_clear();
    if !is_standard_output(json) {
        print!("{}", compare::table(&results));
    }
    write_json(json, &serde_json::json!({ "compare": results }))
}

fn sweep_grid(
    axes: &[sweep::Axis],
    seeds: u64,
    policies: &[PolicyName],
    json: Option<&Path>,
    file: &Path,
) -> Result<(), CommandError> {
    let points: usize = axes.iter().map(|axis| axis.values.len()).product();
    let bar = progress_bar(seeds * (points * policies.len()) as u64);
    let name = file.display().to_string();
    let scenario = read_scenario(file)?;
    let rows = sweep::sweep(&name, &scenario, axes, policies, 1..seeds + 1, || {
        bar.inc(1);
    })
    .map_err(CommandError::InvalidScenario)?;
    bar.finish_and_clear();
    print!("{}", sweep::table(&rows));
    write_json(json, &serde_json::json!({ "sweep": rows }))
}

fn search_worst_scenario(
    seed: u64,
    days: u64,
    out: Option<&Path>,
    file: &Path,
) -> Result<(), CommandError> {
    let scenario = read_scenario(file)?;
    let bar = progress_bar(days);
    let worst = search::find_worst(&scenario, seed, days, &SEARCH_BASELINES, || bar.inc(1));
    bar.finish_and_clear();
    let worst = worst.ok_or(CommandError::NoCandidates)?;
    println!(
        "worst of {days} days: {}, behind by {:.3}",
        worst.scenario.name, worst.gap
    );
    let simplified = search::simplify(worst, &SEARCH_BASELINES);
    print_simplified(&simplified)?;
    let text = toml::to_string(&simplified.scenario)?;
    let Some(out) = out else {
        print!("{text}");
        return Ok(());
    };
    std::fs::write(out, text).map_err(CommandError::writing(out))
}

fn print_simplified(candidate: &search::Candidate) -> Result<(), CommandError> {
    let scenario = &candidate.scenario;
    let found = scenario
        .found
        .as_ref()
        .ok_or(CommandError::MissingSearchRecord)?;
    println!(
        "made small: {} transcribers, {} nodes, {:.0} s, {} troubles; module {:.3}, {} {:.3}",
        scenario.fleet.transcribers,
        scenario.nodes.count,
        scenario.length_s,
        scenario.faults.len(),
        found.service,
        found.against,
        found.against_service
    );
    Ok(())
}

fn replay(file: &Path) -> Result<(), CommandError> {
    let not_saved = || CommandError::NotSavedByHunt(file.to_path_buf());
    let scenario = read_scenario(file)?;
    let found = scenario.found.clone().ok_or_else(not_saved)?;
    let baseline: PolicyName =
        found
            .against
            .parse()
            .map_err(|source| CommandError::UnknownPolicy {
                path: file.to_path_buf(),
                source,
            })?;
    let replayed = search::evaluate(scenario, found.seed, &[baseline]);
    let replayed_record = replayed.scenario.found.ok_or_else(not_saved)?;
    println!(
        "module: {:.4} now, {:.4} when it was found",
        replayed_record.service, found.service
    );
    println!(
        "{}: {:.4} now, {:.4} when it was found",
        found.against, replayed_record.against_service, found.against_service
    );
    Ok(())
}

fn plot_results(figure: &str, out: &Path, file: &Path) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(CommandError::reading(file))?;
    let results: plot::Results =
        serde_json::from_str(&text).map_err(|_| CommandError::NotResults(file.to_path_buf()))?;
    let svg = plot::draw(&results, figure).map_err(|source| CommandError::Plot {
        path: file.to_path_buf(),
        source,
    })?;
    std::fs::write(out, svg).map_err(CommandError::writing(out))
}

fn repeat_paper_comparison(
    keys: usize,
    sets: u64,
    seed: u64,
    json: Option<&Path>,
) -> Result<(), CommandError> {
    let bar = progress_bar((PAPER_ROWS_PER_SERVER_COUNT * paper::SERVER_COUNTS.len()) as u64);
    let rows = paper::run_comparison(keys.max(1), sets.max(1), seed, || bar.inc(1));
    bar.finish_and_clear();
    print!("{}", paper::table(&rows));
    write_json(json, &serde_json::json!({ "paper": rows }))
}

fn measure_cost(json: Option<&Path>) -> Result<(), CommandError> {
    println!(
        "{:>12} {:>12} {:>12} {:>12}",
        "transcribers", "request us", "walk us", "upkeep ms"
    );
    let mut rows = Vec::new();
    for size in COST_SIZES {
        let row = cost::measure(size);
        println!(
            "{size:>12} {:>12.2} {:>12.1} {:>12.3}",
            row.request_us, row.walk_us, row.upkeep_ms
        );
        rows.push(row);
    }
    write_json(json, &serde_json::json!({ "cost": rows }))
}
