//! `lupincrank-scale`: runs a cluster of hollow and real nodes, and fits models to the metrics of several runs.

#![forbid(unsafe_code)]

mod cli;
mod summary;

use cli::{Command, RunArguments};
use indicatif::style::TemplateError;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use lupincrank_fault_injection::error_chain;
use lupincrank_scale::hollow_host::{self, HostError, HostRequest};
use lupincrank_scale::options::RunOptions;
use lupincrank_scale::outcome::{Outcome, RoleCost};
use lupincrank_scale::plot::{self, DrawError};
use lupincrank_scale::run::run;
use lupincrank_scale::RunError;
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use thiserror::Error;

/// The program of real nodes unless `--program` is given, in the directory of this program.
const DEFAULT_PROGRAM: &str = "lupincrank";
/// Exit code of a command that could not be executed.
const ERROR_EXIT_CODE: u8 = 2;

/// The reason why a command could not be executed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Host(#[from] HostError),
    #[error(transparent)]
    Draw(#[from] DrawError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    ProgressTemplate(#[from] TemplateError),
    #[error("{}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}", path.display())]
    OutcomeFile {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("host: expected nine numbers; this command is started by a run")]
    HostArguments,
}

/// Result of an executed command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandResult {
    Passed,
    Failed,
}

/// Bounds given on the command line.
struct Bounds {
    max_leader_bytes_per_s: Option<f64>,
    max_hollow_messages_per_s: Option<f64>,
}

impl Bounds {
    /// Fails if a rule is violated, a new limit has not reached all nodes, or a bound is exceeded. Prints the metrics
    /// that exceed their bounds.
    fn check(&self, outcome: &Outcome) -> CommandResult {
        let role_metric = |role: &str, metric: fn(&RoleCost) -> f64| {
            let cost = outcome.roles.get(role);
            cost.map_or(0.0, metric)
        };
        let leader_bytes = role_metric("leader", |cost| cost.bytes_out_per_s_mean);
        let hollow_messages = role_metric("hollow-node", |cost| cost.messages_per_s_mean);
        let is_leader_within = is_within(
            "bytes/s of the leader",
            leader_bytes,
            self.max_leader_bytes_per_s,
        );
        let is_hollow_within = is_within(
            "messages/s of a hollow node",
            hollow_messages,
            self.max_hollow_messages_per_s,
        );
        let has_no_violation =
            outcome.violations.is_empty() && outcome.change_times.missing_count == 0;
        if has_no_violation && is_leader_within && is_hollow_within {
            CommandResult::Passed
        } else {
            CommandResult::Failed
        }
    }
}

/// Returns true if a metric has no bound, or was measured and is within its bound. Otherwise prints the metric.
fn is_within(metric: &str, value: f64, max: Option<f64>) -> bool {
    let Some(max) = max else {
        return true;
    };
    let is_measured = value > 0.0;
    if is_measured && value <= max {
        return true;
    }
    summary::print_exceeded(metric, value, max);
    false
}

/// Creates a progress bar, which is drawn on a terminal only.
fn progress_bar() -> Result<ProgressBar, TemplateError> {
    let progress_bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    progress_bar.set_style(ProgressStyle::with_template("{spinner} {msg}")?);
    Ok(progress_bar)
}

/// Returns a flag that SIGINT and SIGTERM set.
fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    Ok(stop)
}

fn run_options(
    arguments: &RunArguments,
    progress_bar: &ProgressBar,
) -> Result<RunOptions, CommandError> {
    let host_program = std::env::current_exe()?;
    let default_program = host_program.with_file_name(DEFAULT_PROGRAM);
    let program = arguments.program.clone();
    let progress_bar = progress_bar.clone();
    Ok(RunOptions {
        node_count: arguments.nodes,
        real_count: arguments.real,
        expected_count: arguments.expected,
        measured_s: arguments.seconds,
        settle_timeout_s: arguments.settle,
        loss_ratio: arguments.loss,
        seed: arguments.seed,
        program: program.unwrap_or_else(|| default_program.display().to_string()),
        host_program,
        stop: stop_flag()?,
        on_progress: Box::new(move |activity| {
            progress_bar.set_message(activity.to_string());
            progress_bar.tick();
        }),
    })
}

fn run_cluster(arguments: &RunArguments) -> Result<CommandResult, CommandError> {
    let progress_bar = progress_bar()?;
    let options = run_options(arguments, &progress_bar)?;
    let outcome = run(&options)?;
    progress_bar.finish_and_clear();
    summary::print_outcome(&outcome);
    if let Some(path) = &arguments.json {
        write_outcome(path, &outcome)?;
    }
    let bounds = Bounds {
        max_leader_bytes_per_s: arguments.max_bytes,
        max_hollow_messages_per_s: arguments.max_messages,
    };
    Ok(bounds.check(&outcome))
}

fn write_outcome(path: &Path, outcome: &Outcome) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(outcome)?;
    std::fs::write(path, text + "\n").map_err(|source| CommandError::File {
        path: path.to_path_buf(),
        source,
    })
}

fn read_outcome(path: &PathBuf) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CommandError::OutcomeFile {
        path: path.clone(),
        source,
    })
}

fn fit(files: &[PathBuf], size: f64, svg: Option<&Path>) -> Result<CommandResult, CommandError> {
    let outcomes: Vec<Value> = files.iter().map(read_outcome).collect::<Result<_, _>>()?;
    summary::print_fits(&outcomes, size);
    if let Some(svg) = svg {
        plot::draw(&outcomes, svg)?;
    }
    Ok(CommandResult::Passed)
}

fn serve_hollow_nodes(numbers: &[u64]) -> Result<CommandResult, CommandError> {
    let request = HostRequest::from_arguments(numbers).ok_or(CommandError::HostArguments)?;
    hollow_host::serve(&request)?;
    Ok(CommandResult::Passed)
}

fn execute(command: Command) -> Result<CommandResult, CommandError> {
    match command {
        Command::Run(arguments) => run_cluster(&arguments),
        Command::Fit { svg, size, files } => fit(&files, size, svg.as_deref()),
        Command::Host { numbers } => serve_hollow_nodes(&numbers),
    }
}

fn main() -> ExitCode {
    match execute(cli::parser().run()) {
        Ok(CommandResult::Passed) => ExitCode::SUCCESS,
        Ok(CommandResult::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lupincrank-scale: {}", error_chain(&error));
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}
