//! Policies side by side on the same arrivals, with confidence intervals of the paired differences.

use super::{Estimate, Figures};
use crate::policy::PolicyName;
use crate::scenario::Scenario;
use crate::world::run_scenario;
use rayon::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// One policy's part of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// The policy.
    pub policy: String,
    /// Whether it sees what no node can.
    pub upper_bound: bool,
    /// Each figure's mean over the seeds.
    pub means: Vec<(String, Estimate)>,
    /// Its difference to the first policy on the same seeds.
    pub differences: Vec<(String, Estimate)>,
    /// The figures of each seed.
    pub runs: Vec<Figures>,
}

/// Plays every policy on every seed; `done` is called after each run. The result does not depend on the threads.
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
    let figures: Vec<Figures> = jobs
        .par_iter()
        .map(|(name, seed)| {
            let figures = Figures::of(&run_scenario(scenario, *seed, *name));
            done();
            figures
        })
        .collect();
    let each = (seeds.end - seeds.start) as usize;
    let first = &figures[..each.min(figures.len())];
    let side = |(name, runs): (&PolicyName, &[Figures])| PolicyResult {
        policy: name.as_str().into(),
        upper_bound: *name == PolicyName::LeastLoaded,
        means: columns(runs, None),
        differences: columns(runs, Some(first)),
        runs: runs.to_vec(),
    };
    policies
        .iter()
        .zip(figures.chunks(each.max(1)))
        .map(side)
        .collect()
}

fn columns(runs: &[Figures], less: Option<&[Figures]>) -> Vec<(String, Estimate)> {
    let value = |run: usize, column: usize| {
        runs[run].named()[column].1 - less.map_or(0.0, |less| less[run].named()[column].1)
    };
    let names = runs
        .first()
        .map(Figures::named)
        .into_iter()
        .flatten()
        .enumerate();
    names
        .map(|(column, (name, _))| {
            let values: Vec<f64> = (0..runs.len()).map(|run| value(run, column)).collect();
            (name.to_string(), Estimate::of(&values))
        })
        .collect()
}

/// The figures that the table has a column for.
const TABLE_FIGURES: [&str; 8] = [
    "service",
    "whole",
    "worst_window",
    "worst_class",
    "imbalance",
    "moves",
    "refused",
    "broken",
];

/// Formats the comparison as a table for people.
pub fn table(sides: &[PolicyResult]) -> String {
    let mut text = format!("{:<14}", "policy");
    for name in TABLE_FIGURES {
        let _ = write!(text, "{name:>18}");
    }
    for side in sides {
        let mark = if side.upper_bound { "*" } else { "" };
        append_line(&mut text, &format!("{}{mark}", side.policy), &side.means);
    }
    for side in sides.iter().skip(1) {
        append_line(&mut text, &format!("{} -", side.policy), &side.differences);
    }
    text + "\n* sees the true state: an upper bound. Lines with - are paired differences to the first, 95% intervals.\n"
}

fn append_line(text: &mut String, title: &str, estimates: &[(String, Estimate)]) {
    let _ = write!(text, "\n{title:<14}");
    for name in TABLE_FIGURES {
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
