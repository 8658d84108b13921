//! Plots results as SVG: the timeline of a run, a metric of a sweep by its first key, the standard deviations of the
//! paper's comparison, and costs by fleet size.

use crate::experiments::cost::Cost;
use crate::experiments::sweep::Row as SweepRow;
use crate::metrics::Sample;
use crate::paper::{Method, Row as PaperRow};
use plotters::prelude::*;
use serde::Deserialize;
use std::io;
use thiserror::Error;

/// An error of plotting results.
#[derive(Debug, Error)]
pub enum PlotError {
    /// The value of a sweep's first key is not a number.
    #[error("{key}={value}: cannot plot a value that is not a number")]
    NotANumber {
        /// The key.
        key: String,
        /// The value of the key.
        value: String,
    },
    /// A sweep has no metric of that name.
    #[error("sweep has no metric {0:?}")]
    UnknownMetric(String),
    /// The drawing library failed.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}

/// The contents of a results file, distinguished by their keys.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Results {
    /// The results of a run.
    Run {
        /// The scenario's name.
        scenario: String,
        /// The policy.
        policy: String,
        /// The timeline.
        timeline: Vec<Sample>,
    },
    /// The results of a sweep.
    Sweep {
        /// One row per grid point and policy.
        sweep: Vec<SweepRow>,
    },
    /// The results of the paper's comparison.
    Paper {
        /// One row per server count, key format and method.
        paper: Vec<PaperRow>,
    },
    /// Measured costs.
    Cost {
        /// One row per fleet size.
        cost: Vec<Cost>,
    },
}

/// Plots results and returns the SVG. `metric` is the metric to plot for a sweep; other results ignore it.
///
/// # Errors
///
/// If the sweep has no metric of that name, if a value of its first key is not a number, or if drawing fails.
pub fn draw(results: &Results, metric: &str) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (1000, 700)).into_drawing_area();
        root.fill(&WHITE)?;
        match results {
            Results::Run {
                scenario,
                policy,
                timeline,
            } => run_chart(&root, &format!("{scenario}, {policy}"), timeline)?,
            Results::Sweep { sweep } => {
                let (x, lines) = sweep_lines(sweep, metric)?;
                chart(&root, metric, &x, metric, &lines, false)?;
            }
            Results::Paper { paper } => paper_chart(&root, paper)?,
            Results::Cost { cost } => cost_chart(&root, cost)?,
        }
        root.present()?;
    }
    Ok(svg)
}

/// Plots the standard deviation of the shares by server count, with a line for each method and key format.
fn paper_chart(root: &Area, paper: &[PaperRow]) -> Result<(), PlotError> {
    let points = |method: Method, keys| {
        let rows = paper
            .iter()
            .filter(|row| row.method == method && row.keys == keys);
        rows.map(|row| (row.servers as f64, row.stddev * 100.0))
            .collect::<Vec<_>>()
    };
    let mut lines = Vec::new();
    for keys in [
        crate::paper::KeyFormat::Guid,
        crate::paper::KeyFormat::Prefixed,
    ] {
        for method in [Method::Product, Method::Pair] {
            lines.push((format!("{method:?}, {keys:?} keys"), points(method, keys)));
        }
    }
    chart(
        root,
        "Standard deviation of shares",
        "servers",
        "% of all keys",
        &lines,
        true,
    )
}

/// Plots the cost of each operation by fleet size.
fn cost_chart(root: &Area, cost: &[Cost]) -> Result<(), PlotError> {
    let line = |name: &str, value: &dyn Fn(&Cost) -> f64| {
        (
            name.to_string(),
            cost.iter()
                .map(|row| (f64::from(row.transcribers), value(row)))
                .collect(),
        )
    };
    let lines = [
        line("request, us", &|row| row.request_us),
        line("walk past all, us", &|row| row.walk_us),
        line("upkeep, ms", &|row| row.upkeep_ms),
    ];
    chart(
        root,
        "Cost against size",
        "transcribers",
        "us or ms",
        &lines,
        true,
    )
}

