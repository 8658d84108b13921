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
/// File descriptors that a run needs regardless of its size.
const SPARE_DESCRIPTORS: usize = 100;
/// File descriptors of a node's proxy and of the connections that it relays.
const DESCRIPTORS_PER_NODE: usize = 4;

/// Options of a run.
pub struct RunOptions {
    /// Number of all nodes.
    pub node_count: usize,
    /// Number of real nodes, each a process of the program.
    pub real_count: usize,
    /// Number of nodes that the operator's file lists; all if `None`.
    pub expected_count: Option<usize>,
    /// Duration of the cost measurement in seconds.
    pub measured_s: f64,
    /// Maximum time until the cluster is ready, in seconds.
    pub settle_timeout_s: f64,
    /// Fraction of datagrams that are dropped, and of stream chunks that are delayed.
    pub loss_ratio: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Path of the program of real nodes.
    pub program: String,
    /// Path of this program, which also runs the hollow nodes.
    pub host_program: PathBuf,
    /// Set to stop the run early.
    pub stop: Arc<AtomicBool>,
    /// Called regularly with the current activity.
    pub on_progress: Box<dyn Fn(&str)>,
}

/// An invalid option.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidOption {
    /// The number of nodes is out of bounds.
    #[error("--nodes: {0} is not in 4 to 1000, the maximum cluster size")]
    NodeCount(usize),
    /// The number of real nodes is out of bounds.
    #[error("--real: {count} is not in 2 to {max}")]
    RealCount {
        /// The number.
        count: usize,
        /// The upper bound.
        max: usize,
    },
    /// The number of expected nodes is out of bounds.
    #[error("--expected: {count} is not in 3 to {max}")]
    ExpectedCount {
        /// The number.
        count: usize,
        /// The upper bound.
        max: usize,
    },
    /// A number of seconds is out of bounds.
    #[error("{option}: {seconds} is not in 1 to {max}")]
    Seconds {
        /// The option.
        option: &'static str,
        /// The value of the option.
        seconds: f64,
        /// The upper bound.
        max: f64,
    },
    /// The loss ratio is out of bounds.
    #[error("--loss: {0} is not in 0 to 0.9")]
    LossRatio(f64),
    /// The run needs more file descriptors than the process may open.
    #[error(
        "--nodes: {nodes} nodes, {expected} of them in the operator's file, need {needed} file descriptors; the limit is {limit} (ulimit -n)"
    )]
    Descriptors {
        /// The number of nodes.
        nodes: usize,
        /// The number of expected nodes.
        expected: usize,
        /// Number of file descriptors that the run needs.
        needed: usize,
        /// Limit of the process.
        limit: usize,
    },
    /// The program does not exist.
    #[error("--program: {0:?} is not a file: build it first")]
    Program(String),
}

impl RunOptions {
    /// Returns the number of nodes that the operator's file lists.
    pub fn expected_count(&self) -> usize {
        self.expected_count.unwrap_or(self.node_count)
    }

    /// Checks all options.
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

    /// Checks the limit of file descriptors. All expected nodes bootstrap the control group as voters, and connect to
    /// each other.
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

/// Returns the maximum number of file descriptors of this process.
fn descriptor_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let mut lines = limits.lines();
    let line = lines.find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
