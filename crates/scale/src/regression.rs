//! Regression of metrics against the cluster size, without I/O.

use serde_json::Value;

/// The value of a metric at one cluster size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Number of nodes.
    pub size: f64,
    /// Value of the metric.
    pub value: f64,
}

impl Point {
    /// Creates a point.
    pub fn new(size: f64, value: f64) -> Point {
        Point { size, value }
    }
}

/// `base + slope * size` by least squares, with a power law for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Value at size 0.
    pub base: f64,
    /// Increase per node.
    pub slope: f64,
    /// Root mean square error, as a fraction of the mean value.
    pub residual: f64,
    /// The power law for the same points; `None` if a value is not above 0.
    pub power_law: Option<PowerLaw>,
}

/// A power of the size, by least squares on the logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// Exponent of the size.
    pub exponent: f64,
    /// As in [`LinearFit`].
    pub residual: f64,
}

/// `size * (base + slope * size)` by least squares of the value per node. That value grows with the size, for example
/// if every node receives messages about every other node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuadraticFit {
    /// Value per node at size 0.
    pub base: f64,
    /// Increase of the value per node with each additional node.
    pub slope: f64,
    /// As in [`LinearFit`].
    pub residual: f64,
}

impl LinearFit {
    /// Fits points; returns `None` if all points have the same size.
    pub fn new(points: &[Point]) -> Option<LinearFit> {
        let line = Line::fit(points)?;
        Some(LinearFit {
            base: line.base,
            slope: line.slope,
            residual: residual(points, |size| line.value_at(size)),
            power_law: PowerLaw::new(points),
        })
    }

    /// Returns the value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl PowerLaw {
    fn new(points: &[Point]) -> Option<PowerLaw> {
        let logarithms: Vec<Point> = points
            .iter()
            .filter(|point| point.size > 0.0 && point.value > 0.0)
            .map(|point| Point::new(point.size.ln(), point.value.ln()))
            .collect();
        if logarithms.len() != points.len() {
            return None;
        }
        let line = Line::fit(&logarithms)?;
        Some(PowerLaw {
            exponent: line.slope,
            residual: residual(points, |size| line.value_at(size.ln()).exp()),
        })
    }
}

impl QuadraticFit {
    /// Fits points; returns `None` if all points have the same size.
    pub fn new(points: &[Point]) -> Option<QuadraticFit> {
        let per_node: Vec<Point> = points
            .iter()
            .filter(|point| point.size > 0.0)
            .map(|point| Point::new(point.size, point.value / point.size))
            .collect();
        let line = Line::fit(&per_node)?;
        Some(QuadraticFit {
            base: line.base,
            slope: line.slope,
            residual: residual(points, |size| size * line.value_at(size)),
        })
    }

    /// Returns the value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        size * (self.base + self.slope * size)
    }
}

/// A line by least squares.
struct Line {
    base: f64,
    slope: f64,
}

impl Line {
    fn fit(points: &[Point]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let variance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        (variance > 0.0).then(|| Line {
            base: mean_value - covariance / variance * mean_size,
            slope: covariance / variance,
        })
    }

    fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Returns the root mean square error of a model, as a fraction of the mean value.
fn residual(points: &[Point], model: impl Fn(f64) -> f64) -> f64 {
    let count = points.len() as f64;
    let squares = points
        .iter()
        .map(|point| (point.value - model(point.size)).powi(2));
    let square_sum: f64 = squares.sum();
    let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    (square_sum / count).sqrt() / mean.abs().max(f64::MIN_POSITIVE)
}

/// A metric of a role, by the names in outcome files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The role.
    pub role: &'static str,
    /// Name of the metric.
    pub name: &'static str,
}

impl Metric {
    /// Creates a metric of a role.
    pub const fn new(role: &'static str, name: &'static str) -> Metric {
        Metric { role, name }
    }

    /// Returns one point per outcome, without the outcomes in which no node had the role.
    pub fn points(&self, outcomes: &[Value]) -> Vec<Point> {
        outcomes
            .iter()
            .filter_map(|outcome| self.point(outcome))
            .collect()
    }

    fn point(&self, outcome: &Value) -> Option<Point> {
        let role = &outcome["roles"][self.role];
        if role["processes"].as_u64().unwrap_or(0) == 0 {
            return None;
        }
        let size = outcome["nodes"].as_f64()?;
        Some(Point::new(size, role[self.name].as_f64()?))
    }
}

/// The metrics to which models are fitted.
pub const FITTED_METRICS: [Metric; 14] = [
    Metric::new("leader", "bytes_out_per_s_mean"),
    Metric::new("leader", "messages_per_s_mean"),
    Metric::new("leader", "cpu_share_mean"),
    Metric::new("control", "bytes_out_per_s_mean"),
    Metric::new("control", "cpu_share_mean"),
    Metric::new("seed", "bytes_out_per_s_mean"),
    Metric::new("seed", "cpu_share_mean"),
    Metric::new("node", "bytes_out_per_s_mean"),
    Metric::new("node", "cpu_share_mean"),
    Metric::new("node", "rss_mb_max"),
    Metric::new("hollow-node", "bytes_out_per_s_mean"),
    Metric::new("hollow-node", "messages_per_s_mean"),
    Metric::new("hollow-node", "cpu_share_mean"),
    Metric::new("hollow-node", "rss_mb_max"),
];

#[cfg(test)]
mod tests;
