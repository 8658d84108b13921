//! Lines through measurements, without I/O.

use serde::Serialize;
use serde_json::Value;

/// A line by least squares, and how well it holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// y = base + slope n.
    pub base: f64,
    /// See `base`.
    pub slope: f64,
    /// The root of the mean square of what the line misses, as a part of the mean.
    pub residual: f64,
    /// y grows with this power of n, by a line through the logarithms; none where a value is not above 0.
    pub power: Option<f64>,
    /// See `residual`, of that one.
    pub power_residual: Option<f64>,
}

/// Base and slope.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let both: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    (spread > 0.0).then(|| (y - both / spread * x, both / spread))
}

fn missed(points: &[(f64, f64)], line: impl Fn(f64) -> f64) -> f64 {
    let count = points.len() as f64;
    let square: f64 = points.iter().map(|(n, y)| (y - line(*n)).powi(2)).sum();
    let mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    (square / count).sqrt() / mean.abs().max(f64::MIN_POSITIVE)
}

/// n (base + slope n): what each node adds grows with the size itself, as where each is told of each. Base, slope and what it
/// misses as a part of the mean.
pub fn square(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let each: Vec<(f64, f64)> = points
        .iter()
        .filter(|(n, _)| *n > 0.0)
        .map(|(n, y)| (*n, y / n))
        .collect();
    let (base, slope) = least_squares(&each)?;
    Some((base, slope, missed(points, |n| n * (base + slope * n))))
}

/// The line through these points; at least two sizes are needed.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let (base, slope) = least_squares(points)?;
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|(n, y)| *n > 0.0 && *y > 0.0)
        .map(|(n, y)| (n.ln(), y.ln()))
        .collect();
    let power = if logs.len() == points.len() {
        least_squares(&logs)
    } else {
        None
    };
    Some(Line {
        base,
        slope,
        residual: missed(points, |n| base + slope * n),
        power: power.map(|(_, power)| power),
        power_residual: power
            .map(|(base, power)| missed(points, |n| (base + power * n.ln()).exp())),
    })
}

/// What is fitted: role and figure, by the names in a run's file.
pub const FIGURES: [(&str, &str); 14] = [
    ("leader", "bytes_out_per_s_mean"),
    ("leader", "messages_per_s_mean"),
    ("leader", "cpu_share_mean"),
    ("control", "bytes_out_per_s_mean"),
    ("control", "cpu_share_mean"),
    ("seed", "bytes_out_per_s_mean"),
    ("seed", "cpu_share_mean"),
    ("node", "bytes_out_per_s_mean"),
    ("node", "cpu_share_mean"),
    ("node", "rss_mb_max"),
    ("hollow-node", "bytes_out_per_s_mean"),
    ("hollow-node", "messages_per_s_mean"),
    ("hollow-node", "cpu_share_mean"),
    ("hollow-node", "rss_mb_max"),
];

/// The points of one figure in several runs' files; runs in which nobody had the role are left out.
pub fn points(runs: &[Value], role: &str, figure: &str) -> Vec<(f64, f64)> {
    let point = |run: &Value| {
        let of = &run["roles"][role];
        let there = of["processes"].as_u64().unwrap_or(0) > 0;
        there
            .then(|| Some((run["nodes"].as_f64()?, of[figure].as_f64()?)))
            .flatten()
    };
    runs.iter().filter_map(point).collect()
}

#[cfg(test)]
mod tests;