type Line = (String, Vec<(f64, f64)>);
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Returns the first key of a sweep and its lines: one for each policy and combination of values of the other keys.
fn sweep_lines(rows: &[SweepRow], metric: &str) -> Result<(String, Vec<Line>), PlotError> {
    let mut lines: Vec<Line> = Vec::new();
    let mut axis = String::new();
    for row in rows {
        let Some((key, value)) = row.at.first() else {
            continue;
        };
        axis.clone_from(key);
        let other_values: Vec<String> = row.at[1..]
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let name = format!("{} {}", row.policy, other_values.join(" "))
            .trim()
            .to_string();
        let x: f64 = value.parse().map_err(|_| PlotError::NotANumber {
            key: key.clone(),
            value: value.clone(),
        })?;
        let estimate = row.figures.iter().find(|(name, _)| name == metric);
        let y = estimate
            .ok_or_else(|| PlotError::UnknownMetric(metric.to_string()))?
            .1
            .mean;
        match lines.iter_mut().find(|(other, _)| *other == name) {
            Some(line) => line.1.push((x, y)),
            None => lines.push((name, vec![(x, y)])),
        }
    }
    Ok((axis, lines))
}

/// Returns the minimum and maximum of x and of y, with a non-empty range for each.
fn bounds(lines: &[Line]) -> (f64, f64, f64, f64) {
    let points = || lines.iter().flat_map(|(_, points)| points.iter());
    let x = points()
        .map(|(x, _)| *x)
        .fold((f64::INFINITY, 0.0f64), |(a, b), x| (a.min(x), b.max(x)));
    let y = points()
        .map(|(_, y)| *y)
        .fold((f64::INFINITY, 0.0f64), |(a, b), y| (a.min(y), b.max(y)));
    (
        x.0.min(x.1),
        x.1.max(x.0.min(x.1) + 1e-9),
        y.0.min(y.1),
        y.1.max(y.0.min(y.1) + 1e-9),
    )
}

fn chart(
    root: &Area,
    title: &str,
    x_name: &str,
    y_name: &str,
    lines: &[Line],
    is_log_scale: bool,
) -> Result<(), PlotError> {
    let (x0, x1, y0, y1) = bounds(lines);
    let mut builder = ChartBuilder::on(root);
    builder
        .caption(title, ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(42)
        .y_label_area_size(64);
    if is_log_scale {
        let min_y = y0.max(y1 * 1e-6);
        let mut chart = builder.build_cartesian_2d(
            (x0.max(1e-9)..x1).log_scale(),
            (min_y..y1 * 1.2).log_scale(),
        )?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .draw()?;
        for (index, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = points.iter().map(|(x, y)| (*x, y.max(min_y)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    } else {
        let mut chart = builder.build_cartesian_2d(x0..x1, 0.0..y1 * 1.05)?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .draw()?;
        for (index, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let series = chart.draw_series(line)?;
            if lines.len() <= 12 {
                series.label(name).legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
                });
            }
        }
        if lines.len() <= 12 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()?;
        }
    }
    Ok(())
}

/// Plots service and imbalance in the upper half, and the utilization of each server in the lower half.
fn run_chart(root: &Area, title: &str, timeline: &[Sample]) -> Result<(), PlotError> {
    let (upper, lower) = root.split_vertically(300);
    let points = |value: &dyn Fn(&Sample) -> f64| {
        timeline
            .iter()
            .map(|sample| (sample.at_s, value(sample)))
            .collect::<Vec<_>>()
    };
    let lines = [
        ("service".into(), points(&|sample| sample.service)),
        ("imbalance".into(), points(&|sample| sample.imbalance)),
    ];
    chart(&upper, title, "s", "share", &lines, false)?;
    let server_count = timeline
        .iter()
        .map(|sample| sample.used.len())
        .max()
        .unwrap_or(0);
    let mut loads: Vec<Line> = Vec::new();
    for server in 0..server_count {
        let server_loads = timeline
            .iter()
            .filter_map(|sample| Some((sample.at_s, (*sample.used.get(server)?)?)));
        loads.push((format!("transcriber {server}"), server_loads.collect()));
    }
    if loads.is_empty() {
        loads.push(("standing".into(), points(&|sample| sample.standing as f64)));
    }
    chart(&lower, "Load over capacity", "s", "load", &loads, false)
}
