//! The figures of several runs against the size, and the power by which they grow, as a picture.

use crate::regression as fit;
use plotters::prelude::*;
use serde_json::Value;
use std::path::Path;

const SIZE: (u32, u32) = (1000, 1200);
/// What is drawn, each in a part of its own, with its unit.
const DRAWN: [(&str, &str, &str); 6] = [
    ("leader", "bytes_out_per_s_mean", "bytes/s sent"),
    ("hollow-node", "bytes_out_per_s_mean", "bytes/s sent"),
    ("leader", "cpu_share_mean", "of a core"),
    ("hollow-node", "cpu_share_mean", "of a core"),
    ("node", "rss_mb_max", "MB resident"),
    ("hollow-node", "rss_mb_max", "MB resident"),
];

/// Draws them, with the straight line in red and the one of what each node adds in green; both axes are logarithmic, so a power of
/// the size is a straight line.
pub fn draw(runs: &[Value], to: &Path) -> Result<(), String> {
    let named = |error: &dyn std::fmt::Display| format!("{}: {error}", to.display());
    let root = SVGBackend::new(to, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| named(&error))?;
    for (area, (role, figure, unit)) in root.split_evenly((3, 2)).iter().zip(DRAWN) {
        let points: Vec<(f64, f64)> = fit::points(runs, role, figure)
            .into_iter()
            .filter(|(_, y)| *y > 0.0)
            .collect();
        let Some(line) = fit::line(&points) else {
            continue;
        };
        let edge = |of: fn(&(f64, f64)) -> f64, start: f64, with: fn(f64, f64) -> f64| {
            points.iter().map(of).fold(start, with)
        };
        let (left, right) = (
            edge(|p| p.0, f64::MAX, f64::min),
            edge(|p| p.0, 0.0, f64::max),
        );
        let (low, high) = (
            edge(|p| p.1, f64::MAX, f64::min),
            edge(|p| p.1, 0.0, f64::max),
        );
        let power = line.power.map_or("-".into(), |power| format!("{power:.2}"));
        let mut chart = ChartBuilder::on(area)
            .margin(14)
            .caption(format!("{role}, {unit}: n^{power}"), ("sans-serif", 18))
            .x_label_area_size(34)
            .y_label_area_size(70)
            .build_cartesian_2d(
                (left * 0.8..right * 1.25).log_scale(),
                (low * 0.6..high * 1.6).log_scale(),
            )
            .map_err(|error| named(&error))?;
        chart
            .configure_mesh()
            .x_desc("nodes")
            .y_desc(unit)
            .draw()
            .map_err(|error| named(&error))?;
        let steps = (0..=40).map(|step| left * (right / left).powf(f64::from(step) / 40.0));
        let straight = steps
            .clone()
            .map(|n| (n, line.base + line.slope * n))
            .filter(|(_, y)| *y > low * 0.6);
        chart
            .draw_series(LineSeries::new(straight, RED.mix(0.6)))
            .map_err(|error| named(&error))?;
        if let Some((base, slope, _)) = fit::square(&points) {
            let bent = steps
                .map(|n| (n, n * (base + slope * n)))
                .filter(|(_, y)| *y > low * 0.6);
            chart
                .draw_series(LineSeries::new(bent, GREEN.mix(0.9)))
                .map_err(|error| named(&error))?;
        }
        chart
            .draw_series(
                points
                    .iter()
                    .map(|point| Circle::new(*point, 4, BLUE.filled())),
            )
            .map_err(|error| named(&error))?;
    }
    root.present().map_err(|error| named(&error))
}
