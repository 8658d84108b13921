//! Experiments over many runs: comparisons of policies with common random numbers, parameter sweeps, the search for
//! the worst scenario, and CPU cost measurements.

pub mod compare;
pub mod cost;
pub mod search;
pub mod sweep;

use crate::metrics::Outcome;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The metrics of a run that experiments compare.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyMetrics {
    /// Service score from 0 to 1.
    pub service: f64,
    /// Fraction of the demand that was served within its objectives, weighted by class.
    pub whole: f64,
    /// Fraction served within its objectives in the worst 10 s.
    pub worst_window: f64,
    /// Fraction served within its objectives for the worst class.
    pub worst_class: f64,
    /// Relative spread of the servers' utilization.
    pub imbalance: f64,
    /// Migrations per first request.
    pub moves: f64,
    /// Rejections and failures per request, retries included.
    pub refused: f64,
    /// 99th percentile of the setup time, ms.
    pub set_up_ms: f64,
    /// Number of rule violations.
    pub broken: f64,
    /// Number of simulated events.
    pub events: f64,
}

impl KeyMetrics {
    /// Returns the metrics of a run.
    pub fn of(run: &Outcome) -> Self {
        KeyMetrics {
            service: run.service,
            whole: run.whole,
            worst_window: run.worst_window,
            worst_class: run.worst_class,
            imbalance: run.imbalance,
            moves: run.moves as f64 / run.firsts.max(1) as f64,
            refused: run.refused as f64 / run.tries.max(1) as f64,
            set_up_ms: run.set_up_ms[2],
            broken: run.times_broken as f64,
            events: run.events as f64,
        }
    }

    /// Returns the metrics with their names, always in the same order.
    pub fn named(&self) -> [(&'static str, f64); 10] {
        [
            ("service", self.service),
            ("whole", self.whole),
            ("worst_window", self.worst_window),
            ("worst_class", self.worst_class),
            ("imbalance", self.imbalance),
            ("moves", self.moves),
            ("refused", self.refused),
            ("set_up_ms", self.set_up_ms),
            ("broken", self.broken),
            ("events", self.events),
        ]
    }
}

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval. `None`, written as null, for fewer than two values.
    pub half_width: Option<f64>,
}

impl Estimate {
    /// Estimates the mean of independent values.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Estimate {
                mean,
                half_width: None,
            };
        }
        let variance = values
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>()
            / (count - 1.0);
        let factor =
            StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
        Estimate {
            mean,
            half_width: Some(factor * (variance / count).sqrt()),
        }
    }

    /// Returns true if zero lies outside the interval.
    pub fn excludes_zero(&self) -> bool {
        self.half_width
            .is_some_and(|half_width| self.mean.abs() > half_width)
    }
}
