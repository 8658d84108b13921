//! `lupincrank-scale`: runs a fleet of hollow nodes beside real ones, and lays lines through several runs.

#![forbid(unsafe_code)]

use bpaf::{construct, long, positional, OptionParser, Parser};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use lupincrank_scale::outcome::Outcome;
use lupincrank_scale::place::Place;
use lupincrank_scale::run::{run, Options};
use lupincrank_scale::{fit, host, plot};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Clone, Debug)]
struct Running {
    nodes: usize,
    real: usize,
    expected: Option<usize>,
    seconds: f64,
    settle: f64,
    loss: f64,
    seed: u64,
    json: Option<PathBuf>,
    program: Option<String>,
    most_bytes: Option<f64>,
    most_messages: Option<f64>,
}

#[derive(Clone, Debug)]
enum Command {
    Run(Running),
    Fit {
        svg: Option<PathBuf>,
        at: f64,
        files: Vec<PathBuf>,
    },
    Host {
        numbers: Vec<u64>,
    },
}

fn running() -> impl Parser<Running> {
    let nodes = long("nodes")
        .help("All nodes, 4 to 1000")
        .argument::<usize>("N");
    let real = long("real")
        .help("Those of them that are processes of the program")
        .argument::<usize>("N")
        .fallback(5);
    let expected =
        long("expected").help("How many the operator's file names; all if it is not said");
    let expected = expected.argument::<usize>("N").optional();
    let seconds = long("seconds")
        .help("How long costs are measured")
        .argument::<f64>("S")
        .fallback(20.0);
    let settle = long("settle")
        .help("How long it may take until all take part")
        .argument::<f64>("S")
        .fallback(120.0);
    let loss = long("loss")
        .help("The part of messages that is lost")
        .argument::<f64>("P")
        .fallback(0.0);
    let seed = long("seed")
        .help("What is drawn is drawn from this")
        .argument::<u64>("N")
        .fallback(1);
    let json = long("json")
        .help("Where the outcome goes")
        .argument::<PathBuf>("OUT")
        .optional();
    let program = long("program").help("The program; lupincrank beside this one if it is not said");
    let program = program.argument::<String>("PATH").optional();
    let most_bytes =
        long("most-bytes").help("A bound on the bytes that the leader sends in a second");
    let most_bytes = most_bytes.argument::<f64>("B").optional();
    let most_messages = long("most-messages")
        .help("A bound on the messages that any hollow node sends in a second");
    let most_messages = most_messages.argument::<f64>("M").optional();
    construct!(Running {
        nodes,
        real,
        expected,
        seconds,
        settle,
        loss,
        seed,
        json,
        program,
        most_bytes,
        most_messages
    })
}

fn parser() -> OptionParser<Command> {
    let run = construct!(Command::Run(running()))
        .to_options()
        .descr("Run one fleet; the exit code is 1 if a bound did not hold")
        .command("run");
    let svg = long("svg")
        .help("Draw them here")
        .argument::<PathBuf>("FILE")
        .optional();
    let at = long("at")
        .help("The size that lines are carried on to")
        .argument::<f64>("N")
        .fallback(2_100.0);
    let files = positional::<PathBuf>("OUT")
        .help("Outcomes of runs, as --json wrote them")
        .some("no outcome is named");
    let fit = construct!(Command::Fit { svg, at, files })
        .to_options()
        .descr("Lay lines through the figures of several sizes")
        .command("fit");
    let numbers = positional::<u64>("NUMBER").many();
    let host = construct!(Command::Host { numbers })
        .to_options()
        .descr("Hold hollow nodes, for a run that begins this")
        .command("host");
    construct!([run, fit, host])
        .to_options()
        .descr("lupincrank-scale: what control costs by the size of the fleet")
}

fn beside(own: &Path) -> String {
    own.with_file_name("lupincrank").display().to_string()
}

fn tell(outcome: &Outcome) {
    println!(
        "{} nodes ({} real, {} in the file), loss {}, seed {}: all took part after {:.1} s, {} votes after {:.1} s, leader {}",
        outcome.nodes, outcome.real, outcome.expected, outcome.loss, outcome.seed, outcome.settle_s,
        outcome.voters.len(), outcome.votes_s, outcome.leader
    );
    for (name, role) in &outcome.roles {
        println!(
            "  {name:12} {:4} of them: {:9.0} bytes/s out (mean; busiest {:.0}, busiest second {:.0}), {:7.0} in, {:6.1} messages/s \
             (busiest second {:.0}), {:.2}% of a core (busiest {:.2}%), {:.1} MB",
            role.processes, role.bytes_out_per_s_mean, role.bytes_out_per_s_busiest, role.bytes_out_per_s_max,
            role.bytes_in_per_s_mean, role.messages_per_s_mean, role.messages_per_s_max,
            role.cpu_share_mean * 100.0, role.cpu_share_max * 100.0, role.rss_mb_max
        );
    }
    for (what, held) in [
        ("a change holds", &outcome.change_ms),
        ("a death is known", &outcome.death_ms),
    ] {
        println!(
            "  {what} after {:.0} ms at 50 in 100, {:.0} at 99, {:.0} at all ({} times, the worst; {} nodes never)",
            held.p50, held.p99, held.all, held.times, held.missing
        );
    }
    for budget in &outcome.budgets {
        println!(
            "  budget {}: {} in a second at the most, {} are the whole, {:.2} of it in use when pressed",
            budget.name,
            budget.peak,
            budget.limit,
            budget.usage_ratio.unwrap_or(0.0)
        );
    }
    println!(
        "  lost on purpose {}, unknown {}",
        outcome.lost, outcome.unknown
    );
    outcome
        .broken
        .iter()
        .for_each(|broken| println!("  BROKEN {broken}"));
}

