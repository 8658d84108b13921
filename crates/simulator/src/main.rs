//! `lupincrank-simulator`: scenarios in simulated time, experiments and plots.

#![forbid(unsafe_code)]

use bpaf::{construct, long, positional, OptionParser, Parser};
use indicatif::{ProgressBar, ProgressStyle};
use lupincrank_simulator::experiments::{compare, cost, hunt, sweep};
use lupincrank_simulator::policy::Name;
use lupincrank_simulator::scenario::{self, Scenario, Wrong};
use lupincrank_simulator::{paper, plot, world};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// What is asked for.
#[derive(Clone, Debug)]
enum Command {
    Check {
        files: Vec<PathBuf>,
    },
    Run {
        seed: u64,
        policy: Name,
        json: Option<PathBuf>,
        file: PathBuf,
    },
    Compare {
        seeds: u64,
        policies: Vec<Name>,
        json: Option<PathBuf>,
        file: PathBuf,
    },
    Sweep {
        axes: Vec<sweep::Axis>,
        seeds: u64,
        policies: Vec<Name>,
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

fn policies(none: &'static [Name]) -> impl Parser<Vec<Name>> {
    let policy = long("policy")
        .help("A policy; may be given again")
        .argument::<Name>("NAME");
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

fn options() -> OptionParser<Command> {
    let check = {
        let files = positional::<PathBuf>("FILE")
            .help("Scenarios")
            .some("name at least one scenario");
        construct!(Command::Check { files })
            .to_options()
            .descr("Check scenario files")
            .command("check")
    };
    let run = {
        let (seed, json, file) = (seed(), json(), scenario_file());
        let policy = long("policy").help("module, random, plain, two-choices or least-loaded");
        let policy = policy.argument::<Name>("NAME").fallback(Name::Module);
        construct!(Command::Run {
            seed,
            policy,
            json,
            file
        })
        .to_options()
        .descr("Play one scenario")
        .command("run")
    };
    let compare = {
        let (seeds, json, file) = (seeds(), json(), scenario_file());
        let policies = policies(&Name::ALL);
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
    };
    let sweep = {
        let axes = long("set").help("A key of the scenario and its values: nodes.count=1,2,4");
        let axes = axes
            .argument::<sweep::Axis>("KEY=VALUES")
            .some("name what to sweep with --set");
        let (seeds, json, file) = (seeds(), json(), scenario_file());
        let policies = policies(&[Name::Module]);
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
    };
    let hunt = {
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
    };
    let replay = {
        let file = scenario_file();
        construct!(Command::Replay { file })
            .to_options()
            .descr("Play a saved day again")
            .command("replay")
    };
    let plot = {
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
    };
    let paper = {
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
        let descr =
            "Repeat the paper's comparison of the product score with hashing each pair anew";
        construct!(Command::Paper {
            keys,
            sets,
            seed,
            json
        })
        .to_options()
        .descr(descr)
        .command("paper")
    };
    let cost = {
        let json = json();
        let descr = "What the module's work costs from 10 to 10,000 transcribers, on this machine";
        construct!(Command::Cost { json })
            .to_options()
            .descr(descr)
            .command("cost")
    };
    construct!([check, run, compare, sweep, hunt, replay, plot, paper, cost])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Plays the service in simulated time with the decisions that serve")
}

fn main() -> ExitCode {
    match carry_out(options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lupincrank-simulator: {message}");
            ExitCode::FAILURE
        }
    }
}

fn told(wrong: Vec<Wrong>) -> String {
    wrong
        .iter()
        .map(Wrong::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

fn text_of(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file)
        .map_err(|error| format!("{}: cannot read: {error}", file.display()))
}

fn read(file: &Path) -> Result<Scenario, String> {
    scenario::load(file).map_err(told)
}

fn write(json: Option<&Path>, results: &impl Serialize) -> Result<(), String> {
    let Some(file) = json else { return Ok(()) };
    let text = serde_json::to_string_pretty(results).map_err(|error| error.to_string())? + "\n";
    if file.as_os_str() == "-" {
        print!("{text}");
        return Ok(());
    }
    std::fs::write(file, text).map_err(|error| format!("{}: cannot write: {error}", file.display()))
}

/// Shown on a terminal only.
fn progress(count: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    ProgressBar::new(count).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Check { files } => {
            for file in files {
                let scenario = read(&file)?;
                println!(
                    "{}: holds; {:.1} connections a second",
                    file.display(),
                    scenario.rate()
                );
            }
            Ok(())
        }
        Command::Run {
            seed,
            policy,
            json,
            file,
        } => run(seed, policy, json.as_deref(), &file),
        Command::Compare {
            seeds,
            policies,
            json,
            file,
        } => {
            let scenario = read(&file)?;
            let bar = progress(seeds * policies.len() as u64);
            let sides = compare::compare(&scenario, &policies, 1..seeds + 1, || bar.inc(1));
            bar.finish_and_clear();
            if json.as_ref().is_none_or(|file| file.as_os_str() != "-") {
                print!("{}", compare::table(&sides));
            }
            write(json.as_deref(), &serde_json::json!({ "compare": sides }))
        }
        Command::Sweep {
            axes,
            seeds,
            policies,
            json,
            file,
        } => {
            let points: usize = axes.iter().map(|axis| axis.values.len()).product();
            let bar = progress(seeds * (points * policies.len()) as u64);
            let (name, scenario) = (file.display().to_string(), read(&file)?);
            let rows = sweep::sweep(&name, &scenario, &axes, &policies, 1..seeds + 1, || {
                bar.inc(1);
            })
            .map_err(told)?;
            bar.finish_and_clear();
            print!("{}", sweep::table(&rows));
            write(json.as_deref(), &serde_json::json!({ "sweep": rows }))
        }
        Command::Hunt {
            seed,
            days,
            out,
            file,
        } => hunt_for(seed, days, out.as_deref(), &file),
        Command::Replay { file } => replay(&file),
        Command::Plot { figure, out, file } => {
            let place = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
            let results: plot::Results = serde_json::from_str(&text_of(&file)?)
                .map_err(|_| place(&"these are not results of run, sweep, paper or cost"))?;
            let svg = plot::draw(&results, &figure).map_err(|error| place(&error))?;
            std::fs::write(&out, svg)
                .map_err(|error| format!("{}: cannot write: {error}", out.display()))
        }
        Command::Paper {
            keys,
            sets,
            seed,
            json,
        } => {
            let bar = progress(4 * paper::SIZES.len() as u64);
            let rows = paper::repeat(keys.max(1), sets.max(1), seed, || bar.inc(1));
            bar.finish_and_clear();
            print!("{}", paper::table(&rows));
            write(json.as_deref(), &serde_json::json!({ "paper": rows }))
        }
        Command::Cost { json } => {
            println!(
                "{:>12} {:>12} {:>12} {:>12}",
                "transcribers", "request us", "walk us", "upkeep ms"
            );
            let mut rows = Vec::new();
            for size in [10, 30, 60, 100, 300, 1_000, 3_000, 10_000] {
                let row = cost::measure(size);
                println!(
                    "{size:>12} {:>12.2} {:>12.1} {:>12.3}",
                    row.request_us, row.walk_us, row.upkeep_ms
                );
                rows.push(row);
            }
            write(json.as_deref(), &serde_json::json!({ "cost": rows }))
        }
    }
}

fn run(seed: u64, policy: Name, json: Option<&Path>, file: &Path) -> Result<(), String> {
    let scenario = read(file)?;
    let begun = Instant::now();
    let outcome = world::play(&scenario, seed, policy);
    let took = begun.elapsed().as_secs_f64();
    // The machine's own time is told to people only: the results are the same on every machine.
    eprintln!(
        "{} under {}: service {:.3}, {} events in {took:.2} s ({:.0} a second), at most {} waiting",
        outcome.scenario,
        outcome.policy,
        outcome.service,
        outcome.events,
        outcome.events as f64 / took.max(1e-9),
        outcome.peak_queue
    );
    for broken in outcome.rules_broken.iter().take(3) {
        eprintln!(
            "rule broken, {:?} at {:.3} s: {}",
            broken.rule, broken.at_s, broken.what
        );
        broken.trace.iter().for_each(|line| eprintln!("    {line}"));
    }
    write(json, &outcome)
}

fn hunt_for(seed: u64, days: u64, out: Option<&Path>, file: &Path) -> Result<(), String> {
    let others = [Name::Plain, Name::TwoChoices, Name::LeastLoaded];
    let scenario = read(file)?;
    let bar = progress(days);
    let worst = hunt::search(&scenario, seed, days, &others, || bar.inc(1));
    bar.finish_and_clear();
    let worst = worst.ok_or("no day was searched")?;
    println!(
        "worst of {days} days: {}, behind by {:.3}",
        worst.scenario.name, worst.gap
    );
    let small = hunt::shrink(worst, &others);
    let found = small
        .scenario
        .found
        .clone()
        .ok_or("a judged day has its figures")?;
    println!(
        "made small: {} transcribers, {} nodes, {:.0} s, {} troubles; module {:.3}, {} {:.3}",
        small.scenario.fleet.transcribers,
        small.scenario.nodes.count,
        small.scenario.length_s,
        small.scenario.trouble.len(),
        found.service,
        found.against,
        found.against_service
    );
    let text = toml::to_string(&small.scenario).map_err(|error| error.to_string())?;
    if let Some(out) = out {
        std::fs::write(out, text)
            .map_err(|error| format!("{}: cannot write: {error}", out.display()))
    } else {
        print!("{text}");
        Ok(())
    }
}

fn replay(file: &Path) -> Result<(), String> {
    let scenario = read(file)?;
    let no = || {
        format!(
            "{}: found: this scenario was not saved by hunt",
            file.display()
        )
    };
    let found = scenario.found.clone().ok_or_else(no)?;
    let against: Name = found
        .against
        .parse()
        .map_err(|error| format!("{}: found.against: {error}", file.display()))?;
    let now = hunt::judge(scenario, found.seed, &[against]);
    let played = now.scenario.found.ok_or_else(no)?;
    println!(
        "module: {:.4} now, {:.4} when it was found",
        played.service, found.service
    );
    println!(
        "{}: {:.4} now, {:.4} when it was found",
        found.against, played.against_service, found.against_service
    );
    Ok(())
}
