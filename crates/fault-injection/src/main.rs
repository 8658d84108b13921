//! `lupincrank-fault-injection`: runs scenarios, searches for harmful timelines, and reports outcomes.

#![forbid(unsafe_code)]

mod cli;

use cli::{Command, RunArguments};
use indicatif::style::TemplateError;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use lupincrank_fault_injection::error_chain;
use lupincrank_fault_injection::plan::Plan;
use lupincrank_fault_injection::report::{self, DrawError};
use lupincrank_fault_injection::rule_breaker::{self, RuleBreakerError, RuleBreakerKind};
use lupincrank_fault_injection::run::{run, RunOptions};
use lupincrank_fault_injection::scenario::{Scenario, ScenarioError};
use lupincrank_fault_injection::search::Search;
use lupincrank_fault_injection::{Outcome, Phase, Progress, RunError};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use thiserror::Error;

/// File name of the default node program.
const DEFAULT_PROGRAM: &str = "lupincrank";
/// Exit code of a command that failed with an error.
const ERROR_EXIT_CODE: u8 = 2;

/// The error of a command.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    RuleBreaker(#[from] RuleBreakerError),
    #[error(transparent)]
    Draw(#[from] DrawError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    ProgressTemplate(#[from] TemplateError),
    #[error("{path}")]
    File { path: String, source: io::Error },
    #[error("{path}")]
    OutcomeFile {
        path: String,
        source: serde_json::Error,
    },
    #[error("{} does not exist: build it, or pass another node program with --program", path.display())]
    NoProgram { path: PathBuf },
    #[error("a rule breaker has only the command \"serve\", not {verb:?}")]
    UnknownVerb { verb: String },
}

/// The result of a command that completed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandResult {
    Passed,
    Failed,
}

impl CommandResult {
    fn new(has_passed: bool) -> CommandResult {
        if has_passed {
            CommandResult::Passed
        } else {
            CommandResult::Failed
        }
    }
}

/// The state shared by the commands that run scenarios.
struct CommandContext {
    stop: Arc<AtomicBool>,
    /// Drawn only if standard error is a terminal.
    progress_bar: ProgressBar,
}

impl CommandContext {
    fn new() -> Result<CommandContext, CommandError> {
        let progress_bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
        progress_bar.set_style(ProgressStyle::with_template("{spinner} {msg}")?);
        Ok(CommandContext {
            stop: Arc::new(AtomicBool::new(false)),
            progress_bar,
        })
    }

    /// Makes SIGINT and SIGTERM end runs early.
    fn stop_on_signals(&self) -> Result<(), CommandError> {
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&self.stop))?;
        }
        Ok(())
    }

    fn run_options(&self, arguments: &RunArguments, program: &str) -> RunOptions {
        let node_programs = arguments.node_programs.iter();
        let node_programs = node_programs.map(|other| (other.node, vec![other.path.clone()]));
        let progress_bar = self.progress_bar.clone();
        RunOptions {
            program: vec![program.to_string()],
            node_programs: node_programs.collect(),
            log_folder: arguments.log_folder.clone(),
            is_verbose: arguments.is_verbose,
            stop: Arc::clone(&self.stop),
            on_progress: Box::new(move |progress| {
                progress_bar.set_message(progress_message(progress));
                progress_bar.tick();
            }),
        }
    }
}

fn progress_message(progress: &Progress) -> String {
    let phase = match progress.phase {
        Phase::Starting => "waiting for nodes".to_string(),
        Phase::Running => format!("{:.0} of {} s", progress.elapsed_s, progress.duration_s),
        Phase::Settling | Phase::Finished => "settles".to_string(),
    };
    format!(
        "{phase}, {} of {} nodes accept clients, {} violations",
        progress.ready_node_count, progress.node_count, progress.violation_count
    )
}

/// Returns the node program of the command line, or the default program in this executable's folder.
fn node_program(arguments: &RunArguments) -> Result<String, CommandError> {
    if let Some(program) = &arguments.program {
        return Ok(program.clone());
    }
    let path = std::env::current_exe()?.with_file_name(DEFAULT_PROGRAM);
    if !path.exists() {
        return Err(CommandError::NoProgram { path });
    }
    Ok(path.display().to_string())
}

fn write_json(path: Option<&Path>, value: &impl serde::Serialize) -> Result<(), CommandError> {
    let Some(path) = path else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(path, text + "\n").map_err(|source| CommandError::File {
        path: path.display().to_string(),
        source,
    })
}

fn outcome_text(outcome: &Outcome) -> Result<String, CommandError> {
    Ok(report::text(&serde_json::to_value(outcome)?))
}

