//! The command line.

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

/// An argument that is no program of a node.
#[derive(Debug, Error)]
pub(crate) enum NodeProgramError {
    #[error("NUMBER=PATH is wanted")]
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
    /// Search for harmful time lines.
    Search {
        run_count: usize,
        arguments: RunArguments,
    },
    /// List scenarios.
    List { folder: String },
    /// Check a scenario, and print its plan if that is wanted.
    Check {
        prints_plan: bool,
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
        .help("What the plan is drawn from")
        .argument::<u64>("N")
        .fallback(1)
}

fn scenario_file() -> impl Parser<String> {
    positional::<String>("FILE").help("A scenario")
}

fn run_arguments() -> impl Parser<RunArguments> {
    let seed = seed();
    let json = long("json")
        .help("Where the outcome goes")
        .argument::<PathBuf>("OUT")
        .optional();
    let log_folder = long("logs")
        .help("A folder for the logs of all parties")
        .argument::<PathBuf>("DIR")
        .optional();
    let program = long("program")
        .help("The program; lupincrank beside this one if it is not said")
        .argument::<String>("PATH")
        .optional();
    let node_programs = long("node")
        .help("Another program for one node, as NUMBER=PATH: old and new builds side by side")
        .argument::<String>("N=PATH")
        .parse(|text| text.parse::<NodeProgram>())
        .many();
    let is_verbose = long("verbose").help("Nodes log single requests").switch();
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
        .descr("Run one trial; the exit code is 1 if a rule or a bound did not hold")
        .command("run")
}

fn search_command() -> impl Parser<Command> {
    let run_count = long("runs")
        .help("Trials to draw")
        .argument::<usize>("N")
        .fallback(20);
    let arguments = run_arguments();
    construct!(Command::Search {
        run_count,
        arguments
    })
    .to_options()
    .descr("Draw time lines of faults, keep the worst, and leave out what does not matter")
    .command("hunt")
}

fn list_command() -> impl Parser<Command> {
    let folder = positional::<String>("DIR")
        .help("Where scenarios are")
        .fallback("crates/fault-injection/scenarios".into());
    construct!(Command::List { folder })
        .to_options()
        .descr("List scenarios")
        .command("list")
}

fn check_command() -> impl Parser<Command> {
    let prints_plan = long("plan")
        .help("Print the plan that the seed draws")
        .switch();
    let seed = seed();
    let file = scenario_file();
    construct!(Command::Check {
        prints_plan,
        seed,
        file
    })
    .to_options()
    .descr("Read a scenario and say what is wrong with it")
    .command("check")
}

fn report_command() -> impl Parser<Command> {
    let svg = long("svg")
        .help("Draw the time line here")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = positional::<String>("OUT").help("An outcome, as --json wrote it");
    construct!(Command::Report { svg, file })
        .to_options()
        .descr("Tell what came of a trial")
        .command("report")
}

fn rule_breaker_command() -> impl Parser<Command> {
    let config = long("config").argument::<String>("FILE");
    let kind = positional::<RuleBreakerKind>("KIND");
    let verb = positional::<String>("serve");
    construct!(Command::RuleBreaker { config, kind, verb })
        .to_options()
        .descr("A scripted node that breaks a rule, to see that the checker names it")
        .command("wrongdoer")
}

/// The parser of the whole command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let run = run_command();
    let search = search_command();
    let list = list_command();
    let check = check_command();
    let report = report_command();
    let rule_breaker = rule_breaker_command();
    construct!([run, search, list, check, report, rule_breaker])
        .to_options()
        .descr("lupincrank-fault-injection: real processes of lupincrank with faults between them")
}
