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
    /// Fit models to the metrics of several outcomes.
    Fit {
        svg: Option<PathBuf>,
        size: f64,
        files: Vec<PathBuf>,
    },
    /// Run as a process of hollow nodes.
    Host { numbers: Vec<u64> },
}

fn nodes() -> impl Parser<usize> {
    long("nodes")
        .help("Number of nodes, 4 to 1000")
        .argument::<usize>("N")
}

fn real() -> impl Parser<usize> {
    long("real")
        .help("Number of nodes that are processes of the program; the others are hollow: they run only the control plane")
        .argument::<usize>("N")
        .fallback(5)
}

fn expected() -> impl Parser<Option<usize>> {
    long("expected")
        .help("Number of nodes that the operator's file lists; all by default")
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
    let seconds = number_with_default(
        "seconds",
        "Duration of the measurement in seconds",
        "S",
        20.0,
    );
    let settle_help = "Maximum time until the cluster is ready, in seconds";
    let settle = number_with_default("settle", settle_help, "S", 120.0);
    let loss = number_with_default(
        "loss",
        "Fraction of datagrams that the proxies drop, and of stream chunks that they delay",
        "P",
        0.0,
    );
    let seed = long("seed")
        .help("Seed of the random number generators")
        .argument::<u64>("N")
        .fallback(1);
    let json = long("json")
        .help("File for the outcome")
        .argument::<PathBuf>("OUT")
        .optional();
    let program = long("program")
        .help("Program of the real nodes; by default lupincrank in the directory of this program")
        .argument::<String>("PATH")
        .optional();
    let max_bytes_help = "Maximum bytes per second that the leader sends, on average";
    let max_bytes = optional_bound("most-bytes", max_bytes_help, "B");
    let max_messages_help = "Maximum messages per second that a hollow node sends, on average";
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
        .descr("Run a cluster; the exit code is 1 if a bound is exceeded, a rule is violated, or a new limit does not reach all nodes")
        .command("run")
}

fn fit_command() -> impl Parser<Command> {
    let svg = long("svg")
        .help("File for a picture of the metrics and the fitted models")
        .argument::<PathBuf>("FILE")
        .optional();
    let size = long("at")
        .help("Cluster size to which the models are extrapolated")
        .argument::<f64>("N")
        .fallback(2_100.0);
    let files = positional::<PathBuf>("OUT")
        .help("Outcomes of runs, as written by --json")
        .some("no outcome file given");
    construct!(Command::Fit { svg, size, files })
        .to_options()
        .descr("Fit models to the metrics of several cluster sizes")
        .command("fit")
}

fn host_command() -> impl Parser<Command> {
    let numbers = positional::<u64>("NUMBER").many();
    construct!(Command::Host { numbers })
        .to_options()
        .descr("Run hollow nodes; started by a run")
        .command("host")
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let run = run_command();
    let fit = fit_command();
    let host = host_command();
    construct!([run, fit, host])
        .to_options()
        .descr("lupincrank-scale: cost of the control plane by cluster size")
}