/// Returns the name of a scenario's file, without folder and extension.
fn scenario_name(file: &str) -> String {
    Path::new(file).file_stem().map_or_else(
        || file.to_string(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

fn run_scenario(
    context: &CommandContext,
    arguments: &RunArguments,
) -> Result<CommandResult, CommandError> {
    let scenario = Scenario::load(&arguments.file)?;
    let options = context.run_options(arguments, &node_program(arguments)?);
    let name = scenario_name(&arguments.file);
    let outcome = run(&name, scenario, arguments.seed, options)?;
    context.progress_bar.finish_and_clear();
    write_json(arguments.json.as_deref(), &outcome)?;
    print!("{}", outcome_text(&outcome)?);
    Ok(CommandResult::new(outcome.has_passed()))
}

fn print_searched_run(number: usize, outcome: &Outcome) {
    let peak = outcome.budgets.first().map_or(0, |budget| budget.peak);
    println!(
        "{number:4} seed {} service {:.3} peak {peak} broken {}",
        outcome.seed,
        outcome.service_ratio,
        outcome.verdict.violations.len()
    );
}

fn search(
    context: &CommandContext,
    run_count: usize,
    arguments: &RunArguments,
) -> Result<CommandResult, CommandError> {
    let scenario = Scenario::load(&arguments.file)?;
    let program = node_program(arguments)?;
    let name = scenario_name(&arguments.file);
    let search = Search {
        name: &name,
        scenario: &scenario,
        seed: arguments.seed,
        run_count,
    };
    let result = search.run(
        || context.run_options(arguments, &program),
        |number, outcome| {
            context
                .progress_bar
                .suspend(|| print_searched_run(number, outcome));
        },
    )?;
    context.progress_bar.finish_and_clear();
    write_json(arguments.json.as_deref(), &result)?;
    println!(
        "{} trials, {} with a broken rule",
        result.run_count, result.failed_count
    );
    if let Some(worst) = &result.worst {
        print!("the worst:\n{}", outcome_text(worst)?);
    }
    Ok(CommandResult::new(result.failed_count == 0))
}

fn list_scenarios(folder: &str) -> Result<CommandResult, CommandError> {
    let entries = std::fs::read_dir(folder).map_err(|source| CommandError::File {
        path: folder.to_string(),
        source,
    })?;
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let is_toml = |path: &PathBuf| {
        path.extension()
            .is_some_and(|extension| extension == "toml")
    };
    let mut files: Vec<PathBuf> = paths.filter(is_toml).collect();
    files.sort();
    for file in files {
        let file = file.display().to_string();
        let scenario = Scenario::load(&file)?;
        println!("{:24} {}", scenario_name(&file), scenario.description);
    }
    Ok(CommandResult::Passed)
}

fn check_scenario(
    file: &str,
    seed: u64,
    should_print_plan: bool,
) -> Result<CommandResult, CommandError> {
    let scenario = Scenario::load(file)?;
    let plan = Plan::draw(&scenario, seed);
    if should_print_plan {
        println!("{}", serde_json::to_string_pretty(&plan)?);
    } else {
        println!(
            "{file}: holds; seed {seed} draws {} visits and {} faults ({:08x})",
            plan.sessions.len(),
            plan.faults.len(),
            plan.digest()
        );
    }
    Ok(CommandResult::Passed)
}

fn report_outcome(file: &str, svg: Option<&Path>) -> Result<CommandResult, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::File {
        path: file.to_string(),
        source,
    })?;
    let outcome = serde_json::from_str(&text).map_err(|source| CommandError::OutcomeFile {
        path: file.to_string(),
        source,
    })?;
    print!("{}", report::text(&outcome));
    if let Some(svg) = svg {
        report::draw(&outcome, svg)?;
    }
    Ok(CommandResult::Passed)
}

fn serve_rule_breaker(
    kind: RuleBreakerKind,
    config: &str,
    verb: String,
) -> Result<CommandResult, CommandError> {
    if verb != "serve" {
        return Err(CommandError::UnknownVerb { verb });
    }
    rule_breaker::serve(kind, config)?;
    Ok(CommandResult::Passed)
}

fn execute(command: Command) -> Result<CommandResult, CommandError> {
    let context = CommandContext::new()?;
    if !matches!(command, Command::RuleBreaker { .. }) {
        context.stop_on_signals()?;
    }
    match command {
        Command::Run(arguments) => run_scenario(&context, &arguments),
        Command::Search {
            run_count,
            arguments,
        } => search(&context, run_count, &arguments),
        Command::List { folder } => list_scenarios(&folder),
        Command::Check {
            should_print_plan,
            seed,
            file,
        } => check_scenario(&file, seed, should_print_plan),
        Command::Report { svg, file } => report_outcome(&file, svg.as_deref()),
        Command::RuleBreaker { config, kind, verb } => serve_rule_breaker(kind, &config, verb),
    }
}

fn main() -> ExitCode {
    match execute(cli::parser().run()) {
        Ok(CommandResult::Passed) => ExitCode::SUCCESS,
        Ok(CommandResult::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lupincrank-fault-injection: {}", error_chain(&error));
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}
