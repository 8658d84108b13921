//! Compares policies on the same arrivals, with confidence intervals of the paired differences.

use super::{Estimate, KeyMetrics};
use crate::policy::PolicyName;
use crate::scenario::Scenario;
use crate::world::run_scenario;
use rayon::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// The results of one policy in a comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// The policy.
    pub policy: String,
    /// Whether the policy uses state that no real node can see.
    pub upper_bound: bool,
    /// The mean of each metric over the seeds.
    pub means: Vec<(String, Estimate)>,
    /// The mean difference of each metric to the first policy on the same seeds.
    pub differences: Vec<(String, Estimate)>,
    /// The metrics of each seed's run.
    pub runs: Vec<KeyMetrics>,
}

/// Simulates every policy on every seed and calls `done` after each run. The result does not depend on the number of
/// threads.
pub fn compare(
    scenario: &Scenario,
    policies: &[PolicyName],
    seeds: std::ops::Range<u64>,
    done: impl Fn() + Sync,
) -> Vec<PolicyResult> {
    let jobs: Vec<(PolicyName, u64)> = policies
        .iter()
        .flat_map(|name| seeds.clone().map(move |seed| (*name, seed)))
        .collect();
    let runs: Vec<KeyMetrics> = jobs
        .par_iter()
        .map(|(name, seed)| {
            let metrics = KeyMetrics::of(&run_scenario(scenario, *seed, *name));
            done();
            metrics
        })
        .collect();
    let runs_per_policy = (seeds.end - seeds.start) as usize;
    let first_policy = &runs[..runs_per_policy.min(runs.len())];
    let policy_result = |(name, runs): (&PolicyName, &[KeyMetrics])| PolicyResult {
        policy: name.as_str().into(),
        upper_bound: *name == PolicyName::LeastLoaded,
        means: estimates(runs, None),
        differences: estimates(runs, Some(first_policy)),
        runs: runs.to_vec(),
    };
    policies
        .iter()
        .zip(runs.chunks(runs_per_policy.max(1)))
        .map(policy_result)
        .collect()
}

/// Estimates the mean of each metric, or of its difference to `baseline` on the same seeds.
fn estimates(runs: &[KeyMetrics], baseline: Option<&[KeyMetrics]>) -> Vec<(String, Estimate)> {
    let value = |run: usize, metric: usize| {
        runs[run].named()[metric].1
            - baseline.map_or(0.0, |baseline| baseline[run].named()[metric].1)
    };
    let names = runs
        .first()
        .map(KeyMetrics::named)
        .into_iter()
        .flatten()
        .enumerate();
    names
        .map(|(metric, (name, _))| {
            let values: Vec<f64> = (0..runs.len()).map(|run| value(run, metric)).collect();
            (name.to_string(), Estimate::of(&values))
        })
        .collect()
}

/// The metrics shown in the table, one column each.
const TABLE_METRICS: [&str; 8] = [
    "service",
    "whole",
    "worst_window",
    "worst_class",
    "imbalance",
    "moves",
    "refused",
    "broken",
];

/// Formats the comparison as a text table.
pub fn table(results: &[PolicyResult]) -> String {
    let mut text = format!("{:<14}", "policy");
    for name in TABLE_METRICS {
        let _ = write!(text, "{name:>18}");
    }
    for result in results {
        let mark = if result.upper_bound { "*" } else { "" };
        append_line(
            &mut text,
            &format!("{}{mark}", result.policy),
            &result.means,
        );
    }
    for result in results.iter().skip(1) {
        append_line(
            &mut text,
            &format!("{} -", result.policy),
            &result.differences,
        );
    }
    text + "\n* sees the true state: an upper bound. Lines with - are paired differences to the first, 95% intervals.\n"
}

fn append_line(text: &mut String, title: &str, estimates: &[(String, Estimate)]) {
    let _ = write!(text, "\n{title:<14}");
    for name in TABLE_METRICS {
        let _ = write!(text, "{:>18}", cell(estimates, name));
    }
}

fn cell(estimates: &[(String, Estimate)], name: &str) -> String {
    let found = estimates.iter().find(|(other, _)| other == name);
    let Some((_, estimate)) = found else {
        return String::new();
    };
    match estimate.half_width {
        Some(half_width) => format!("{:.3} +-{half_width:.3}", estimate.mean),
        None => format!("{:.3}", estimate.mean),
    }
}
