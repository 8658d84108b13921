//! The commands, their arguments and the command line parsers.

use bpaf::{construct, long, positional, OptionParser, Parser};
use lupincrank_simulator::experiments::sweep;
use lupincrank_simulator::policy::PolicyName;
use std::path::PathBuf;

/// The commands and their arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check {
        files: Vec<PathBuf>,
    },
    Run {
        seed: u64,
        policy: PolicyName,
        json: Option<PathBuf>,
        file: PathBuf,
    },
    Compare {
        seeds: u64,
        policies: Vec<PolicyName>,
        json: Option<PathBuf>,
        file: PathBuf,
    },
    Sweep {
        axes: Vec<sweep::Axis>,
        seeds: u64,
        policies: Vec<PolicyName>,
        json: Option<PathBuf>,
        file: PathBuf,
    },
    Hunt {
        seed: u64,
        days: u64,
        out: Option<PathBuf>,
        file: PathBuf,
    },
    Replay {
        file: PathBuf,
    },
    Plot {
        figure: String,
        out: PathBuf,
        file: PathBuf,
    },
    Paper {
        keys: usize,
        sets: u64,
        seed: u64,
        json: Option<PathBuf>,
    },
    Cost {
        json: Option<PathBuf>,
    },
}

/// Returns the parser of the command line.
pub(crate) fn options() -> OptionParser<Command> {
    let check = check_command();
    let run = run_command();
    let compare = compare_command();
    let sweep = sweep_command();
    let hunt = hunt_command();
    let replay = replay_command();
    let plot = plot_command();
    let paper = paper_command();
    let cost = cost_command();
    construct!([check, run, compare, sweep, hunt, replay, plot, paper, cost])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Simulates the balancing service with its placement code")
}

fn check_command() -> impl Parser<Command> {
    let files = positional::<PathBuf>("FILE")
        .help("Scenario files")
        .some("expected at least one scenario file");
    construct!(Command::Check { files })
        .to_options()
        .descr("Check scenario files")
        .command("check")
}

fn run_command() -> impl Parser<Command> {
    let (seed, json, file) = (seed(), json(), scenario_file());
    let policy = long("policy").help("Policy: module, random, plain, two-choices or least-loaded");
    let policy = policy
        .argument::<PolicyName>("NAME")
        .fallback(PolicyName::Module);
    construct!(Command::Run {
        seed,
        policy,
        json,
        file
    })
    .to_options()
    .descr("Simulate one scenario")
    .command("run")
}

fn compare_command() -> impl Parser<Command> {
    let (seeds, json, file) = (seeds(), json(), scenario_file());
    let policies = policies(&PolicyName::ALL);
    let descr = "Compare policies on the same arrivals; differences are to the first policy";
    construct!(Command::Compare {
        seeds,
        policies,
        json,
        file
    })
    .to_options()
    .descr(descr)
    .command("compare")
}

fn sweep_command() -> impl Parser<Command> {
    let axes =
        long("set").help("Key of the scenario and its values, for example nodes.count=1,2,4");
    let axes = axes
        .argument::<sweep::Axis>("KEY=VALUES")
        .some("expected at least one --set KEY=VALUES");
    let (seeds, json, file) = (seeds(), json(), scenario_file());
    let policies = policies(&[PolicyName::Module]);
    let descr = "Sweep values of a scenario over a grid";
    construct!(Command::Sweep {
        axes,
        seeds,
        policies,
        json,
        file
    })
    .to_options()
    .descr(descr)
    .command("sweep")
}

fn hunt_command() -> impl Parser<Command> {
    let (seed, file) = (seed(), scenario_file());
    let days = long("days")
        .help("Number of candidate scenarios to search")
        .argument::<u64>("N")
        .fallback(200)
        .display_fallback();
    let out = long("out")
        .help("File for the worst scenario, simplified")
        .argument::<PathBuf>("FILE")
        .optional();
    let descr =
        "Search seeds and faults for the worst scenario of the placement module, and simplify it";
    construct!(Command::Hunt {
        seed,
        days,
        out,
        file
    })
    .to_options()
    .descr(descr)
    .command("hunt")
}

fn replay_command() -> impl Parser<Command> {
    let file = scenario_file();
    construct!(Command::Replay { file })
        .to_options()
        .descr("Replay a scenario saved by hunt")
        .command("replay")
}

fn plot_command() -> impl Parser<Command> {
    let figure = long("figure")
        .help("Metric of a sweep to plot")
        .argument::<String>("NAME");
    let figure = figure.fallback("service".into()).display_fallback();
    let out = long("out")
        .help("SVG file to write")
        .argument::<PathBuf>("FILE");
    let file = positional::<PathBuf>("FILE")
        .help("Results that run, sweep, paper or cost wrote with --json");
    construct!(Command::Plot { figure, out, file })
        .to_options()
        .descr("Plot results as SVG")
        .command("plot")
}

fn paper_command() -> impl Parser<Command> {
    let keys = long("keys")
        .help("Number of keys")
        .argument::<usize>("N")
        .fallback(1_000_000)
        .display_fallback();
    let sets = long("sets")
        .help("Number of random server sets per server count")
        .argument::<u64>("N")
        .fallback(8)
        .display_fallback();
    let (seed, json) = (seed(), json());
    let descr =
        "Repeat the paper's comparison of the product score with a hash per pair of server and key";
    construct!(Command::Paper {
        keys,
        sets,
        seed,
        json
    })
    .to_options()
    .descr(descr)
    .command("paper")
}

fn cost_command() -> impl Parser<Command> {
    let json = json();
    let descr =
        "Measure the CPU cost of the placement module with 10 to 10,000 servers on this machine";
    construct!(Command::Cost { json })
        .to_options()
        .descr(descr)
        .command("cost")
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of the random number generators")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback()
}

fn seeds() -> impl Parser<u64> {
    let help = "Number of seeds, starting at 1";
    let is_in_range = |count: &u64| (1..=10_000).contains(count);
    long("seeds")
        .help(help)
        .argument::<u64>("N")
        .guard(is_in_range, "number of seeds must be from 1 to 10000")
        .fallback(10)
        .display_fallback()
}

fn json() -> impl Parser<Option<PathBuf>> {
    long("json")
        .help("File for the results as JSON, - for standard output")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Parses repeated `--policy` options, with `default` if there are none.
fn policies(default: &'static [PolicyName]) -> impl Parser<Vec<PolicyName>> {
    let policy = long("policy")
        .help("Policy; may be given more than once")
        .argument::<PolicyName>("NAME");
    policy.many().map(|names| {
        if names.is_empty() {
            default.to_vec()
        } else {
            names
        }
    })
}

fn scenario_file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Scenario file, TOML")
}
