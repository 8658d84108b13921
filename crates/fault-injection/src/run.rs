//! One trial from its beginning to its end.

use crate::build::{add, release, tell};
use crate::judge::{Broken, Budget};
use crate::plan::Plan;
use crate::processes::{block, Node};
use crate::scenario::{Fault, Scenario};
use crate::stage::{Phase, Setting, Stage};
use crate::world;
use lupincrank_reactor::Reactor;
use lupincrank_test_servers::client::Manners;
use lupincrank_test_servers::part;
use lupincrank_test_servers::transcriber::{Fleet, Strength};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// How a trial is run.
pub struct Options {
    /// The program, with what goes before `serve`.
    pub program: Vec<String>,
    /// Other programs for single nodes, by number: old and new builds side by side, or wrongdoers.
    pub programs: BTreeMap<usize, Vec<String>>,
    /// Where the merged logs go.
    pub logs: Option<PathBuf>,
    /// Nodes log single requests.
    pub verbose: bool,
    /// Set to end the trial early.
    pub stop: Arc<AtomicBool>,
    /// Called a few times a second.
    pub progress: Box<dyn Fn(&Stage)>,
}

/// What came of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The scenario's file, or what it is called.
    pub scenario: String,
    /// The seed, and a sum over the plan.
    pub seed: u64,
    /// See `seed`.
    pub plan: String,
    /// Processes of the program.
    pub nodes: usize,
    /// The time line of faults as planned.
    pub faults: Vec<Fault>,
    /// What happened, in seconds after the first client.
    pub events: Vec<(f64, String)>,
    /// The part of visits that was served within 3 s of its plan, or of its return.
    pub service: f64,
    /// The same for each second: due, and served.
    pub by_second: BTreeMap<u64, (u32, u32)>,
    /// Requests that clients made.
    pub requests: u64,
    /// Those that got no answer though their node was there.
    pub unanswered: u64,
    /// Those that were lost with a node that died or froze.
    pub lost: u64,
    /// What else was counted.
    pub counts: BTreeMap<&'static str, u64>,
    /// Councils that nodes named.
    pub councils: usize,
    /// Set-ups in milliseconds: half, 99 of 100, and the slowest.
    pub setups_ms: [f64; 3],
    /// The judge's word.
    pub judge: Verdict,
    /// Budgets as transcribers saw them.
    pub budgets: Vec<Budget>,
    /// How the nodes stood at the end, as they say.
    pub ends: BTreeMap<String, serde_json::Value>,
    /// Processor time of each living process, from its start to the end, in milliseconds.
    pub cpu_ms: BTreeMap<String, u64>,
}

/// The judge's word.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Broken rules; none if all is well.
    pub broken: Vec<Broken>,
}

impl Outcome {
    /// Whether all rules and bounds held.
    pub fn holds(&self) -> bool {
        self.judge.broken.is_empty()
    }
}

/// Runs one; an error says why it could not be carried out at all.
pub fn run(name: &str, scenario: Scenario, seed: u64, options: Options) -> Result<Outcome, String> {
    let named = |error: std::io::Error| error.to_string();
    let plan = Plan::draw(&scenario, seed);
    let (high, low, held) = block().map_err(named)?;
    let folder = std::env::temp_dir().join(format!(
        "lupincrank-trial-{}-{high}-{low}",
        std::process::id()
    ));
    fs::create_dir_all(&folder).map_err(named)?;
    let bears = &scenario.bears;
    let strength = Strength {
        bears: bears.held,
        most: (bears.held * 3.0) as usize,
        cold: Duration::from_secs_f64(bears.cold_s),
        start: 0.3,
        fall: 3.0,
        fall_for: Duration::from_secs(2),
        setup: part(Duration::from_millis(bears.setup_ms), 1.0),
    };
    let manners = Manners {
        wait: Duration::from_millis(scenario.clients.wait_ms),
        every: Duration::from_millis(scenario.clients.line_ms),
        class: "chat".into(),
    };
    let (nodes, transcribers) = (*scenario.nodes.get_ref(), *scenario.transcribers.get_ref());
    let stage = Stage::new(Setting {
        scenario,
        plan,
        manners,
        fleet: Fleet {
            strength,
            all: Vec::new(),
        },
        random: Pcg64Mcg::new(u128::from(seed) << 8 | 3),
        stop: options.stop,
        folder: folder.clone(),
        block: (high, low),
        verbose: options.verbose,
        program: options.program.clone(),
        progress: options.progress,
    });
    let mut reactor = Reactor::new(stage, 0).map_err(named)?;
    let context = &mut reactor.context;
    for _ in 0..transcribers {
        release(context, false)?;
    }
    for node in 0..nodes {
        let program = options
            .programs
            .get(&node)
            .unwrap_or(&options.program)
            .clone();
        add(context, program, None)?;
    }
    for node in 0..nodes {
        tell(context, node, nodes)?;
        let verbose = context.verbose;
        context.nodes[node].start(verbose).map_err(named)?;
    }
    world::begin(context);
    let ran = reactor.run().map_err(named);
    let stage = &mut reactor.context.application;
    stage.phase = Phase::Over;
    let ends = stage.nodes.iter().filter_map(|node| {
        let (_, told) = node.status.as_ref()?;
        Some((node.name.clone(), told.clone()))
    });
    let ends = ends.collect();
    let times = stage
        .nodes
        .iter()
        .filter_map(|node| Some((node.name.clone(), node.cpu_ms()?)));
    let cpu_ms = times.collect();
    stage.nodes.iter_mut().for_each(Node::kill);
    if let Some(to) = &options.logs {
        merge(stage, to).map_err(named)?;
    }
    drop(held);
    let failed = ran.err().or_else(|| stage.failed().map(str::to_string));
    if let Some(why) = failed {
        let log = tail(stage);
        let _ = fs::remove_dir_all(&folder);
        return Err(format!("{name}, seed {seed}: {why}\n{log}"));
    }
    let outcome = Outcome {
        ends,
        cpu_ms,
        ..outcome(name, stage)
    };
    let _ = fs::remove_dir_all(&folder);
    Ok(outcome)
}