/// Whether the bounds on messages held, and the budget's rule.
fn holds(outcome: &Outcome, most_bytes: Option<f64>, most_messages: Option<f64>) -> bool {
    let figure = |role: &str, of: fn(&lupincrank_scale::outcome::Role) -> f64| {
        outcome.roles.get(role).map_or(0.0, of)
    };
    let bounds = [
        (
            "bytes/s of the leader",
            figure("leader", |role| role.bytes_out_per_s_mean),
            most_bytes,
        ),
        (
            "messages/s of a hollow node",
            figure("hollow-node", |role| role.messages_per_s_mean),
            most_messages,
        ),
    ];
    let mut holds = outcome.broken.is_empty() && outcome.change_ms.missing == 0;
    for (what, is, most) in bounds {
        if let Some(most) = most.filter(|most| is > *most || is == 0.0) {
            println!("  BROKEN {what}: {is:.1}, {most} are the most");
            holds = false;
        }
    }
    holds
}

fn work(command: Command) -> Result<bool, String> {
    match command {
        Command::Run(running) => {
            let own = std::env::current_exe().map_err(|error| error.to_string())?;
            let stop = Arc::new(AtomicBool::new(false));
            for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
                signal_hook::flag::register(signal, Arc::clone(&stop))
                    .map_err(|error| error.to_string())?;
            }
            // Drawn on a terminal only.
            let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
            bar.set_style(
                ProgressStyle::with_template("{spinner} {msg}")
                    .map_err(|error| error.to_string())?,
            );
            let shown = bar.clone();
            let options = Options {
                nodes: running.nodes,
                real: running.real,
                expected: running.expected,
                seconds: running.seconds,
                settle: running.settle,
                loss: running.loss,
                seed: running.seed,
                program: running.program.unwrap_or_else(|| beside(&own)),
                own,
                stop,
                progress: Box::new(move |text| {
                    shown.set_message(text.to_string());
                    shown.tick();
                }),
            };
            let outcome = run(&options)?;
            bar.finish_and_clear();
            tell(&outcome);
            if let Some(path) = &running.json {
                let text =
                    serde_json::to_string_pretty(&outcome).map_err(|error| error.to_string())?;
                std::fs::write(path, text + "\n")
                    .map_err(|error| format!("{}: {error}", path.display()))?;
            }
            Ok(holds(&outcome, running.most_bytes, running.most_messages))
        }
        Command::Fit { svg, at, files } => {
            let read = |file: &PathBuf| {
                let text = std::fs::read_to_string(file)
                    .map_err(|error| format!("{}: {error}", file.display()))?;
                serde_json::from_str(&text).map_err(|error| format!("{}: {error}", file.display()))
            };
            let runs = files
                .iter()
                .map(read)
                .collect::<Result<Vec<serde_json::Value>, String>>()?;
            for (role, figure) in fit::FIGURES {
                let points = fit::points(&runs, role, figure);
                let Some(line) = fit::line(&points) else {
                    println!("{role} {figure}: {} sizes are too few", points.len());
                    continue;
                };
                let power = line.power.zip(line.power_residual);
                let power = power.map_or("no power".into(), |(power, missed)| {
                    format!("n^{power:.2} (misses {:.1}%)", missed * 100.0)
                });
                println!(
                    "{role} {figure}: {:.6} + {:.6} n (misses {:.1}%), {power}; at {at}: {:.4}",
                    line.base,
                    line.slope,
                    line.residual * 100.0,
                    line.base + line.slope * at
                );
                if let Some((base, slope, missed)) = fit::square(&points) {
                    println!(
                        "    or n ({base:.6} + {slope:.6} n) (misses {:.1}%); at {at}: {:.4}",
                        missed * 100.0,
                        at * (base + slope * at)
                    );
                }
            }
            svg.map_or(Ok(()), |svg| plot::draw(&runs, &svg))
                .map(|()| true)
        }
        Command::Host { numbers } => {
            let [first, count, real, hollow, expected, high, low, whole, seed] = numbers[..] else {
                return Err("host is begun by a run, with nine numbers".into());
            };
            let place = Place {
                real: real as usize,
                hollow: hollow as usize,
                expected: expected as usize,
                block: (high as u8, low as u8),
                whole: whole as u32,
            };
            host::serve(&place, first as usize, count as usize, seed).map(|()| true)
        }
    }
}

fn main() -> ExitCode {
    match work(parser().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("lupincrank-scale: {why}");
            ExitCode::from(2)
        }
    }
}
