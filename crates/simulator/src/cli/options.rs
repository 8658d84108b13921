//! The command line: commands, their arguments and their parsers.

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

/// Returns the parser of the whole command line.
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
        .descr("Plays the service in simulated time with the decisions that serve")
}

fn check_command() -> impl Parser<Command> {
    let files = positional::<PathBuf>("FILE")
        .help("Scenarios")
        .some("name at least one scenario");
    construct!(Command::Check { files })
        .to_options()
        .descr("Check scenario files")
        .command("check")
}

fn run_command() -> impl Parser<Command> {
    let (seed, json, file) = (seed(), json(), scenario_file());
    let policy = long("policy").help("module, random, plain, two-choices or least-loaded");
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
    .descr("Play one scenario")
    .command("run")
}

fn compare_command() -> impl Parser<Command> {
    let (seeds, json, file) = (seeds(), json(), scenario_file());
    let policies = policies(&PolicyName::ALL);
    let descr =
        "Policies side by side on the same arrivals; the first is the one that others are held against";
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
    let axes = long("set").help("A key of the scenario and its values: nodes.count=1,2,4");
    let axes = axes
        .argument::<sweep::Axis>("KEY=VALUES")
        .some("name what to sweep with --set");
    let (seeds, json, file) = (seeds(), json(), scenario_file());
    let policies = policies(&[PolicyName::Module]);
    let descr = "A grid over any values of a scenario";
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
        .help("How many days to search")
        .argument::<u64>("N")
        .fallback(200)
        .display_fallback();
    let out = long("out")
        .help("Save the worst day, made small, here")
        .argument::<PathBuf>("FILE")
        .optional();
    let descr = "Search seeds and troubles for the module's worst day, and shrink it";
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
        .descr("Play a saved day again")
        .command("replay")
}

fn plot_command() -> impl Parser<Command> {
    let figure = long("figure")
        .help("A sweep's figure")
        .argument::<String>("NAME");
    let figure = figure.fallback("service".into()).display_fallback();
    let out = long("out")
        .help("The SVG to write")
        .argument::<PathBuf>("FILE");
    let file =
        positional::<PathBuf>("FILE").help("What run, sweep, paper or cost wrote with --json");
    construct!(Command::Plot { figure, out, file })
        .to_options()
        .descr("Draw results as SVG")
        .command("plot")
}

fn paper_command() -> impl Parser<Command> {
    let keys = long("keys")
        .help("Keys")
        .argument::<usize>("N")
        .fallback(1_000_000)
        .display_fallback();
    let sets = long("sets")
        .help("Sets of servers")
        .argument::<u64>("N")
        .fallback(8)
        .display_fallback();
    let (seed, json) = (seed(), json());
    let descr = "Repeat the paper's comparison of the product score with hashing each pair anew";
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
    let descr = "What the module's work costs from 10 to 10,000 transcribers, on this machine";
    construct!(Command::Cost { json })
        .to_options()
        .descr(descr)
        .command("cost")
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of all random numbers")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback()
}

fn seeds() -> impl Parser<u64> {
    let help = "How many seeds, from 1 on";
    let some = |count: &u64| (1..=10_000).contains(count);
    long("seeds")
        .help(help)
        .argument::<u64>("N")
        .guard(some, "1 to 10000 seeds")
        .fallback(10)
        .display_fallback()
}

fn json() -> impl Parser<Option<PathBuf>> {
    long("json")
        .help("Write the results to this file, - for standard output")
        .argument::<PathBuf>("FILE")
        .optional()
}

fn policies(none: &'static [PolicyName]) -> impl Parser<Vec<PolicyName>> {
    let policy = long("policy")
        .help("A policy; may be given again")
        .argument::<PolicyName>("NAME");
    policy.many().map(|named| {
        if named.is_empty() {
            none.to_vec()
        } else {
            named
        }
    })
}

fn scenario_file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("A scenario, TOML")
}
