//! The parser of the command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use lupincrank_fault_injection::rule_breaker::RuleBreakerKind;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::str::FromStr;
use thiserror::Error;

/// Options of commands that run scenarios.
#[derive(Clone, Debug)]
pub(crate) struct RunArguments {
    pub(crate) seed: u64,
    pub(crate) json: Option<PathBuf>,
    pub(crate) log_folder: Option<PathBuf>,
    pub(crate) program: Option<String>,
    pub(crate) node_programs: Vec<NodeProgram>,
    pub(crate) is_verbose: bool,
    pub(crate) file: String,
}

/// The program of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeProgram {
    pub(crate) node: usize,
    pub(crate) path: String,
}

/// The error of an invalid `--node` argument.
#[derive(Debug, Error)]
pub(crate) enum NodeProgramError {
    #[error("expected NUMBER=PATH")]
    Form,
    #[error(transparent)]
    Number(#[from] ParseIntError),
}

impl FromStr for NodeProgram {
    type Err = NodeProgramError;

    fn from_str(text: &str) -> Result<NodeProgram, NodeProgramError> {
        let (node, path) = text.split_once('=').ok_or(NodeProgramError::Form)?;
        Ok(NodeProgram {
            node: node.parse()?,
            path: path.to_string(),
        })
    }
}

/// A command with its options.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run a scenario.
    Run(RunArguments),
    /// Search for harmful timelines.
    Search {
        run_count: usize,
        arguments: RunArguments,
    },
    /// List scenarios.
    List { folder: String },
    /// Check a scenario, and optionally print its plan.
    Check {
        should_print_plan: bool,
        seed: u64,
        file: String,
    },
    /// Report an outcome.
    Report { svg: Option<PathBuf>, file: String },
    /// Serve as a node that breaks a rule.
    RuleBreaker {
        config: String,
        kind: RuleBreakerKind,
        verb: String,
    },
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of the plan")
        .argument::<u64>("N")
        .fallback(1)
}

fn scenario_file() -> impl Parser<String> {
    positional::<String>("FILE").help("Scenario file")
}

fn run_arguments() -> impl Parser<RunArguments> {
    let seed = seed();
    let json = long("json")
        .help("Write the outcome as JSON to this file")
        .argument::<PathBuf>("OUT")
        .optional();
    let log_folder = long("logs")
        .help("Folder for the logs of all nodes")
        .argument::<PathBuf>("DIR")
        .optional();
    let program = long("program")
        .help("Node program; by default lupincrank in the folder of this executable")
        .argument::<String>("PATH")
        .optional();
    let node_programs = long("node")
        .help("Program of one node, as NUMBER=PATH, to run different builds side by side")
        .argument::<String>("N=PATH")
        .parse(|text| text.parse::<NodeProgram>())
        .many();
    let is_verbose = long("verbose")
        .help("Make nodes log individual requests")
        .switch();
    let file = scenario_file();
    construct!(RunArguments {
        seed,
        json,
        log_folder,
        program,
        node_programs,
        is_verbose,
        file
    })
}

fn run_command() -> impl Parser<Command> {
    construct!(Command::Run(run_arguments()))
        .to_options()
        .descr(
            "Run a scenario; the exit code is 1 if a rule is violated or an expectation is not met",
        )
        .command("run")
}

fn search_command() -> impl Parser<Command> {
    let run_count = long("runs")
        .help("Number of runs to draw")
        .argument::<usize>("N")
        .fallback(20);
    let arguments = run_arguments();
    construct!(Command::Search {
        run_count,
        arguments
    })
    .to_options()
    .descr(
        "Run random timelines of faults, and reduce the most harmful one to the faults that violate a rule",
    )
    .command("hunt")
}

fn list_command() -> impl Parser<Command> {
    let folder = positional::<String>("DIR")
        .help("Folder of the scenarios")
        .fallback("crates/fault-injection/scenarios".into());
    construct!(Command::List { folder })
        .to_options()
        .descr("List scenarios")
        .command("list")
}

fn check_command() -> impl Parser<Command> {
    let should_print_plan = long("plan")
        .help("Print the plan that is drawn from the seed")
        .switch();
    let seed = seed();
    let file = scenario_file();
    construct!(Command::Check {
        should_print_plan,
        seed,
        file
    })
    .to_options()
    .descr("Validate a scenario file")
    .command("check")
}

fn report_command() -> impl Parser<Command> {
    let svg = long("svg")
        .help("Draw the timeline to this SVG file")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = positional::<String>("OUT").help("Outcome file that --json wrote");
    construct!(Command::Report { svg, file })
        .to_options()
        .descr("Print a report of an outcome")
        .command("report")
}

fn rule_breaker_command() -> impl Parser<Command> {
    let config = long("config").argument::<String>("FILE");
    let kind = positional::<RuleBreakerKind>("KIND");
    let verb = positional::<String>("serve");
    construct!(Command::RuleBreaker { config, kind, verb })
        .to_options()
        .descr("Serve as a scripted node that breaks a rule, to verify that the checker detects it")
        .command("wrongdoer")
}

/// Returns the parser of the whole command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let run = run_command();
    let search = search_command();
    let list = list_command();
    let check = check_command();
    let report = report_command();
    let rule_breaker = rule_breaker_command();
    construct!([run, search, list, check, report, rule_breaker])
        .to_options()
        .descr("lupincrank-fault-injection: run real lupincrank processes with injected faults")
}
