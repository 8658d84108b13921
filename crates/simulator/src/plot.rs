//! Plots as SVG: the time line of a run, a sweep's figure against its first key, the paper's deviations, costs by size.

use crate::experiments::cost::Cost;
use crate::experiments::sweep::Row as SweepRow;
use crate::metrics::Sample;
use crate::paper::{Method, Row as PaperRow};
use plotters::prelude::*;
use serde::Deserialize;
use std::io;
use thiserror::Error;

/// Why results could not be drawn.
#[derive(Debug, Error)]
pub enum PlotError {
    /// The value of a sweep's first key is no number.
    #[error("{key}={value}: a plot needs numbers")]
    NotANumber {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// A sweep has no figure of that name.
    #[error("no figure is called {0:?}")]
    UnknownFigure(String),
    /// The drawing library failed.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}

/// What a file of results holds, told by its keys.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Results {
    /// A run.
    Run {
        /// The scenario's name.
        scenario: String,
        /// The policy.
        policy: String,
        /// The time line.
        timeline: Vec<Sample>,
    },
    /// A sweep.
    Sweep {
        /// Its points.
        sweep: Vec<SweepRow>,
    },
    /// The paper's comparison.
    Paper {
        /// Its rows.
        paper: Vec<PaperRow>,
    },
    /// Costs against size.
    Cost {
        /// Its rows.
        cost: Vec<Cost>,
    },
}

/// Draws results; `figure` names the figure of a sweep. The SVG's text is returned.
///
/// # Errors
///
/// If no figure of the sweep has that name, if a value of its first key is no number, or if drawing fails.
pub fn draw(results: &Results, figure: &str) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (1000, 700)).into_drawing_area();
        root.fill(&WHITE)?;
        match results {
            Results::Run {
                scenario,
                policy,
                timeline,
            } => run(&root, &format!("{scenario}, {policy}"), timeline)?,
            Results::Sweep { sweep } => {
                let (x, lines) = sweep_lines(sweep, figure)?;
                chart(&root, figure, &x, figure, &lines, false)?;
            }
            Results::Paper { paper } => paper_chart(&root, paper)?,
            Results::Cost { cost } => cost_chart(&root, cost)?,
        }
        root.present()?;
    }
    Ok(svg)
}

/// Standard deviations of the shares by servers, a line for each method and form of keys.
fn paper_chart(root: &Area, paper: &[PaperRow]) -> Result<(), PlotError> {
    let of = |method: Method, keys| {
        let rows = paper
            .iter()
            .filter(|row| row.method == method && row.keys == keys);
        rows.map(|row| (row.servers as f64, row.stddev * 100.0))
            .collect::<Vec<_>>()
    };
    let mut lines = Vec::new();
    for keys in [crate::paper::Form::Guid, crate::paper::Form::Prefixed] {
        for method in [Method::Product, Method::Pair] {
            lines.push((format!("{method:?}, {keys:?} keys"), of(method, keys)));
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

/// The cost of each kind of work by size of the fleet.
fn cost_chart(root: &Area, cost: &[Cost]) -> Result<(), PlotError> {
    let line = |name: &str, of: &dyn Fn(&Cost) -> f64| {
        (
            name.to_string(),
            cost.iter()
                .map(|row| (f64::from(row.transcribers), of(row)))
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

/// The lines of a sweep: one for each policy and each further key's value, by the first key.
fn sweep_lines(rows: &[SweepRow], figure: &str) -> Result<(String, Vec<Line>), PlotError> {
    let mut lines: Vec<Line> = Vec::new();
    let mut axis = String::new();
    for row in rows {
        let Some((key, value)) = row.at.first() else {
            continue;
        };
        axis.clone_from(key);
        let rest: Vec<String> = row.at[1..]
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let name = format!("{} {}", row.policy, rest.join(" "))
            .trim()
            .to_string();
        let x: f64 = value.parse().map_err(|_| PlotError::NotANumber {
            key: key.clone(),
            value: value.clone(),
        })?;
        let found = row.figures.iter().find(|(name, _)| name == figure);
        let y = found
            .ok_or_else(|| PlotError::UnknownFigure(figure.to_string()))?
            .1
            .mean;
        match lines.iter_mut().find(|(other, _)| *other == name) {
            Some(line) => line.1.push((x, y)),
            None => lines.push((name, vec![(x, y)])),
        }
    }
    Ok((axis, lines))
}

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
    log: bool,
) -> Result<(), PlotError> {
    let (x0, x1, y0, y1) = bounds(lines);
    let mut builder = ChartBuilder::on(root);
    builder
        .caption(title, ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(42)
        .y_label_area_size(64);
    if log {
        let low = y0.max(y1 * 1e-6);
        let mut chart = builder
            .build_cartesian_2d((x0.max(1e-9)..x1).log_scale(), (low..y1 * 1.2).log_scale())?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .draw()?;
        for (at, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            let points = points.iter().map(|(x, y)| (*x, y.max(low)));
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
        for (at, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(line)?;
            if lines.len() <= 12 {
                drawn.label(name).legend(move |(x, y)| {
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

/// Service and imbalance above, the load of each transcriber below.
fn run(root: &Area, title: &str, timeline: &[Sample]) -> Result<(), PlotError> {
    let (above, below) = root.split_vertically(300);
    let over = |of: &dyn Fn(&Sample) -> f64| {
        timeline
            .iter()
            .map(|at| (at.at_s, of(at)))
            .collect::<Vec<_>>()
    };
    let lines = [
        ("service".into(), over(&|at| at.service)),
        ("imbalance".into(), over(&|at| at.imbalance)),
    ];
    chart(&above, title, "s", "share", &lines, false)?;
    let most = timeline.iter().map(|at| at.used.len()).max().unwrap_or(0);
    let mut loads: Vec<Line> = Vec::new();
    for server in 0..most {
        let points = timeline
            .iter()
            .filter_map(|at| Some((at.at_s, (*at.used.get(server)?)?)));
        loads.push((format!("transcriber {server}"), points.collect()));
    }
    if loads.is_empty() {
        loads.push(("standing".into(), over(&|at| at.standing as f64)));
    }
    chart(&below, "Load over capacity", "s", "load", &loads, false)
}
