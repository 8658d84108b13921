//! `lupincrank-fault-injection`: runs trials, draws them, hunts for the worst, and reports.

#![forbid(unsafe_code)]

use bpaf::{construct, long, positional, OptionParser, Parser};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use lupincrank_fault_injection::hunt::hunt;
use lupincrank_fault_injection::plan::Plan;
use lupincrank_fault_injection::report;
use lupincrank_fault_injection::run::{run, Options, Outcome};
use lupincrank_fault_injection::scenario::Scenario;
use lupincrank_fault_injection::stage::{Phase, Stage};
use lupincrank_fault_injection::wrongdoer::{self, Wrong};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Clone, Debug)]
struct Running {
    seed: u64,
    json: Option<PathBuf>,
    logs: Option<PathBuf>,
    program: Option<String>,
    programs: Vec<(usize, String)>,
    verbose: bool,
    file: String,
}

#[derive(Clone, Debug)]
enum Command {
    Run(Running),
    Hunt {
        runs: usize,
        running: Running,
    },
    List {
        folder: String,
    },
    Check {
        plan: bool,
        seed: u64,
        file: String,
    },
    Report {
        svg: Option<PathBuf>,
        file: String,
    },
    Wrongdoer {
        config: String,
        kind: Wrong,
        serve: String,
    },
}

fn running() -> impl Parser<Running> {
    let seed = long("seed")
        .help("What the plan is drawn from")
        .argument::<u64>("N")
        .fallback(1);
    let json = long("json")
        .help("Where the outcome goes")
        .argument::<PathBuf>("OUT")
        .optional();
    let logs = long("logs")
        .help("A folder for the logs of all parties")
        .argument::<PathBuf>("DIR")
        .optional();
    let program = long("program")
        .help("The program; lupincrank beside this one if it is not said")
        .argument::<String>("PATH")
        .optional();
    let programs = long("node")
        .help("Another program for one node, as NUMBER=PATH: old and new builds side by side")
        .argument::<String>("N=PATH")
        .parse(|text| {
            let (node, path) = text.split_once('=').ok_or("NUMBER=PATH is wanted")?;
            Ok::<_, String>((
                node.parse::<usize>().map_err(|error| error.to_string())?,
                path.to_string(),
            ))
        })
        .many();
    let verbose = long("verbose").help("Nodes log single requests").switch();
    let file = positional::<String>("FILE").help("A scenario");
    construct!(Running {
        seed,
        json,
        logs,
        program,
        programs,
        verbose,
        file
    })
}

fn parser() -> OptionParser<Command> {
    let run = construct!(Command::Run(running()))
        .to_options()
        .descr("Run one trial; the exit code is 1 if a rule or a bound did not hold")
        .command("run");
    let runs = long("runs")
        .help("Trials to draw")
        .argument::<usize>("N")
        .fallback(20);
    let running = running();
    let hunt = construct!(Command::Hunt { runs, running })
        .to_options()
        .descr("Draw time lines of faults, keep the worst, and leave out what does not matter")
        .command("hunt");
    let folder = positional::<String>("DIR")
        .help("Where scenarios are")
        .fallback("crates/fault-injection/scenarios".into());
    let list = construct!(Command::List { folder })
        .to_options()
        .descr("List scenarios")
        .command("list");
    let plan = long("plan")
        .help("Print the plan that the seed draws")
        .switch();
    let seed = long("seed")
        .help("What the plan is drawn from")
        .argument::<u64>("N")
        .fallback(1);
    let file = positional::<String>("FILE").help("A scenario");
    let check = construct!(Command::Check { plan, seed, file })
        .to_options()
        .descr("Read a scenario and say what is wrong with it")
        .command("check");
    let svg = long("svg")
        .help("Draw the time line here")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = positional::<String>("OUT").help("An outcome, as --json wrote it");
    let report = construct!(Command::Report { svg, file })
        .to_options()
        .descr("Tell what came of a trial")
        .command("report");
    let config = long("config").argument::<String>("FILE");
    let kind = positional::<Wrong>("KIND");
    let serve = positional::<String>("serve");
    let wrongdoer = construct!(Command::Wrongdoer {
        config,
        kind,
        serve
    })
    .to_options()
    .descr("A scripted node that breaks a rule, to see that the judge names it")
    .command("wrongdoer");
    construct!([run, hunt, list, check, report, wrongdoer])
        .to_options()
        .descr("lupincrank-fault-injection: real processes of lupincrank with faults between them")
}

/// The program that stands beside this one.
fn beside() -> Result<String, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name("lupincrank");
    if !program.exists() {
        return Err(format!(
            "{} is not there: build it, or name one with --program",
            program.display()
        ));
    }
    Ok(program.display().to_string())
}

