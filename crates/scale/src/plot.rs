//! A picture of figures against the size of the cluster, with the laws fitted to them.

use crate::regression::{Figure, LinearFit, Point, QuadraticFit};
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
/// Steps between the smallest and the largest size at which laws are drawn.
const LAW_STEP_COUNT: u32 = 40;
/// How far the axes reach beyond the points.
const MIN_SIZE_FACTOR: f64 = 0.8;
const MAX_SIZE_FACTOR: f64 = 1.25;
const MIN_VALUE_FACTOR: f64 = 0.6;
const MAX_VALUE_FACTOR: f64 = 1.6;

/// A chart of one figure.
struct FigureChart {
    figure: Figure,
    unit: &'static str,
}

const CHARTS: [FigureChart; 6] = [
    FigureChart::new("leader", "bytes_out_per_s_mean", "bytes/s sent"),
    FigureChart::new("hollow-node", "bytes_out_per_s_mean", "bytes/s sent"),
    FigureChart::new("leader", "cpu_share_mean", "of a core"),
    FigureChart::new("hollow-node", "cpu_share_mean", "of a core"),
    FigureChart::new("node", "rss_mb_max", "MB resident"),
    FigureChart::new("hollow-node", "rss_mb_max", "MB resident"),
];

impl FigureChart {
    const fn new(role: &'static str, name: &'static str, unit: &'static str) -> FigureChart {
        FigureChart {
            figure: Figure::new(role, name),
            unit,
        }
    }
}

/// The picture could not be drawn.
#[derive(Debug, Error)]
#[error("{}: {reason}", path.display())]
pub struct DrawError {
    path: PathBuf,
    reason: String,
}

/// A reason of the drawing library, which has a type for each of its parts.
struct DrawFailure(String);

impl DrawFailure {
    fn new(error: impl fmt::Display) -> DrawFailure {
        DrawFailure(error.to_string())
    }
}

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

/// The bounds of points.
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

    /// The least value that is drawn.
    fn floor(&self) -> f64 {
        self.min_value * MIN_VALUE_FACTOR
    }

    /// Points of a law between the smallest and the largest size.
    fn law_points(&self, law: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
        let ratio = self.max_size / self.min_size;
        let steps = (0..=LAW_STEP_COUNT).map(|step| f64::from(step) / f64::from(LAW_STEP_COUNT));
        let sizes = steps.map(|step| self.min_size * ratio.powf(step));
        let points = sizes.map(|size| (size, law(size)));
        points.filter(|(_, value)| *value > self.floor()).collect()
    }
}

/// Draws figures of several outcomes, with the linear fit in red and the quadratic one in green. Both axes are logarithmic,
/// so a power of the size is a straight line.
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
        let mut points = chart.figure.points(outcomes);
        points.retain(|point| point.value > 0.0);
        if let Some(fit) = LinearFit::new(&points) {
            draw_chart(area, &chart, &points, &fit)?;
        }
    }
    root.present().map_err(DrawFailure::new)
}

fn draw_chart(
    area: &DrawingArea<SVGBackend, Shift>,
    figure_chart: &FigureChart,
    points: &[Point],
    fit: &LinearFit,
) -> Result<(), DrawFailure> {
    let bounds = Bounds::of(points);
    let mut chart = new_chart(area, figure_chart, &bounds, fit)?;
    let linear_points = bounds.law_points(|size| fit.at(size));
    let linear = LineSeries::new(linear_points, RED.mix(LINEAR_OPACITY));
    chart.draw_series(linear).map_err(DrawFailure::new)?;
    if let Some(quadratic) = QuadraticFit::new(points) {
        let quadratic_points = bounds.law_points(|size| quadratic.at(size));
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
    figure_chart: &FigureChart,
    bounds: &Bounds,
    fit: &LinearFit,
) -> Result<Chart<'a>, DrawFailure> {
    let exponent = match fit.power_law {
        Some(power_law) => format!("{:.2}", power_law.exponent),
        None => "-".to_string(),
    };
    let role = figure_chart.figure.role;
    let unit = figure_chart.unit;
    let caption = format!("{role}, {unit}: n^{exponent}");
    let sizes = bounds.min_size * MIN_SIZE_FACTOR..bounds.max_size * MAX_SIZE_FACTOR;
    let values = bounds.floor()..bounds.max_value * MAX_VALUE_FACTOR;
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
