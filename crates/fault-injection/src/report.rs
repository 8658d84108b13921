//! What came of a trial, for people: text, and a time line as a picture.

use plotters::prelude::*;
use serde_json::Value;
use std::fmt::Write;

/// The height of the picture's parts, and its width.
const SIZE: (u32, u32) = (1000, 560);

/// A page of text about an outcome file.
pub fn text(outcome: &Value) -> String {
    let mut out = String::new();
    let number = |value: &Value| value.as_f64().unwrap_or(0.0);
    let _ = writeln!(
        out,
        "{} seed {}: {} nodes, {} requests, service {:.3}, unanswered {}, lost with a node {}",
        outcome["scenario"].as_str().unwrap_or("?"),
        outcome["seed"],
        outcome["nodes"],
        outcome["requests"],
        number(&outcome["service"]),
        outcome["unanswered"],
        outcome["lost"],
    );
    for (at, what) in events(outcome) {
        let _ = writeln!(out, "  {at:7.2} s  {what}");
    }
    for budget in outcome["budgets"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "  budget {}: {} in a second at the most, {} are the whole, {} in all",
            budget["name"].as_str().unwrap_or("?"),
            budget["peak"],
            budget["whole"],
            budget["total"]
        );
    }
    let broken = outcome["judge"]["broken"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    for one in &broken {
        let rule = one["rule"].as_str().unwrap_or("?");
        let _ = writeln!(
            out,
            "  BROKEN {rule} at {:.2} s: {}",
            number(&one["at_s"]),
            one["what"].as_str().unwrap_or("")
        );
    }
    if broken.is_empty() {
        out.push_str("  all rules and bounds held\n");
    }
    out
}

fn events(outcome: &Value) -> Vec<(f64, String)> {
    let event = |event: &Value| Some((event[0].as_f64()?, event[1].as_str()?.to_string()));
    outcome["events"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(event)
        .collect()
}

/// Draws faults, service and each judged sum over time.
pub fn draw(outcome: &Value, to: &std::path::Path) -> Result<(), String> {
    let named = |error: &dyn std::fmt::Display| error.to_string();
    let mut service: Vec<(f64, f64)> = outcome["by_second"]
        .as_object()
        .into_iter()
        .flatten()
        .filter_map(|(second, counts)| {
            let (due, up) = (counts[0].as_f64()?, counts[1].as_f64()?);
            Some((second.parse::<f64>().ok()?, up.min(due) / due.max(1.0)))
        })
        .collect();
    // By time: the file has the seconds in the order of their digits.
    service.sort_by(|one, other| one.0.total_cmp(&other.0));
    let faults: Vec<f64> = events(outcome)
        .iter()
        .filter(|(_, what)| what.starts_with("fault"))
        .map(|(at, _)| *at)
        .collect();
    let end = service.iter().map(|(at, _)| *at).fold(1.0, f64::max) + 1.0;
    let root = SVGBackend::new(to, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| named(&error))?;
    let parts = root.split_evenly((2, 1));
    let plot = |area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
                most: f64,
                lines: Vec<(Vec<(f64, f64)>, RGBColor)>| {
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .build_cartesian_2d(0.0..end, 0.0..most * 1.1)
            .map_err(|error| named(&error))?;
        for (points, colour) in lines {
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|error| named(&error))?;
        }
        let marks = faults
            .iter()
            .map(|at| PathElement::new(vec![(*at, 0.0), (*at, most * 1.1)], RED.mix(0.5)));
        chart
            .draw_series(marks)
            .map(drop)
            .map_err(|error| named(&error))
    };
    // Above: the part of visits served in time; below: the budget's sum over a second, and its whole.
    plot(
        &parts[0],
        1.0,
        vec![
            (service, BLUE),
            (vec![(0.0, 1.0), (end, 1.0)], RGBColor(200, 200, 200)),
        ],
    )?;
    for budget in outcome["budgets"].as_array().into_iter().flatten().take(1) {
        let whole = budget["whole"].as_f64().unwrap_or(1.0);
        let sums = budget["sums"].as_array().into_iter().flatten();
        let sums: Vec<(f64, f64)> = sums
            .filter_map(|sum| Some((sum[0].as_f64()?, sum[1].as_f64()?)))
            .collect();
        let most = sums.iter().map(|(_, sum)| *sum).fold(whole, f64::max);
        plot(
            &parts[1],
            most,
            vec![(sums, BLUE), (vec![(0.0, whole), (end, whole)], BLACK)],
        )?;
    }
    root.present().map_err(|error| named(&error))
}