fn options(
    running: &Running,
    stop: &Arc<AtomicBool>,
    bar: &ProgressBar,
) -> Result<Options, String> {
    let program = match &running.program {
        Some(program) => program.clone(),
        None => beside()?,
    };
    let programs = running
        .programs
        .iter()
        .map(|(node, path)| (*node, vec![path.clone()]));
    let bar = bar.clone();
    Ok(Options {
        program: vec![program],
        programs: programs.collect::<BTreeMap<_, _>>(),
        logs: running.logs.clone(),
        verbose: running.verbose,
        stop: Arc::clone(stop),
        progress: Box::new(move |stage: &Stage| {
            let at = stage.judge.seconds(std::time::Instant::now());
            let up = stage.nodes.iter().filter(|node| node.in_front).count();
            let phase = match stage.phase {
                Phase::Starts => "nodes get ready".to_string(),
                Phase::Runs => format!("{at:.0} of {} s", stage.scenario.seconds.get_ref()),
                Phase::Settles | Phase::Over => "settles".to_string(),
            };
            let broken = stage.judge.broken().len();
            bar.set_message(format!(
                "{phase}, {up} of {} nodes in front, {broken} broken",
                stage.nodes.len()
            ));
            bar.tick();
        }),
    })
}

fn write(path: &Option<PathBuf>, value: &impl serde::Serialize) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    std::fs::write(path, text + "\n").map_err(|error| format!("{}: {error}", path.display()))
}

fn tell(outcome: &Outcome) -> Result<String, String> {
    let value = serde_json::to_value(outcome).map_err(|error| error.to_string())?;
    Ok(report::text(&value))
}

fn name(file: &str) -> String {
    Path::new(file).file_stem().map_or_else(
        || file.to_string(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

fn work(command: Command) -> Result<bool, String> {
    let stop = Arc::new(AtomicBool::new(false));
    if !matches!(command, Command::Wrongdoer { .. }) {
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&stop))
                .map_err(|error| error.to_string())?;
        }
    }
    // Drawn on a terminal only.
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    bar.set_style(
        ProgressStyle::with_template("{spinner} {msg}").map_err(|error| error.to_string())?,
    );
    match command {
        Command::Run(running) => {
            let scenario = Scenario::load(&running.file)?;
            let outcome = run(
                &name(&running.file),
                scenario,
                running.seed,
                options(&running, &stop, &bar)?,
            )?;
            bar.finish_and_clear();
            write(&running.json, &outcome)?;
            print!("{}", tell(&outcome)?);
            Ok(outcome.holds())
        }
        Command::Hunt { runs, running } => {
            let scenario = Scenario::load(&running.file)?;
            options(&running, &stop, &bar)?;
            let fresh = || options(&running, &stop, &bar).expect("they held a moment ago");
            let found = hunt(
                &name(&running.file),
                &scenario,
                running.seed,
                runs,
                fresh,
                |number, outcome| {
                    bar.suspend(|| {
                        let peak = outcome.budgets.first().map_or(0, |budget| budget.peak);
                        let broken = outcome.judge.broken.len();
                        println!(
                            "{number:4} seed {} service {:.3} peak {peak} broken {broken}",
                            outcome.seed, outcome.service
                        );
                    });
                },
            )?;
            bar.finish_and_clear();
            write(&running.json, &found)?;
            println!("{} trials, {} with a broken rule", found.runs, found.broken);
            if let Some(worst) = &found.worst {
                print!("the worst:\n{}", tell(worst)?);
            }
            Ok(found.broken == 0)
        }
        Command::List { folder } => {
            let mut files: Vec<PathBuf> = std::fs::read_dir(&folder)
                .map_err(|error| format!("{folder}: {error}"))?
                .filter_map(|entry| Some(entry.ok()?.path()))
                .filter(|path| {
                    path.extension()
                        .is_some_and(|extension| extension == "toml")
                })
                .collect();
            files.sort();
            for file in files {
                let scenario = Scenario::load(&file.display().to_string())?;
                println!(
                    "{:24} {}",
                    name(&file.display().to_string()),
                    scenario.about
                );
            }
            Ok(true)
        }
        Command::Check { plan, seed, file } => {
            let scenario = Scenario::load(&file)?;
            let drawn = Plan::draw(&scenario, seed);
            if plan {
                println!(
                    "{}",
                    serde_json::to_string_pretty(&drawn).map_err(|error| error.to_string())?
                );
            } else {
                let (visits, faults) = (drawn.visits.len(), drawn.faults.len());
                println!(
                    "{file}: holds; seed {seed} draws {visits} visits and {faults} faults ({:08x})",
                    drawn.digest()
                );
            }
            Ok(true)
        }
        Command::Report { svg, file } => {
            let text =
                std::fs::read_to_string(&file).map_err(|error| format!("{file}: {error}"))?;
            let outcome =
                serde_json::from_str(&text).map_err(|error| format!("{file}: {error}"))?;
            print!("{}", report::text(&outcome));
            match svg {
                Some(svg) => report::draw(&outcome, &svg).map(|()| true),
                None => Ok(true),
            }
        }
        Command::Wrongdoer {
            config,
            kind,
            serve,
        } if serve == "serve" => wrongdoer::serve(kind, &config).map(|()| true),
        Command::Wrongdoer { serve, .. } => {
            Err(format!("a wrongdoer can only serve, not {serve:?}"))
        }
    }
}

fn main() -> ExitCode {
    match work(parser().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("lupincrank-fault-injection: {why}");
            ExitCode::from(2)
        }
    }
}
