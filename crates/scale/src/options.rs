//! Options of a run, and their bounds.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use thiserror::Error;

const MIN_NODE_COUNT: usize = 4;
const MAX_NODE_COUNT: usize = 1_000;
const MIN_REAL_COUNT: usize = 2;
const MAX_REAL_COUNT: usize = 50;
const MIN_EXPECTED_COUNT: usize = 3;
const MAX_MEASURED_SECONDS: f64 = 600.0;
const MAX_SETTLE_SECONDS: f64 = 900.0;
const MAX_LOSS_RATIO: f64 = 0.9;
/// Descriptors of a run that do not depend on its size.
const SPARE_DESCRIPTORS: usize = 100;
/// Descriptors of a node's proxy and of its connections through that.
const DESCRIPTORS_PER_NODE: usize = 4;

/// How a run is carried out.
pub struct RunOptions {
    /// Number of all nodes.
    pub node_count: usize,
    /// Number of those that are real processes.
    pub real_count: usize,
    /// Number of nodes that the operator's file names; all if it is not said.
    pub expected_count: Option<usize>,
    /// How long costs are measured, in seconds.
    pub measured_s: f64,
    /// How long the cluster may take to be ready, in seconds.
    pub settle_timeout_s: f64,
    /// The ratio of datagrams that is lost, and of streams' parts that are held up.
    pub loss_ratio: f64,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// The program of real nodes.
    pub program: String,
    /// This program, which runs the hollow nodes.
    pub host_program: PathBuf,
    /// Set to end the run early.
    pub stop: Arc<AtomicBool>,
    /// Called now and then with what is being done.
    pub on_progress: Box<dyn Fn(&str)>,
}

/// An option that is out of bounds.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidOption {
    /// The number of nodes.
    #[error("--nodes: {0} is not in 4 to 1000, the largest fleet of today")]
    NodeCount(usize),
    /// The number of real nodes.
    #[error("--real: {count} is not in 2 to {max}")]
    RealCount {
        /// The number.
        count: usize,
        /// Its bound.
        max: usize,
    },
    /// The number of expected nodes.
    #[error("--expected: {count} is not in 3 to {max}")]
    ExpectedCount {
        /// The number.
        count: usize,
        /// Its bound.
        max: usize,
    },
    /// A number of seconds.
    #[error("{option}: {seconds} is not in 1 to {max}")]
    Seconds {
        /// The option.
        option: &'static str,
        /// Its value.
        seconds: f64,
        /// Its bound.
        max: f64,
    },
    /// The ratio of losses.
    #[error("--loss: {0} is not in 0 to 0.9")]
    LossRatio(f64),
    /// The run needs more descriptors than the process may have.
    #[error(
        "--nodes: {nodes} with {expected} of them in the file take {needed} descriptors, {limit} are the limit (ulimit -n)"
    )]
    Descriptors {
        /// The number of nodes.
        nodes: usize,
        /// The number of expected nodes.
        expected: usize,
        /// Descriptors that are needed.
        needed: usize,
        /// The limit of the process.
        limit: usize,
    },
    /// There is no such program.
    #[error("--program: {0:?} is no file: build it first")]
    Program(String),
}

impl RunOptions {
    /// Number of nodes that the operator's file names.
    pub fn expected_count(&self) -> usize {
        self.expected_count.unwrap_or(self.node_count)
    }

    /// Checks all bounds.
    pub(crate) fn validate(&self) -> Result<(), InvalidOption> {
        self.validate_counts()?;
        check_seconds("--seconds", self.measured_s, MAX_MEASURED_SECONDS)?;
        check_seconds("--settle", self.settle_timeout_s, MAX_SETTLE_SECONDS)?;
        if !(0.0..=MAX_LOSS_RATIO).contains(&self.loss_ratio) {
            return Err(InvalidOption::LossRatio(self.loss_ratio));
        }
        self.validate_descriptors()?;
        if !Path::new(&self.program).is_file() {
            return Err(InvalidOption::Program(self.program.clone()));
        }
        Ok(())
    }

    fn validate_counts(&self) -> Result<(), InvalidOption> {
        if !(MIN_NODE_COUNT..=MAX_NODE_COUNT).contains(&self.node_count) {
            return Err(InvalidOption::NodeCount(self.node_count));
        }
        let max_real_count = self.node_count.min(MAX_REAL_COUNT);
        if !(MIN_REAL_COUNT..=max_real_count).contains(&self.real_count) {
            return Err(InvalidOption::RealCount {
                count: self.real_count,
                max: max_real_count,
            });
        }
        if !(MIN_EXPECTED_COUNT..=self.node_count).contains(&self.expected_count()) {
            return Err(InvalidOption::ExpectedCount {
                count: self.expected_count(),
                max: self.node_count,
            });
        }
        Ok(())
    }

    /// All expected nodes bootstrap the control group with a vote each, and connect to each other.
    fn validate_descriptors(&self) -> Result<(), InvalidOption> {
        let expected = self.expected_count();
        let needed =
            expected * (expected - 1) + DESCRIPTORS_PER_NODE * self.node_count + SPARE_DESCRIPTORS;
        match descriptor_limit() {
            Some(limit) if limit < needed => Err(InvalidOption::Descriptors {
                nodes: self.node_count,
                expected,
                needed,
                limit,
            }),
            _ => Ok(()),
        }
    }
}

fn check_seconds(option: &'static str, seconds: f64, max: f64) -> Result<(), InvalidOption> {
    if (1.0..=max).contains(&seconds) {
        return Ok(());
    }
    Err(InvalidOption::Seconds {
        option,
        seconds,
        max,
    })
}

/// Descriptors that this process may have.
fn descriptor_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let mut lines = limits.lines();
    let line = lines.find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
