//! Charts of metrics against the cluster size, with the models fitted to them.

use crate::regression::{LinearFit, Metric, Point, QuadraticFit};
use plotters::coord::combinators::LogCoord;
use plotters::coord::Shift;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Circle, Color, DrawingArea, IntoDrawingArea,
    IntoLogRange, LineSeries, SVGBackend, BLUE, GREEN, RED, WHITE,
};
use serde_json::Value;
use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Width and height of the picture in pixels.
const PICTURE_SIZE: (u32, u32) = (1000, 1200);
/// Rows and columns of charts.
const CHART_GRID: (usize, usize) = (3, 2);
const CHART_MARGIN: u32 = 14;
const CAPTION_SIZE: u32 = 18;
const SIZE_LABEL_HEIGHT: u32 = 34;
const VALUE_LABEL_WIDTH: u32 = 70;
const POINT_RADIUS: u32 = 4;
const LINEAR_OPACITY: f64 = 0.6;
const QUADRATIC_OPACITY: f64 = 0.9;
/// Number of steps of the curve of a model, from the smallest to the largest size.
const CURVE_STEP_COUNT: u32 = 40;
/// Bounds of the axes, as factors of the smallest and largest size and value.
const MIN_SIZE_FACTOR: f64 = 0.8;
const MAX_SIZE_FACTOR: f64 = 1.25;
const MIN_VALUE_FACTOR: f64 = 0.6;
const MAX_VALUE_FACTOR: f64 = 1.6;

/// A chart of one metric.
struct MetricChart {
    metric: Metric,
    unit: &'static str,
}

const CHARTS: [MetricChart; 6] = [
    MetricChart::new("leader", "bytes_out_per_s_mean", "bytes/s sent"),
    MetricChart::new("hollow-node", "bytes_out_per_s_mean", "bytes/s sent"),
    MetricChart::new("leader", "cpu_share_mean", "of a core"),
    MetricChart::new("hollow-node", "cpu_share_mean", "of a core"),
    MetricChart::new("node", "rss_mb_max", "MB resident"),
    MetricChart::new("hollow-node", "rss_mb_max", "MB resident"),
];

impl MetricChart {
    const fn new(role: &'static str, name: &'static str, unit: &'static str) -> MetricChart {
        MetricChart {
            metric: Metric::new(role, name),
            unit,
        }
    }
}

/// The picture can't be drawn.
#[derive(Debug, Error)]
#[error("{}: {reason}", path.display())]
pub struct DrawError {
    path: PathBuf,
    reason: String,
}

/// An error of the drawing library as text, since the library has many error types.
struct DrawFailure(String);

impl DrawFailure {
    fn new(error: impl fmt::Display) -> DrawFailure {
        DrawFailure(error.to_string())
    }
}

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

/// Bounds of points.
struct Bounds {
    min_size: f64,
    max_size: f64,
    min_value: f64,
    max_value: f64,
}

impl Bounds {
    fn of(points: &[Point]) -> Bounds {
        let sizes = points.iter().map(|point| point.size);
        let values = points.iter().map(|point| point.value);
        Bounds {
            min_size: sizes.clone().fold(f64::MAX, f64::min),
            max_size: sizes.fold(0.0, f64::max),
            min_value: values.clone().fold(f64::MAX, f64::min),
            max_value: values.fold(0.0, f64::max),
        }
    }

    /// Returns the lower bound of the value axis.
    fn min_drawn_value(&self) -> f64 {
        self.min_value * MIN_VALUE_FACTOR
    }

    /// Returns points on the curve of a model between the smallest and the largest size.
    fn curve_points(&self, model: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
        let ratio = self.max_size / self.min_size;
        let steps =
            (0..=CURVE_STEP_COUNT).map(|step| f64::from(step) / f64::from(CURVE_STEP_COUNT));
        let sizes = steps.map(|step| self.min_size * ratio.powf(step));
        let points = sizes.map(|size| (size, model(size)));
        points
            .filter(|(_, value)| *value > self.min_drawn_value())
            .collect()
    }
}

/// Draws the metrics of several outcomes, with the linear fit in red and the quadratic fit in green. Both axes are
/// logarithmic, so that a power law is a straight line.
///
/// # Errors
///
/// If the file can't be written.
pub fn draw(outcomes: &[Value], path: &Path) -> Result<(), DrawError> {
    draw_charts(outcomes, path).map_err(|failure| DrawError {
        path: path.to_path_buf(),
        reason: failure.0,
    })
}

fn draw_charts(outcomes: &[Value], path: &Path) -> Result<(), DrawFailure> {
    let root = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(DrawFailure::new)?;
    for (area, chart) in root.split_evenly(CHART_GRID).iter().zip(CHARTS) {
        let mut points = chart.metric.points(outcomes);
        points.retain(|point| point.value > 0.0);
        if let Some(fit) = LinearFit::new(&points) {
            draw_chart(area, &chart, &points, &fit)?;
        }
    }
    root.present().map_err(DrawFailure::new)
}

fn draw_chart(
    area: &DrawingArea<SVGBackend, Shift>,
    metric_chart: &MetricChart,
    points: &[Point],
    fit: &LinearFit,
) -> Result<(), DrawFailure> {
    let bounds = Bounds::of(points);
    let mut chart = new_chart(area, metric_chart, &bounds, fit)?;
    let linear_points = bounds.curve_points(|size| fit.value_at(size));
    let linear = LineSeries::new(linear_points, RED.mix(LINEAR_OPACITY));
    chart.draw_series(linear).map_err(DrawFailure::new)?;
    if let Some(quadratic) = QuadraticFit::new(points) {
        let quadratic_points = bounds.curve_points(|size| quadratic.value_at(size));
        let quadratic = LineSeries::new(quadratic_points, GREEN.mix(QUADRATIC_OPACITY));
        chart.draw_series(quadratic).map_err(DrawFailure::new)?;
    }
    let circles = points
        .iter()
        .map(|point| Circle::new((point.size, point.value), POINT_RADIUS, BLUE.filled()));
    chart.draw_series(circles).map_err(DrawFailure::new)?;
    Ok(())
}

fn new_chart<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    metric_chart: &MetricChart,
    bounds: &Bounds,
    fit: &LinearFit,
) -> Result<Chart<'a>, DrawFailure> {
    let exponent = match fit.power_law {
        Some(power_law) => format!("{:.2}", power_law.exponent),
        None => "-".to_string(),
    };
    let role = metric_chart.metric.role;
    let unit = metric_chart.unit;
    let caption = format!("{role}, {unit}: n^{exponent}");
    let sizes = bounds.min_size * MIN_SIZE_FACTOR..bounds.max_size * MAX_SIZE_FACTOR;
    let values = bounds.min_drawn_value()..bounds.max_value * MAX_VALUE_FACTOR;
    let mut chart = ChartBuilder::on(area)
        .margin(CHART_MARGIN)
        .caption(caption, ("sans-serif", CAPTION_SIZE))
        .x_label_area_size(SIZE_LABEL_HEIGHT)
        .y_label_area_size(VALUE_LABEL_WIDTH)
        .build_cartesian_2d(sizes.log_scale(), values.log_scale())
        .map_err(DrawFailure::new)?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .y_desc(unit)
        .draw()
        .map_err(DrawFailure::new)?;
    Ok(chart)
}
