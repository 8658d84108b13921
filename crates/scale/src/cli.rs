//! The command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use std::path::PathBuf;

/// Options of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunArguments {
    pub(crate) nodes: usize,
    pub(crate) real: usize,
    pub(crate) expected: Option<usize>,
    pub(crate) seconds: f64,
    pub(crate) settle: f64,
    pub(crate) loss: f64,
    pub(crate) seed: u64,
    pub(crate) json: Option<PathBuf>,
    pub(crate) program: Option<String>,
    pub(crate) max_bytes: Option<f64>,
    pub(crate) max_messages: Option<f64>,
}

/// A command with its options.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run a cluster.
    Run(RunArguments),
    /// Fit laws to the figures of several outcomes.
    Fit {
        svg: Option<PathBuf>,
        size: f64,
        files: Vec<PathBuf>,
    },
    /// Serve as a process of hollow nodes.
    Host { numbers: Vec<u64> },
}

fn nodes() -> impl Parser<usize> {
    long("nodes")
        .help("All nodes, 4 to 1000")
        .argument::<usize>("N")
}

fn real() -> impl Parser<usize> {
    long("real")
        .help("Those of them that are processes of the program")
        .argument::<usize>("N")
        .fallback(5)
}

fn expected() -> impl Parser<Option<usize>> {
    long("expected")
        .help("How many the operator's file names; all if it is not said")
        .argument::<usize>("N")
        .optional()
}

fn number_with_default(
    name: &'static str,
    help: &'static str,
    metavar: &'static str,
    default: f64,
) -> impl Parser<f64> {
    long(name)
        .help(help)
        .argument::<f64>(metavar)
        .fallback(default)
}

fn optional_bound(
    name: &'static str,
    help: &'static str,
    metavar: &'static str,
) -> impl Parser<Option<f64>> {
    long(name).help(help).argument::<f64>(metavar).optional()
}

fn run_arguments() -> impl Parser<RunArguments> {
    let nodes = nodes();
    let real = real();
    let expected = expected();
    let seconds = number_with_default("seconds", "How long costs are measured", "S", 20.0);
    let settle_help = "How long it may take until all take part";
    let settle = number_with_default("settle", settle_help, "S", 120.0);
    let loss = number_with_default("loss", "The part of messages that is lost", "P", 0.0);
    let seed = long("seed")
        .help("What is drawn is drawn from this")
        .argument::<u64>("N")
        .fallback(1);
    let json = long("json")
        .help("Where the outcome goes")
        .argument::<PathBuf>("OUT")
        .optional();
    let program = long("program")
        .help("The program; lupincrank beside this one if it is not said")
        .argument::<String>("PATH")
        .optional();
    let max_bytes_help = "A bound on the bytes that the leader sends in a second";
    let max_bytes = optional_bound("most-bytes", max_bytes_help, "B");
    let max_messages_help = "A bound on the messages that any hollow node sends in a second";
    let max_messages = optional_bound("most-messages", max_messages_help, "M");
    construct!(RunArguments {
        nodes,
        real,
        expected,
        seconds,
        settle,
        loss,
        seed,
        json,
        program,
        max_bytes,
        max_messages
    })
}

fn run_command() -> impl Parser<Command> {
    construct!(Command::Run(run_arguments()))
        .to_options()
        .descr("Run one fleet; the exit code is 1 if a bound did not hold")
        .command("run")
}

fn fit_command() -> impl Parser<Command> {
    let svg = long("svg")
        .help("Draw them here")
        .argument::<PathBuf>("FILE")
        .optional();
    let size = long("at")
        .help("The size that lines are carried on to")
        .argument::<f64>("N")
        .fallback(2_100.0);
    let files = positional::<PathBuf>("OUT")
        .help("Outcomes of runs, as --json wrote them")
        .some("no outcome is named");
    construct!(Command::Fit { svg, size, files })
        .to_options()
        .descr("Lay lines through the figures of several sizes")
        .command("fit")
}

fn host_command() -> impl Parser<Command> {
    let numbers = positional::<u64>("NUMBER").many();
    construct!(Command::Host { numbers })
        .to_options()
        .descr("Hold hollow nodes, for a run that begins this")
        .command("host")
}

/// The parser of the whole command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let run = run_command();
    let fit = fit_command();
    let host = host_command();
    construct!([run, fit, host])
        .to_options()
        .descr("lupincrank-scale: what control costs by the size of the fleet")
}
