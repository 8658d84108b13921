//! One run from its beginning to its end: doors open, real and hollow nodes begin, all take part; then the cost of talk is
//! read second by second, a change is made, a death is caused, and the budget is pressed.

use crate::doors::{self, Counts};
use crate::host::{unix_us, Line};
use crate::ledger::{Awaited, Ledger};
use crate::outcome::{role, Held, Outcome, Reading, Role};
use crate::place::{Place, SEEDS};
use lupincrank_fault_injection::checker::Checker;
use lupincrank_fault_injection::link::LinkCondition;
use lupincrank_fault_injection::node_process::{
    resident_kb, BlockReservation, NodeIdentity, NodeProcess,
};
use lupincrank_fault_injection::scenario::TimeSpan;
use lupincrank_test_servers::observation::Observation;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{mpsc, Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Hollow nodes in one process at the most.
const IN_ONE: usize = 100;
/// Descriptors that a run takes besides.
const SPARE: usize = 100;
/// How often it is looked whether something has come about.
const LOOK: Duration = Duration::from_millis(50);
/// Real nodes are asked so often while something is awaited, and have so long to answer.
const ASK: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_secs(2);
/// A change, and a death, may take so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// Changes that are made.
const CHANGES: u32 = 3;
/// The budget is pressed for so long; slices that were given before are over after the first part of it.
const PRESSED: Duration = Duration::from_secs(8);
/// The whole of the budget for each node, and what all want of it: idle, and pressed.
const WHOLE_EACH: u32 = 4;
const IDLE: f64 = 0.25;
const PRESS: f64 = 3.0;

/// How a run is made.
pub struct Options {
    /// All nodes, and those of them that are processes of the program.
    pub nodes: usize,
    /// See `nodes`.
    pub real: usize,
    /// How many of them the operator's file names; all if it is not said.
    pub expected: Option<usize>,
    /// What is measured, in seconds.
    pub seconds: f64,
    /// How long it may take until all take part.
    pub settle: f64,
    /// The part of datagrams that is lost, and of streams' parts that come later.
    pub loss: f64,
    /// What is drawn is drawn from this.
    pub seed: u64,
    /// The program, and this one, which holds the hollow nodes.
    pub program: String,
    /// See `program`.
    pub own: PathBuf,
    /// Set to end early.
    pub stop: Arc<AtomicBool>,
    /// Called now and then with what is done.
    pub progress: Box<dyn Fn(&str)>,
}

impl Options {
    fn check(&self) -> Result<(), String> {
        if !(4..=1_000).contains(&self.nodes) {
            return Err(format!(
                "--nodes: {} is not in 4 to 1000, the largest fleet of today",
                self.nodes
            ));
        }
        if !(2..=self.nodes.min(50)).contains(&self.real) {
            return Err(format!(
                "--real: {} is not in 2 to {}",
                self.real,
                self.nodes.min(50)
            ));
        }
        if let Some(expected) = self
            .expected
            .filter(|expected| !(3..=self.nodes).contains(expected))
        {
            return Err(format!(
                "--expected: {expected} is not in 3 to {}",
                self.nodes
            ));
        }
        for (name, value, most) in [
            ("--seconds", self.seconds, 600.0),
            ("--settle", self.settle, 900.0),
        ] {
            if !(1.0..=most).contains(&value) {
                return Err(format!("{name}: {value} is not in 1 to {most}"));
            }
        }
        if !(0.0..=0.9).contains(&self.loss) {
            return Err(format!("--loss: {} is not in 0 to 0.9", self.loss));
        }
        // All expected nodes found the council with a vote each, and link each with each; a door has two ends of a link.
        let expected = self.expected.unwrap_or(self.nodes);
        let needed = expected * (expected - 1) + 4 * self.nodes + SPARE;
        if let Some(most) = descriptors().filter(|most| *most < needed) {
            return Err(format!(
                "--nodes: {} with {expected} of them in the file take {needed} descriptors, {most} are the limit (ulimit -n)",
                self.nodes
            ));
        }
        if !PathBuf::from(&self.program).is_file() {
            return Err(format!(
                "--program: {:?} is no file: build it first",
                self.program
            ));
        }
        Ok(())
    }
}

/// Descriptors that this process may hold.
fn descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A process with hollow nodes.
struct Host {
    child: Child,
    first: usize,
    count: usize,
}

impl Host {
    fn start(
        options: &Options,
        place: &Place,
        first: usize,
        ledger: &Arc<Mutex<Ledger>>,
    ) -> Result<Host, String> {
        let count = IN_ONE.min(place.all() - first);
        let numbers = [first, count, place.real, place.hollow, place.expected];
        let numbers = numbers.iter().map(ToString::to_string);
        let more = [
            place.block.0.to_string(),
            place.block.1.to_string(),
            place.whole.to_string(),
        ];
        let mut command = Command::new(&options.own);
        command
            .arg("host")
            .args(numbers)
            .args(more)
            .arg(options.seed.to_string());
        let spawned = command
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = spawned.map_err(|error| format!("{}: {error}", options.own.display()))?;
        let from = child.stdout.take().ok_or("a host has no output")?;
        let (ledger, name) = (
            Arc::clone(ledger),
            format!(
                "the process of {} and {} after it",
                place.name(first),
                count - 1
            ),
        );
        thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                match serde_json::from_str::<Line>(&line) {
                    Ok(line) => locked(&ledger).take(line),
                    Err(error) => locked(&ledger)
                        .ended
                        .push(format!("{name} said {line:?}: {error}")),
                }
            }
            locked(&ledger).ended.push(format!("{name} has ended"));
        });
        Ok(Host {
            child,
            first,
            count,
        })
    }

    fn say(&mut self, line: &str) -> Result<(), String> {
        let to = self.child.stdin.as_mut().ok_or("a host has no input")?;
        writeln!(to, "{line}")
            .map_err(|error| format!("hollow nodes from {} on: {error}", self.first))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Says one line at the second address of a real node, and gives the answer behind `done `.
fn call(at: SocketAddr, line: &str) -> Result<String, String> {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
        stream.set_read_timeout(Some(ANSWER))?;
        stream.write_all(format!("{line}\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = ask().map_err(|error| format!("{at}: {error}"))?;
    let told = answer
        .trim_end()
        .strip_prefix("done")
        .map(|told| told.trim_start().to_string());
    told.ok_or_else(|| format!("{at}: {}", answer.trim_end()))
}

/// All that a run holds.
struct Run<'a> {
    options: &'a Options,
    place: Place,
    real: Vec<NodeProcess>,
    hosts: Vec<Host>,
    ledger: Arc<Mutex<Ledger>>,
    counts: Arc<Counts>,
    watched: String,
    folder: PathBuf,
    doors: Option<(Arc<AtomicBool>, thread::JoinHandle<()>)>,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.hosts.clear();
        self.real.iter_mut().for_each(NodeProcess::kill);
        if let Some((stop, thread)) = self.doors.take() {
            stop.store(true, Relaxed);
            let _ = thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Run<'_> {
    fn going(&mut self) -> Result<(), String> {
        if self.options.stop.load(Relaxed) {
            return Err("it was stopped".into());
        }
        for node in &mut self.real {
            if let Some(code) = node.poll_exit() {
                let log = std::fs::read_to_string(node.log_path()).unwrap_or_default();
                let last: Vec<&str> = log.lines().rev().take(3).collect();
                return Err(format!(
                    "{} has ended: {code}: {}",
                    node.name(),
                    last.join(" / ")
                ));
            }
        }
        match locked(&self.ledger).ended.first() {
            Some(why) => Err(why.clone()),
            None => Ok(()),
        }
    }

    /// Asks the real nodes how they stand, as the hollow ones say by themselves.
    fn ask(&mut self) {
        for number in 0..self.real.len() {
            if !self.real[number].is_running() {
                continue;
            }
            let Ok(told) = call(self.real[number].admin_address(), "fleet status") else {
                continue;
            };
            let Ok(told) = serde_json::from_str::<Value>(&told) else {
                continue;
            };
            let council = &told["council"];
            let parts = || council["parts"].as_array().into_iter().flatten();
            let is = |part: &&Value, name: &str| part["member"]["name"].as_str() == Some(name);
            let votes = parts().find(|part| is(part, self.real[number].name()));
            let watched = parts().find(|part| is(part, &self.watched));
            let line = Line {
                node: number,
                at_us: unix_us(),
                epoch: council["epoch"].as_u64().unwrap_or(0),
                whole: council["whole"].as_u64().unwrap_or(0) as u32,
                led: council["leader"].is_string(),
                votes: votes.is_some_and(|part| part["role"] != "learner"),
                alive: told["alive"].as_u64().unwrap_or(0) as usize,
                watched_lives: self.watched.is_empty()
                    || watched.is_some_and(|part| part["alive"] == true),
                ..Line::default()
            };
            locked(&self.ledger).take(line);
        }
    }

    /// Waits until something has come about, or `for_at_most` is over; whether it has.
    fn wait(
        &mut self,
        for_at_most: Duration,
        what: &str,
        asks: Duration,
        mut done: impl FnMut(&Ledger) -> Result<(), String>,
    ) -> Result<Result<(), String>, String> {
        let (began, mut asked) = (Instant::now(), None::<Instant>);
        loop {
            self.going()?;
            if asked.is_none_or(|at| at.elapsed() >= asks) {
                self.ask();
                asked = Some(Instant::now());
            }
            let missing = match done(&locked(&self.ledger)) {
                Ok(()) => return Ok(Ok(())),
                Err(missing) => missing,
            };
            (self.options.progress)(&format!("{what}: {missing}"));
            if began.elapsed() >= for_at_most {
                return Ok(Err(missing));
            }
            thread::sleep(LOOK);
        }
    }

    fn say(&mut self, line: &str) -> Result<(), String> {
        self.hosts.iter_mut().try_for_each(|host| host.say(line))
    }

    /// What all nodes want of the budget together, as a part of the whole in a second.
    fn demand(&mut self, part: f64) -> Result<(), String> {
        let each = part * f64::from(self.place.whole) / self.place.hollow.max(1) as f64;
        self.say(&format!("demand {each}"))
    }

    fn readings(&self) -> Vec<Reading> {
        let hosts = self.hosts.iter().map(|host| {
            let each = resident_kb(host.child.id()).unwrap_or(0) / host.count as u64;
            (host.first..host.first + host.count, each)
        });
        let hosts: Vec<_> = hosts.collect();
        let ledger = locked(&self.ledger);
        let reading = |(number, counter): (usize, &doors::Counter)| {
            let (cpu_us, rss_kb) = if let Some(node) = self.real.get(number) {
                (
                    node.cpu_ms().unwrap_or(0) * 1000,
                    node.resident_kb().unwrap_or(0),
                )
            } else {
                let rss = hosts.iter().find(|(nodes, _)| nodes.contains(&number));
                let cpu = ledger.stand(number).map_or(0, |stand| stand.line.cpu_us);
                (cpu, rss.map_or(0, |(_, each)| *each))
            };
            Reading {
                bytes_out: counter.bytes_out.load(Relaxed),
                messages_out: counter.messages_out.load(Relaxed),
                bytes_in: counter.bytes_in.load(Relaxed),
                messages_in: counter.messages_in.load(Relaxed),
                cpu_us,
                rss_kb,
            }
        };
        self.counts.nodes.iter().enumerate().map(reading).collect()
    }

    /// Reads what all cost, once a second.
    fn measure(&mut self) -> Result<Vec<(f64, Vec<Reading>)>, String> {
        let began = Instant::now();
        let mut readings = vec![(0.0, self.readings())];
        let seconds = self.options.seconds;
        for second in 1..=seconds.round() as u32 {
            let at = began + Duration::from_secs(u64::from(second));
            while Instant::now() < at {
                self.going()?;
                thread::sleep(LOOK.min(at.saturating_duration_since(Instant::now())));
            }
            (self.options.progress)(&format!("measures: {second} of {seconds} s"));
            readings.push((began.elapsed().as_secs_f64(), self.readings()));
        }
        Ok(readings)
    }

    /// Leader and voters, as the real nodes say.
    fn votes(&self) -> Result<(String, Vec<String>), String> {
        let told = call(self.real[0].admin_address(), "fleet status")?;
        let told: Value = serde_json::from_str(&told).map_err(|error| error.to_string())?;
        let parts = told["council"]["parts"].as_array().into_iter().flatten();
        let voters = parts
            .filter(|part| part["role"] != "learner")
            .filter_map(|part| part["member"]["name"].as_str());
        let voters = voters.map(str::to_string).collect();
        Ok((
            told["council"]["leader"]
                .as_str()
                .unwrap_or("none")
                .to_string(),
            voters,
        ))
    }

    fn change(&mut self, whole: u32, held: &mut Held) -> Result<(), String> {
        locked(&self.ledger).await_anew(Awaited::Whole(whole));
        let since = unix_us();
        call(
            self.real[0].admin_address(),
            &format!("budgets set cold={whole}"),
        )?;
        self.hold("a change", since, held)
    }

    fn hold(&mut self, what: &str, since: u64, held: &mut Held) -> Result<(), String> {
        let done = |ledger: &Ledger| match ledger.held_after(since).1.len() {
            0 => Ok(()),
            missing => Err(format!("{missing} nodes do not hold it")),
        };
        // Whether all hold it is told by the figures.
        let _ = self.wait(PATIENCE, what, ASK, done)?;
        let (after, missing) = locked(&self.ledger).held_after(since);
        held.add(&after, missing.len());
        Ok(())
    }
}

fn begin(options: &Options, place: Place) -> Result<Run<'_>, String> {
    let named = |error: std::io::Error| error.to_string();
    let (high, low) = place.block;
    let folder = std::env::temp_dir().join(format!(
        "lupincrank-scale-{}-{high}-{low}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).map_err(named)?;
    let counts = Arc::new(Counts::new(place.all()));
    let mut run = Run {
        options,
        real: Vec::new(),
        hosts: Vec::new(),
        ledger: Arc::default(),
        counts: Arc::clone(&counts),
        watched: String::new(),
        folder: folder.clone(),
        doors: None,
        place: place.clone(),
    };
    let (stop, (tell, opened)) = (Arc::new(AtomicBool::new(false)), mpsc::channel());
    let way = LinkCondition {
        loss_ratio: options.loss,
        ..LinkCondition::default()
    };
    let (of, seed, ends, ledger) = (
        place.clone(),
        options.seed,
        Arc::clone(&stop),
        Arc::clone(&run.ledger),
    );
    let doors = thread::spawn(move || {
        let tell =
            |all: std::io::Result<()>| drop(tell.send(all.map_err(|error| error.to_string())));
        if let Err(error) = doors::serve(&of, way, seed, counts, ends, tell) {
            locked(&ledger).ended.push(format!("the doors: {error}"));
        }
    });
    run.doors = Some((stop, doors));
    opened
        .recv()
        .map_err(|_| "the doors did not open".to_string())??;
    for number in 0..place.real {
        let at = folder.join(place.name(number));
        let program = vec![options.program.clone()];
        let mut node = NodeProcess::new(NodeIdentity {
            name: place.name(number),
            zone: place.zone(number),
            program,
            ip: place.ip(number),
            folder: at,
        });
        let config = place.config(number, options.seed)?;
        node.write_config(&config, Some(&place.operator(Some(number))))
            .map_err(named)?;
        node.start(false)
            .map_err(|error| format!("{}: {error}", options.program))?;
        run.real.push(node);
    }
    let mut first = place.real;
    while first < place.all() {
        let host = Host::start(options, &place, first, &run.ledger)?;
        first += host.count;
        run.hosts.push(host);
    }
    Ok(run)
}

/// The budget as its uses arrived, by the trials' judge.
fn check_budget(run: &Run, began: (Instant, u64)) -> Checker {
    let mut checker = Checker::new(began.0);
    checker.start_clock(began.0);
    let mut uses = locked(&run.ledger).uses.clone();
    uses.sort_unstable();
    for (at, used) in uses {
        let begun = began.0 + Duration::from_micros(at.saturating_sub(began.1));
        (0..used).for_each(|_| {
            checker.observe(
                begun,
                Observation::WarmingUpConnection {
                    server: 0,
                    dialed_at: begun,
                },
            );
        });
    }
    checker
}

/// Runs one; an error says why it could not be carried out.
pub fn run(options: &Options) -> Result<Outcome, String> {
    options.check()?;
    let reservation = BlockReservation::reserve().map_err(|error| error.to_string())?;
    let place = Place {
        real: options.real,
        hollow: options.nodes - options.real,
        expected: options.expected.unwrap_or(options.nodes),
        block: (reservation.block().high, reservation.block().low),
        whole: WHOLE_EACH * options.nodes as u32,
    };
    let mut run = begin(options, place.clone())?;
    let (began, all) = ((Instant::now(), unix_us()), place.all());
    let settle = Duration::from_secs_f64(options.settle);
    let missing = |ledger: &Ledger| {
        let missing = ledger.unsettled(all);
        match missing.first() {
            None => Ok(()),
            Some(first) => {
                let how = ledger.stand(*first).map(|stand| stand.line.clone());
                let how = how.map_or("says nothing".to_string(), |line| {
                    format!(
                        "led {}, whole {}, counts {} of {all}",
                        line.led, line.whole, line.alive
                    )
                });
                Err(format!(
                    "{} of {all} nodes do not take part yet, first {}: {how}",
                    missing.len(),
                    place.name(*first)
                ))
            }
        }
    };
    let settled = run.wait(settle, "nodes get ready", ASK * 5, missing)?;
    settled.map_err(|why| format!("not settled after {} s: {why}", options.settle))?;
    let settle_s = began.0.elapsed().as_secs_f64();
    run.demand(IDLE)?;
    // All expected nodes found it with a vote each, and leave it one by one.
    let few = |ledger: &Ledger| {
        let votes = ledger
            .stands()
            .filter(|(_, stand)| stand.line.votes)
            .count();
        if votes <= 5 {
            Ok(())
        } else {
            Err(format!("{votes} nodes vote"))
        }
    };
    let left = settle
        .saturating_sub(began.0.elapsed())
        .max(Duration::from_secs(1));
    let voted = run.wait(left, "votes go down", ASK * 5, few)?;
    voted.map_err(|why| format!("not settled after {} s: {why}", options.settle))?;
    let votes_s = began.0.elapsed().as_secs_f64();
    let readings = run.measure()?;
    let (leader, voters) = run.votes()?;
    let numbers = |is: &dyn Fn(usize, &str) -> bool| -> Vec<usize> {
        (0..all)
            .filter(|node| is(*node, &place.name(*node)))
            .collect()
    };
    let votes = |name: &str| voters.iter().any(|voter| voter == name);
    let mut roles: BTreeMap<&'static str, Role> = BTreeMap::new();
    for (name, nodes) in [
        ("leader", numbers(&|_, name| name == leader)),
        ("control", numbers(&|_, name| votes(name))),
        ("seed", numbers(&|node, name| node < SEEDS && !votes(name))),
        (
            "node",
            numbers(&|node, name| (SEEDS..place.real).contains(&node) && !votes(name)),
        ),
        (
            "hollow-node",
            numbers(&|node, name| node >= place.real.max(SEEDS) && !votes(name)),
        ),
    ] {
        roles.insert(name, role(&readings, &nodes));
    }
    let mut change_ms = Held::default();
    for change in 1..=CHANGES {
        // There and back, so that the budget is whole again at the end.
        let whole = place.whole + if change == CHANGES { 0 } else { change };
        run.change(whole, &mut change_ms)?;
    }
    let from = unix_us();
    run.demand(PRESS)?;
    let over = Instant::now() + PRESSED;
    while Instant::now() < over {
        run.going()?;
        (options.progress)("the budget is pressed");
        thread::sleep(LOOK);
    }
    run.demand(0.0)?;
    let pressed = (from, unix_us());
    let mut death_ms = Held::default();
    // The last real one that does not vote, or the last one.
    let victim = (1..place.real)
        .rev()
        .find(|node| !votes(&place.name(*node)) && place.name(*node) != leader);
    if let Some(victim) = victim {
        run.watched = place.name(victim);
        let watch = format!("watch {}", run.watched);
        run.say(&watch)?;
        locked(&run.ledger).await_anew(Awaited::Death);
        locked(&run.ledger).forget(victim);
        let since = unix_us();
        run.real[victim].kill();
        run.hold("a death", since, &mut death_ms)?;
    }
    let mut checker = check_budget(&run, began);
    let second = |at: u64| at.saturating_sub(began.1) as f64 / 1e6;
    let budget = checker.warm_up_budget(
        place.whole + CHANGES,
        &[TimeSpan {
            from_s: second(pressed.0) + 3.0,
            to_s: second(pressed.1),
        }],
    );
    let broken = checker
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.rule, violation.description))
        .collect();
    let (lost, unknown) = (
        run.counts.lost.load(Relaxed),
        run.counts.unknown.load(Relaxed),
    );
    drop(run);
    drop(reservation);
    Ok(Outcome {
        nodes: all,
        real: place.real,
        expected: place.expected,
        seed: options.seed,
        loss: options.loss,
        seconds: options.seconds,
        version: env!("CARGO_PKG_VERSION"),
        settle_s,
        votes_s,
        voters,
        leader,
        roles,
        change_ms,
        death_ms,
        budgets: vec![budget],
        broken,
        lost,
        unknown,
    })
}
