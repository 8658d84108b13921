//! Human-readable reports of an outcome file: text, and a chart of the timeline.

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, DrawingArea, IntoDrawingArea, LineSeries,
    PathElement, RGBColor, SVGBackend, BLACK, BLUE, RED, WHITE,
};
use serde_json::Value;
use std::fmt::{self, Write};
use std::path::Path;
use thiserror::Error;

/// Width and height of the chart image in pixels.
const IMAGE_SIZE: (u32, u32) = (1000, 560);
const CHART_MARGIN: u32 = 12;
const LINE_WIDTH: u32 = 2;
/// Ratio of the upper end of the vertical axis to the greatest value.
const AXIS_HEADROOM: f64 = 1.1;
const FAULT_OPACITY: f64 = 0.5;
const GREY: RGBColor = RGBColor(200, 200, 200);

/// An error while drawing the chart.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct DrawError(String);

impl DrawError {
    /// Converts any error of the drawing library, which has a separate error type for each of its parts.
    fn new(error: impl fmt::Display) -> DrawError {
        DrawError(error.to_string())
    }
}

/// Renders an outcome as text.
pub fn text(outcome: &Value) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_summary(&mut text, outcome);
    let _ = write_events(&mut text, outcome);
    let _ = write_budgets(&mut text, outcome);
    let _ = write_violations(&mut text, outcome);
    text
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn write_summary(text: &mut String, outcome: &Value) -> fmt::Result {
    writeln!(
        text,
        "{} seed {}: {} nodes, {} requests, service {:.3}, unanswered {}, lost with killed or frozen nodes {}",
        outcome["scenario"].as_str().unwrap_or("?"),
        outcome["seed"],
        outcome["nodes"],
        outcome["requests"],
        number(&outcome["service"]),
        outcome["unanswered"],
        outcome["lost"],
    )
}

fn write_events(text: &mut String, outcome: &Value) -> fmt::Result {
    for event in events(outcome) {
        writeln!(text, "  {:7.2} s  {}", event.at_s, event.text)?;
    }
    Ok(())
}

fn write_budgets(text: &mut String, outcome: &Value) -> fmt::Result {
    for budget in elements(&outcome["budgets"]) {
        writeln!(
            text,
            "  budget {}: peak {} in a second, limit {}, total {}",
            budget["name"].as_str().unwrap_or("?"),
            budget["peak"],
            budget["whole"],
            budget["total"]
        )?;
    }
    Ok(())
}

fn write_violations(text: &mut String, outcome: &Value) -> fmt::Result {
    let mut violation_count = 0;
    for violation in elements(&outcome["judge"]["broken"]) {
        violation_count += 1;
        writeln!(
            text,
            "  BROKEN {} at {:.2} s: {}",
            violation["rule"].as_str().unwrap_or("?"),
            number(&violation["at_s"]),
            violation["what"].as_str().unwrap_or("")
        )?;
    }
    if violation_count == 0 {
        writeln!(text, "  all rules and bounds held")?;
    }
    Ok(())
}

/// The elements of an array; empty for any other value.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// An entry of the outcome's timeline.
struct ReportedEvent<'a> {
    at_s: f64,
    text: &'a str,
}

fn events(outcome: &Value) -> impl Iterator<Item = ReportedEvent<'_>> {
    elements(&outcome["events"]).filter_map(|event| {
        Some(ReportedEvent {
            at_s: event[0].as_f64()?,
            text: event[1].as_str()?,
        })
    })
}

/// A point of a chart: time in seconds, and value.
type Point = (f64, f64);
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The horizontal axis and the fault times that both charts share.
struct TimeAxis {
    end_s: f64,
    fault_times_s: Vec<f64>,
}

/// The fraction of sessions that were served in time, by second.
fn service_points(outcome: &Value) -> Vec<Point> {
    let seconds = outcome["by_second"].as_object().into_iter().flatten();
    let points = seconds.filter_map(|(second, counts)| {
        let due = counts[0].as_f64()?;
        let served = counts[1].as_f64()?;
        Some((second.parse().ok()?, served.min(due) / due.max(1.0)))
    });
    let mut points: Vec<Point> = points.collect();
    // The keys of the JSON object are ordered as text, not as numbers.
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    points
}

/// Draws the service ratio and the usage of the first budget over time, with a vertical line at each fault.
///
/// # Errors
///
/// If the file can't be written.
pub fn draw(outcome: &Value, path: &Path) -> Result<(), DrawError> {
    let service = service_points(outcome);
    let faults = events(outcome).filter(|event| event.text.starts_with("fault"));
    let axis = TimeAxis {
        end_s: service.iter().map(|point| point.0).fold(1.0, f64::max) + 1.0,
        fault_times_s: faults.map(|event| event.at_s).collect(),
    };
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(DrawError::new)?;
    let areas = root.split_evenly((2, 1));
    let mut service_chart = new_chart(&areas[0], &axis, 1.0)?;
    draw_line(&mut service_chart, service, BLUE)?;
    draw_line(&mut service_chart, horizontal_line(&axis, 1.0), GREY)?;
    draw_faults(&mut service_chart, &axis, 1.0)?;
    if let Some(budget) = elements(&outcome["budgets"]).next() {
        draw_budget(&areas[1], &axis, budget)?;
    }
    root.present().map_err(DrawError::new)
}

/// Draws the usage of a budget in each second, and its limit.
fn draw_budget(
    area: &DrawingArea<SVGBackend, Shift>,
    axis: &TimeAxis,
    budget: &Value,
) -> Result<(), DrawError> {
    let limit = budget["whole"].as_f64().unwrap_or(1.0);
    let sums = elements(&budget["sums"]);
    let sums = sums.filter_map(|sum| Some((sum[0].as_f64()?, sum[1].as_f64()?)));
    let sums: Vec<Point> = sums.collect();
    let max = sums.iter().map(|point| point.1).fold(limit, f64::max);
    let mut chart = new_chart(area, axis, max)?;
    draw_line(&mut chart, sums, BLUE)?;
    draw_line(&mut chart, horizontal_line(axis, limit), BLACK)?;
    draw_faults(&mut chart, axis, max)
}

fn new_chart<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    axis: &TimeAxis,
    max: f64,
) -> Result<Chart<'a>, DrawError> {
    ChartBuilder::on(area)
        .margin(CHART_MARGIN)
        .build_cartesian_2d(0.0..axis.end_s, 0.0..max * AXIS_HEADROOM)
        .map_err(DrawError::new)
}

fn draw_line(chart: &mut Chart, points: Vec<Point>, color: RGBColor) -> Result<(), DrawError> {
    let line = LineSeries::new(points, color.stroke_width(LINE_WIDTH));
    chart.draw_series(line).map_err(DrawError::new)?;
    Ok(())
}

fn horizontal_line(axis: &TimeAxis, value: f64) -> Vec<Point> {
    vec![(0.0, value), (axis.end_s, value)]
}

/// Draws a vertical line at the time of each fault.
fn draw_faults(chart: &mut Chart, axis: &TimeAxis, max: f64) -> Result<(), DrawError> {
    let top = max * AXIS_HEADROOM;
    let lines = axis
        .fault_times_s
        .iter()
        .map(|at_s| PathElement::new(vec![(*at_s, 0.0), (*at_s, top)], RED.mix(FAULT_OPACITY)));
    chart.draw_series(lines).map_err(DrawError::new)?;
    Ok(())
}
