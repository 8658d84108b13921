//! A grid over any values of a scenario, seeds and points in parallel.

use super::{Estimate, Figures};
use crate::policy::PolicyName;
use crate::scenario::{self, Scenario, ScenarioError};
use crate::world::run_scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use thiserror::Error;

/// One key of a scenario and the values to try.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The key, dotted; numbers go into arrays.
    pub key: String,
    /// The values, as TOML has them.
    pub values: Vec<toml::Value>,
}

/// Why an axis could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AxisError {
    /// The text has no `=`.
    #[error("{0:?} is not KEY=VALUE,VALUE,...")]
    NoValues(String),
    /// The values are neither TOML nor plain words.
    #[error("{0:?}: no values that TOML knows")]
    InvalidValues(String),
}

impl std::str::FromStr for Axis {
    type Err = AxisError;

    fn from_str(text: &str) -> Result<Self, AxisError> {
        let (key, values) = text
            .split_once('=')
            .ok_or_else(|| AxisError::NoValues(text.to_string()))?;
        // A list of TOML values; words without quotes are taken as strings.
        let list = |text: &str| -> Option<Vec<toml::Value>> {
            let table: toml::Table = toml::from_str(&format!("v = [{text}]")).ok()?;
            table.get("v").and_then(|v| v.as_array()).cloned()
        };
        let quoted = || {
            values
                .split(',')
                .map(|word| format!("{:?}", word.trim()))
                .collect::<Vec<_>>()
                .join(",")
        };
        let values = list(values)
            .or_else(|| list(&quoted()))
            .filter(|values| !values.is_empty());
        let values = values.ok_or_else(|| AxisError::InvalidValues(text.to_string()))?;
        Ok(Axis {
            key: key.trim().to_string(),
            values,
        })
    }
}

/// A point of the grid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The keys and their values.
    pub at: Vec<(String, String)>,
    /// The policy.
    pub policy: String,
    /// Each figure over the seeds.
    pub figures: Vec<(String, Estimate)>,
}

/// Sets a key of a scenario's text; the whole is checked again.
///
/// # Errors
///
/// If the text is no TOML, or if the key leads past the end of an array or through a plain value.
pub fn set(
    file: &str,
    text: &str,
    key: &str,
    value: &toml::Value,
) -> Result<String, Vec<ScenarioError>> {
    let wrong = |what: String| {
        vec![ScenarioError {
            place: format!("{file}: {key}"),
            what,
        }]
    };
    let mut table: toml::Value =
        toml::from_str(text).map_err(|error| wrong(error.message().to_string()))?;
    let mut at = &mut table;
    let parts: Vec<&str> = key.split('.').collect();
    for (place, part) in parts.iter().enumerate() {
        let last = place + 1 == parts.len();
        at = match at {
            toml::Value::Array(values) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| values.get_mut(index))
                .ok_or_else(|| wrong(format!("the file has no entry {part:?} there")))?,
            toml::Value::Table(entries) => {
                let empty = if last {
                    value.clone()
                } else {
                    toml::Value::Table(toml::Table::new())
                };
                entries.entry(part.to_string()).or_insert(empty)
            }
            _ => return Err(wrong(format!("{part:?} is no table"))),
        };
    }
    // Whole numbers may be written where a fraction is wanted.
    *at = match (&*at, value) {
        (toml::Value::Float(_), toml::Value::Integer(whole)) => toml::Value::Float(*whole as f64),
        _ => value.clone(),
    };
    toml::to_string(&table).map_err(|error| wrong(error.to_string()))
}

/// Plays every point on every seed; `done` is called after each run.
///
/// # Errors
///
/// If a point of the grid is no scenario that holds.
pub fn sweep(
    file: &str,
    scenario: &Scenario,
    axes: &[Axis],
    policies: &[PolicyName],
    seeds: std::ops::Range<u64>,
    done: impl Fn() + Sync,
) -> Result<Vec<Row>, Vec<ScenarioError>> {
    let unwritten = |error: toml::ser::Error| {
        vec![ScenarioError {
            place: file.to_string(),
            what: error.to_string(),
        }]
    };
    let text = toml::to_string(scenario).map_err(unwritten)?;
    let mut points: Vec<(Vec<(String, String)>, String)> = vec![(Vec::new(), text)];
    for axis in axes {
        let mut next = Vec::new();
        for (at, text) in &points {
            for value in &axis.values {
                let mut at = at.clone();
                at.push((
                    axis.key.clone(),
                    value.to_string().trim_matches('"').to_string(),
                ));
                next.push((at, set(file, text, &axis.key, value)?));
            }
        }
        points = next;
    }
    let mut jobs: Vec<(usize, PolicyName, Scenario)> = Vec::new();
    for (place, (at, text)) in points.iter().enumerate() {
        let named: Vec<String> = at
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let scenario = scenario::parse(&format!("{file} with {}", named.join(" ")), text)?;
        jobs.extend(policies.iter().map(|name| (place, *name, scenario.clone())));
    }
    let row = |(place, name, scenario): &(usize, PolicyName, Scenario)| {
        let run = |seed: u64| {
            let figures = Figures::of(&run_scenario(scenario, seed, *name));
            done();
            figures
        };
        let runs: Vec<Figures> = seeds.clone().into_par_iter().map(run).collect();
        let column = |at: usize| {
            runs.iter()
                .map(|run| run.named()[at].1)
                .collect::<Vec<f64>>()
        };
        let names = runs
            .first()
            .map(Figures::named)
            .into_iter()
            .flatten()
            .enumerate();
        Row {
            at: points[*place].0.clone(),
            policy: name.as_str().into(),
            figures: names
                .map(|(at, (name, _))| (name.to_string(), Estimate::of(&column(at))))
                .collect(),
        }
    };
    Ok(jobs.par_iter().map(row).collect())
}

/// The figures that the table has a column for.
const TABLE_FIGURES: [&str; 8] = [
    "service",
    "worst_window",
    "worst_class",
    "imbalance",
    "moves",
    "refused",
    "broken",
    "events",
];

/// Formats the rows as a table for people.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!("{:<40}{:<14}", "point", "policy");
    for name in TABLE_FIGURES {
        let _ = write!(text, "{name:>16}");
    }
    for row in rows {
        append_line(&mut text, row);
    }
    text + "\n"
}

fn append_line(text: &mut String, row: &Row) {
    let at: Vec<String> = row
        .at
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let _ = write!(text, "\n{:<40}{:<14}", at.join(" "), row.policy);
    for name in TABLE_FIGURES {
        let found = row.figures.iter().find(|(other, _)| other == name);
        let mean = found.map_or(String::new(), |(_, estimate)| {
            format!("{:.3}", estimate.mean)
        });
        let _ = write!(text, "{mean:>16}");
    }
}