fn outcome(name: &str, stage: &mut Stage) -> Outcome {
    let now = Instant::now();
    let (requests, unanswered, lost) = stage.judge.finish(now);
    let cold = stage.scenario.cold.clone();
    let budgets = cold
        .iter()
        .map(|cold| stage.judge.cold(cold.whole, &cold.enough));
    let budgets: Vec<Budget> = budgets.collect();
    let due: u32 = stage.service.values().map(|(due, _)| *due).sum();
    let up: u32 = stage.service.values().map(|(_, up)| *up).sum();
    let service = f64::from(up.min(due)) / f64::from(due.max(1));
    let least = stage.scenario.hold.service;
    if service < least {
        stage.judge.breaks(
            "hold",
            now,
            format!("service is {service:.3}, {least} is the least"),
        );
    }
    let used = budgets.iter().filter_map(|budget| budget.used);
    for used in used.filter(|used| *used < stage.scenario.hold.used) {
        let least = stage.scenario.hold.used;
        stage.judge.breaks(
            "hold",
            now,
            format!("{used:.2} of the budget was in use, {least} is the least"),
        );
    }
    let (councils, most) = (stage.councils.len(), stage.scenario.hold.foundings);
    if most > 0 && councils > most {
        stage.judge.breaks(
            "hold",
            now,
            format!("{councils} councils were founded, {most} are the most"),
        );
    }
    let start = stage.start;
    let seconds = |at: Instant| {
        let (after, before) = (
            at.saturating_duration_since(start),
            start.saturating_duration_since(at),
        );
        after.as_secs_f64() - before.as_secs_f64()
    };
    let events = stage
        .events
        .iter()
        .map(|event| (seconds(event.at), event.what.clone()))
        .collect();
    Outcome {
        scenario: name.to_string(),
        seed: stage.plan.seed,
        plan: format!("{:08x}", stage.plan.digest()),
        nodes: stage.nodes.len(),
        faults: stage.plan.faults.clone(),
        events,
        service,
        by_second: stage.service.clone(),
        requests,
        unanswered,
        lost,
        counts: stage.judge.counts().clone(),
        councils,
        setups_ms: stage.judge.setups_ms(),
        judge: Verdict {
            broken: stage.judge.broken().to_vec(),
        },
        budgets,
        ends: BTreeMap::new(),
        cpu_ms: BTreeMap::new(),
    }
}

/// The last lines of each node's log, for a trial that could not be carried out.
fn tail(stage: &Stage) -> String {
    let mut out = String::new();
    for node in &stage.nodes {
        let log = fs::read_to_string(node.log()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(6)..] {
            out.push_str(&format!("  {} {line}\n", node.name));
        }
    }
    out
}

/// One time line of what the trial did and what the nodes logged.
fn merge(stage: &Stage, to: &PathBuf) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    let mut lines: Vec<(String, String)> = Vec::new();
    for node in &stage.nodes {
        let log = fs::read(node.log()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        fs::write(to.join(format!("{}.log", node.name)), &log)?;
        for line in log.lines() {
            // Lines without a time of their own stay behind the one before.
            let time = line
                .get(7..19)
                .filter(|time| time.as_bytes().get(2) == Some(&b':'));
            let time = time
                .map(str::to_string)
                .or_else(|| lines.last().map(|(time, _)| time.clone()));
            lines.push((
                time.unwrap_or_default(),
                format!("{:9} {}", node.name, line.get(20..).unwrap_or(line)),
            ));
        }
    }
    for event in &stage.events {
        let mark = if event.fault { "FAULT" } else { "trial" };
        lines.push((clock(event.wall), format!("{mark:9} {}", event.what)));
    }
    lines.sort_by(|one, other| one.0.cmp(&other.0));
    let mut file = fs::File::create(to.join("merged.log"))?;
    for (time, line) in lines {
        writeln!(file, "{time} {line}")?;
    }
    Ok(())
}

/// The time of day in UTC, as the nodes' logs write it.
fn clock(wall: SystemTime) -> String {
    let ms = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
        % 86_400_000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        ms / 3_600_000,
        ms / 60_000 % 60,
        ms / 1000 % 60,
        ms % 1000
    )
}
