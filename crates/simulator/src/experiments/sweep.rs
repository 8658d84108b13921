//! Sweeps any values of a scenario over a grid, with seeds and grid points in parallel.

use super::{Estimate, KeyMetrics};
use crate::policy::PolicyName;
use crate::scenario::{self, Scenario, ScenarioError};
use crate::world::run_scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use thiserror::Error;

/// One axis of the grid: a key of a scenario and its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The dotted key. Numbers are array indices.
    pub key: String,
    /// The values of the key.
    pub values: Vec<toml::Value>,
}

/// An error in the text of an axis.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AxisError {
    /// The text has no `=`.
    #[error("invalid axis {0:?}: expected KEY=VALUE,VALUE,...")]
    NoValues(String),
    /// The list of values is empty, or the values are neither TOML nor plain words.
    #[error("invalid axis {0:?}: values are neither TOML nor plain words")]
    InvalidValues(String),
}

impl std::str::FromStr for Axis {
    type Err = AxisError;

    fn from_str(text: &str) -> Result<Self, AxisError> {
        let (key, values) = text
            .split_once('=')
            .ok_or_else(|| AxisError::NoValues(text.to_string()))?;
        // Parses a list of TOML values. Words without quotes are quoted in a second attempt.
        let parse_list = |text: &str| -> Option<Vec<toml::Value>> {
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
        let values = parse_list(values)
            .or_else(|| parse_list(&quoted()))
            .filter(|values| !values.is_empty());
        let values = values.ok_or_else(|| AxisError::InvalidValues(text.to_string()))?;
        Ok(Axis {
            key: key.trim().to_string(),
            values,
        })
    }
}

/// The results of one policy at one point of the grid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The keys of the axes with their values at this point.
    pub at: Vec<(String, String)>,
    /// The policy.
    pub policy: String,
    /// The mean of each metric over the seeds.
    pub figures: Vec<(String, Estimate)>,
}

/// Returns the text of a scenario with one key set. The result must be parsed again, as the value is not checked.
///
/// # Errors
///
/// If the text is not TOML, or if a segment of the key is not an index of its array or lies below a scalar value.
pub fn set(
    file: &str,
    text: &str,
    key: &str,
    value: &toml::Value,
) -> Result<String, Vec<ScenarioError>> {
    let error_of = |message: String| {
        vec![ScenarioError {
            location: format!("{file}: {key}"),
            message,
        }]
    };
    let mut table: toml::Value =
        toml::from_str(text).map_err(|error| error_of(error.message().to_string()))?;
    let mut current = &mut table;
    let segments: Vec<&str> = key.split('.').collect();
    for (depth, segment) in segments.iter().enumerate() {
        let is_last = depth + 1 == segments.len();
        current = match current {
            toml::Value::Array(values) => segment
                .parse::<usize>()
                .ok()
                .and_then(|index| values.get_mut(index))
                .ok_or_else(|| error_of(format!("array has no index {segment:?}")))?,
            toml::Value::Table(entries) => {
                let default = if is_last {
                    value.clone()
                } else {
                    toml::Value::Table(toml::Table::new())
                };
                entries.entry(segment.to_string()).or_insert(default)
            }
            _ => {
                return Err(error_of(format!(
                    "{segment:?} is not in a table or an array"
                )))
            }
        };
    }
    // An integer may be given for a key with a floating-point value.
    *current = match (&*current, value) {
        (toml::Value::Float(_), toml::Value::Integer(integer)) => {
            toml::Value::Float(*integer as f64)
        }
        _ => value.clone(),
    };
    toml::to_string(&table).map_err(|error| error_of(error.to_string()))
}

/// Simulates every point of the grid with every policy on every seed, and calls `done` after each run.
///
/// # Errors
///
/// If a point of the grid is not a valid scenario.
pub fn sweep(
    file: &str,
    scenario: &Scenario,
    axes: &[Axis],
    policies: &[PolicyName],
    seeds: std::ops::Range<u64>,
    done: impl Fn() + Sync,
) -> Result<Vec<Row>, Vec<ScenarioError>> {
    let serialization_error = |error: toml::ser::Error| {
        vec![ScenarioError {
            location: file.to_string(),
            message: error.to_string(),
        }]
    };
    let text = toml::to_string(scenario).map_err(serialization_error)?;
    let mut points: Vec<(Vec<(String, String)>, String)> = vec![(Vec::new(), text)];
    for axis in axes {
        let mut next = Vec::new();
        for (coordinates, text) in &points {
            for value in &axis.values {
                let mut coordinates = coordinates.clone();
                coordinates.push((
                    axis.key.clone(),
                    value.to_string().trim_matches('"').to_string(),
                ));
                next.push((coordinates, set(file, text, &axis.key, value)?));
            }
        }
        points = next;
    }
    let mut jobs: Vec<(usize, PolicyName, Scenario)> = Vec::new();
    for (point, (coordinates, text)) in points.iter().enumerate() {
        let settings: Vec<String> = coordinates
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let scenario = scenario::parse(&format!("{file} with {}", settings.join(" ")), text)?;
        jobs.extend(policies.iter().map(|name| (point, *name, scenario.clone())));
    }
    let row = |(point, name, scenario): &(usize, PolicyName, Scenario)| {
        let run = |seed: u64| {
            let metrics = KeyMetrics::of(&run_scenario(scenario, seed, *name));
            done();
            metrics
        };
        let runs: Vec<KeyMetrics> = seeds.clone().into_par_iter().map(run).collect();
        let values = |metric: usize| {
            runs.iter()
                .map(|run| run.named()[metric].1)
                .collect::<Vec<f64>>()
        };
        let names = runs
            .first()
            .map(KeyMetrics::named)
            .into_iter()
            .flatten()
            .enumerate();
        Row {
            at: points[*point].0.clone(),
            policy: name.as_str().into(),
            figures: names
                .map(|(metric, (name, _))| (name.to_string(), Estimate::of(&values(metric))))
                .collect(),
        }
    };
    Ok(jobs.par_iter().map(row).collect())
}

/// The metrics shown in the table, one column each.
const TABLE_METRICS: [&str; 8] = [
    "service",
    "worst_window",
    "worst_class",
    "imbalance",
    "moves",
    "refused",
    "broken",
    "events",
];

/// Formats the rows as a text table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!("{:<40}{:<14}", "point", "policy");
    for name in TABLE_METRICS {
        let _ = write!(text, "{name:>16}");
    }
    for row in rows {
        append_line(&mut text, row);
    }
    text + "\n"
}

fn append_line(text: &mut String, row: &Row) {
    let coordinates: Vec<String> = row
        .at
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let _ = write!(text, "\n{:<40}{:<14}", coordinates.join(" "), row.policy);
    for name in TABLE_METRICS {
        let found = row.figures.iter().find(|(other, _)| other == name);
        let mean = found.map_or(String::new(), |(_, estimate)| {
            format!("{:.3}", estimate.mean)
        });
        let _ = write!(text, "{mean:>16}");
    }
}
