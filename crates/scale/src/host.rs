//! A process that holds hollow nodes, each in a thread of its own. What the run wants comes in on its standard input, line by
//! line; how the nodes stand goes out on its standard output. It ends with its input, so that none outlives the run.

use crate::place::Place;
use lupincrank_node::hollow::{self, BudgetUsage, ClusterStatus, Observer};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io::{self, BufRead, Write};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a hollow node is looked at, and how often it says how it stands when nothing has changed.
const LOOK: Duration = Duration::from_millis(100);
const SAYS: Duration = Duration::from_secs(1);
const STACK: usize = 1 << 20;

/// How one hollow node stands, as a line of JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its number among all.
    pub node: usize,
    /// Unix time in microseconds.
    pub at_us: u64,
    /// What it knows: see `hollow::ClusterStatus`.
    pub epoch: u64,
    /// See `epoch`.
    pub whole: u32,
    /// See `epoch`.
    pub led: bool,
    /// See `epoch`.
    pub votes: bool,
    /// See `epoch`.
    pub alive: usize,
    /// The node that is watched for lives as far as this one knows.
    pub watched_lives: bool,
    /// What it used of the budget since its last line.
    pub used: u32,
    /// Processor time of its thread so far, in microseconds.
    pub cpu_us: u64,
}

/// What the run wants of all hollow nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wanted {
    /// Uses of the budget in a second that each node has occasion for.
    pub demand: f64,
    /// The name of the node that is watched for.
    pub watched: String,
}

impl Wanted {
    /// Takes one line: `demand 0.5` or `watch NAME`.
    pub fn take(&mut self, line: &str) -> Result<(), String> {
        match line.split_once(' ') {
            Some(("demand", demand)) => {
                self.demand = demand
                    .parse()
                    .map_err(|_| format!("{demand:?} is no demand"))?;
            }
            Some(("watch", name)) => self.watched = name.to_string(),
            _ => return Err(format!("{line:?} is neither demand nor watch")),
        }
        Ok(())
    }
}

/// Uses what a hollow node may use, as the data path would, and says how it stands.
pub struct Spender {
    node: usize,
    wanted: Arc<RwLock<Wanted>>,
    random: Pcg64Mcg,
    /// When what still counts was used, and occasions that are not whole yet.
    uses: VecDeque<Instant>,
    occasions: f64,
    looked: Instant,
    said: Option<(Instant, Line)>,
}

impl Spender {
    /// For this node.
    pub fn new(node: usize, seed: u64, wanted: Arc<RwLock<Wanted>>) -> Spender {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 32 | node as u128 | 1 << 100);
        let occasions = random.random::<f64>();
        Spender {
            node,
            wanted,
            random,
            uses: VecDeque::new(),
            occasions,
            looked: Instant::now(),
            said: None,
        }
    }

    /// Uses what it may; how much, the most that counts now, and whether something was turned away.
    pub fn spend(
        &mut self,
        now: Instant,
        demand: f64,
        limit: u32,
        window: Duration,
    ) -> (u32, u32, bool) {
        while self
            .uses
            .front()
            .is_some_and(|at| now.duration_since(*at) >= window)
        {
            self.uses.pop_front();
        }
        let spread = 0.5 + self.random.random::<f64>();
        self.occasions += demand * now.duration_since(self.looked).as_secs_f64() * spread;
        self.looked = now;
        let occasions = self.occasions as usize;
        self.occasions -= occasions as f64;
        let may = (limit as usize).saturating_sub(self.uses.len());
        let used = occasions.min(may);
        self.uses.extend(std::iter::repeat_n(now, used));
        (used as u32, self.uses.len() as u32, occasions > may)
    }
}

impl Observer for Spender {
    fn interval(&self) -> Duration {
        LOOK
    }

    fn observe(
        &mut self,
        status: &ClusterStatus,
        window: Duration,
        is_alive: &dyn Fn(&str) -> bool,
    ) -> BudgetUsage {
        let now = Instant::now();
        let (demand, watched_lives) = {
            let wanted = self
                .wanted
                .read()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            (
                wanted.demand,
                wanted.watched.is_empty() || is_alive(&wanted.watched),
            )
        };
        let (used, most, turned_away) = self.spend(now, demand, status.lease_limit, window);
        let cpu = clock_gettime(ClockId::ThreadCPUTime);
        let line = Line {
            node: self.node,
            at_us: unix_us(),
            epoch: status.epoch,
            whole: status.capacity,
            led: status.has_leader,
            votes: status.is_voter,
            alive: status.alive_count,
            watched_lives,
            used,
            cpu_us: cpu.tv_sec as u64 * 1_000_000 + cpu.tv_nsec as u64 / 1000,
        };
        let still = |(at, said): &(Instant, Line)| {
            let facts = |line: &Line| {
                (
                    line.whole,
                    line.led,
                    line.votes,
                    line.alive,
                    line.watched_lives,
                )
            };
            used == 0 && now.duration_since(*at) < SAYS && facts(said) == facts(&line)
        };
        if !self.said.as_ref().is_some_and(still) {
            if let Ok(text) = serde_json::to_string(&line) {
                // Without the run this process ends by its input.
                let _ = writeln!(io::stdout().lock(), "{text}");
            }
            self.said = Some((now, line));
        }
        BudgetUsage {
            peak: most,
            was_limited: turned_away,
        }
    }
}

/// Now, as Unix time in microseconds.
pub fn unix_us() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Holds `count` hollow nodes from `first` on, until its input ends.
pub fn serve(place: &Place, first: usize, count: usize, seed: u64) -> Result<(), String> {
    let wanted = Arc::new(RwLock::new(Wanted::default()));
    let operator = Arc::new(place.operator(None));
    for node in first..first + count {
        let spender = Spender::new(node, seed, Arc::clone(&wanted));
        let (place, operator) = (place.clone(), Arc::clone(&operator));
        let (config, name) = (place.config(node, seed)?.to_string(), place.name(node));
        let begin = move || {
            let variable = |name: &str| place.variable(node, name);
            let ran = hollow::start(&config, &operator, variable, Box::new(spender))
                .map_err(|error| error.to_string())
                .and_then(|run| run().map_err(|error| error.to_string()));
            if let Err(why) = ran {
                eprintln!("lupincrank-scale: {}: {why}", place.name(node));
                std::process::exit(2);
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.clone())
            .stack_size(STACK);
        thread
            .spawn(begin)
            .map_err(|error| format!("{name}: {error}"))?;
    }
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|error| error.to_string())?;
        wanted
            .write()
            .map_err(|_| "a node has panicked".to_string())?
            .take(&line)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
