//! What a trial keeps beside the objects of its loop: stand-ins, links, nodes, the judge, and the time line.

use crate::judge::Judge;
use crate::links::{Links, Party};
use crate::plan::Plan;
use crate::processes::{Node, State};
use crate::scenario::Scenario;
use crate::step::Step;
use lupincrank_reactor::ComponentId;
use lupincrank_test_servers::client::{Manners, Next, Visit};
use lupincrank_test_servers::discovery::List;
use lupincrank_test_servers::seen::Seen;
use lupincrank_test_servers::transcriber::Fleet;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Deadlines of the trial's own.
pub const VISITS: u64 = 0;
/// See `VISITS`.
pub const FAULTS: u64 = 1;
/// A visit is served well if it is up so long after its plan, or after it came back.
pub const IN_TIME: Duration = Duration::from_secs(3);

/// Where a trial is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nodes get ready.
    Starts,
    /// Clients come.
    Runs,
    /// What must hold at the end is awaited.
    Settles,
    /// Over.
    Over,
}

/// Something that the trial did, or saw, for the merged time line.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Instant,
    /// What.
    pub what: String,
    /// When, as the nodes' logs write the time.
    pub wall: SystemTime,
    /// It is a fault.
    pub fault: bool,
}

/// See the module.
pub struct Stage {
    pub scenario: Scenario,
    pub plan: Plan,
    pub manners: Manners,
    pub fleet: Fleet,
    pub list: List,
    pub links: Links,
    pub doors: BTreeMap<(Party, Party), ComponentId>,
    pub pipes: BTreeMap<ComponentId, (Party, Party)>,
    pub sent: HashMap<SocketAddr, Instant>,
    /// The councils that nodes have named.
    pub councils: BTreeSet<String>,
    pub nodes: Vec<Node>,
    pub judge: Judge,
    pub random: Pcg64Mcg,
    pub phase: Phase,
    pub events: Vec<Event>,
    /// What is still to come of the faults: when, and what.
    pub later: Vec<(Instant, Step)>,
    /// The first client comes then.
    pub start: Instant,
    pub stop: Arc<AtomicBool>,
    pub folder: PathBuf,
    pub block: (u8, u8),
    pub verbose: bool,
    pub program: Vec<String>,
    /// Where one node reaches another, and what each is told at its start.
    pub ways: BTreeMap<(Party, Party), SocketAddr>,
    /// See `ways`.
    pub configs: BTreeMap<usize, serde_json::Value>,
    /// Visits to come, by their moment.
    pub visits: BTreeMap<(Instant, u64), Visit>,
    pub planned: usize,
    /// Visits were planned since the deadline was set.
    pub woken: bool,
    pub requests: u64,
    /// Visits that came, or came back, and those of them that were up in time, by the second in which they were due.
    pub service: BTreeMap<u64, (u32, u32)>,
    pub progress: Box<dyn Fn(&Stage)>,
    failed: Option<String>,
    pub asked: Option<Instant>,
    pub began: Instant,
}

/// What a stage begins with.
pub struct Setting {
    pub scenario: Scenario,
    pub plan: Plan,
    pub manners: Manners,
    pub fleet: Fleet,
    pub random: Pcg64Mcg,
    pub stop: Arc<AtomicBool>,
    pub folder: PathBuf,
    pub block: (u8, u8),
    pub verbose: bool,
    pub program: Vec<String>,
    pub progress: Box<dyn Fn(&Stage)>,
}

impl Stage {
    /// Nothing runs yet.
    pub fn new(setting: Setting) -> Stage {
        let Setting {
            scenario,
            plan,
            manners,
            fleet,
            random,
            stop,
            folder,
            block,
            verbose,
            program,
            progress,
        } = setting;
        let now = Instant::now();
        Stage {
            scenario,
            plan,
            manners,
            fleet,
            list: List::default(),
            links: Links::default(),
            doors: BTreeMap::new(),
            pipes: BTreeMap::new(),
            sent: HashMap::new(),
            councils: BTreeSet::new(),
            nodes: Vec::new(),
            judge: Judge::new(now),
            random,
            phase: Phase::Starts,
            events: Vec::new(),
            later: Vec::new(),
            start: now,
            stop,
            folder,
            block,
            verbose,
            program,
            ways: BTreeMap::new(),
            configs: BTreeMap::new(),
            visits: BTreeMap::new(),
            planned: 0,
            woken: false,
            requests: 0,
            service: BTreeMap::new(),
            progress,
            failed: None,
            asked: None,
            began: now,
        }
    }

    /// Writes something into the time line.
    pub fn event(&mut self, what: String, fault: bool) {
        self.events.push(Event {
            at: Instant::now(),
            what,
            wall: SystemTime::now(),
            fault,
        });
    }

    /// Why the trial could not be carried out, if it could not.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    /// The trial can't go on.
    pub fn fails(&mut self, why: String) {
        self.failed.get_or_insert(why);
        self.phase = Phase::Over;
    }

    /// The leader that most living nodes name.
    pub fn leader(&self) -> Option<usize> {
        let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.state == State::Runs) {
            if let Some(leader) = node
                .status
                .as_ref()
                .and_then(|(_, told)| told["council"]["leader"].as_str())
            {
                *votes.entry(leader).or_default() += 1;
            }
        }
        let most = votes.into_iter().max_by_key(|(_, votes)| *votes)?.0;
        self.nodes
            .iter()
            .rposition(|node| node.name == most && node.state == State::Runs)
    }

    /// Nodes that run and belong to the fleet: of two with one name the one that began later.
    fn living(&self) -> Vec<&Node> {
        let later = |number: usize, node: &Node| {
            self.nodes
                .iter()
                .skip(number + 1)
                .any(|other| other.name == node.name && other.state == State::Runs)
        };
        let nodes = self.nodes.iter().enumerate();
        let living = nodes.filter(|(number, node)| {
            node.state == State::Runs && !node.foreign && !later(*number, node)
        });
        living.map(|(_, node)| node).collect()
    }

    /// Whether all living nodes name one leader, count each other, and the slices take enough of the whole; or what is
    /// missing.
    pub fn settled(&self, council: bool, taken: f64) -> Result<(), String> {
        if !self.scenario.talk {
            return Ok(());
        }
        let living = self.living();
        let mut leaders = Vec::new();
        for node in &living {
            let Some((_, told)) = &node.status else {
                return Err(format!("{} says nothing", node.name));
            };
            let status = &told["council"];
            leaders.push(status["leader"].as_str().unwrap_or("none"));
            let alive = told["alive"].as_u64().unwrap_or(0) as usize;
            if council && alive != living.len() {
                return Err(format!(
                    "{} counts {alive} living nodes of {}",
                    node.name,
                    living.len()
                ));
            }
            let (sum, whole) = (
                status["sum"].as_f64().unwrap_or(0.0),
                status["whole"].as_f64().unwrap_or(0.0),
            );
            if sum > whole {
                return Err(format!("{} counts {sum} taken of {whole}", node.name));
            }
            if sum < whole * taken {
                return Err(format!("{} counts only {sum} taken of {whole}", node.name));
            }
        }
        leaders.sort_unstable();
        leaders.dedup();
        match leaders.as_slice() {
            _ if !council => Ok(()),
            [one] if *one != "none" => Ok(()),
            other => Err(format!("leaders are {}", other.join(", "))),
        }
    }

    /// Plans a visit for a moment.
    pub fn plan_visit(&mut self, at: Instant, visit: Visit) {
        self.visits.insert((at, visit.number), visit);
        self.woken = true;
    }

    pub fn due_in(&mut self, due: Instant, up: bool) {
        let second = self.judge.seconds(due) as u64;
        let counts = self.service.entry(second).or_default();
        if up {
            counts.1 += 1;
        } else {
            counts.0 += 1;
        }
    }
}

impl lupincrank_test_servers::Stage for Stage {
    fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    fn list(&mut self) -> &mut List {
        &mut self.list
    }

    fn manners(&self) -> &Manners {
        &self.manners
    }

    fn saw(&mut self, seen: Seen) {
        let now = Instant::now();
        if let Seen::Told { node, .. } = &seen {
            // What was written and is held back on its way was not told.
            if self.links.way(Party::Discovery, Party::Node(*node)) != Default::default() {
                return;
            }
        }
        if let Seen::Fell {
            transcriber, held, ..
        } = &seen
        {
            self.event(
                format!("t{transcriber} fell with {held} connections"),
                false,
            );
        }
        self.judge.saw(now, seen);
    }

    fn visit(&mut self, mut visit: Visit, next: Next) {
        let now = Instant::now();
        match next {
            Next::Up(took) => {
                if took <= IN_TIME {
                    self.due_in(visit.since, true);
                }
            }
            Next::Over => {}
            _ if self.phase == Phase::Over => {}
            Next::Again(after) => {
                visit.tries = visit.tries.saturating_add(1);
                self.plan_visit(now + after, visit);
            }
            Next::Back(after) => {
                if visit.stands < Duration::from_millis(200) {
                    return;
                }
                (visit.tries, visit.again, visit.since) = (0, true, now + after);
                self.due_in(now + after, false);
                self.plan_visit(now + after, visit);
            }
        }
    }

    fn sent_at(&self, from: SocketAddr) -> Option<Instant> {
        self.sent.get(&from).copied()
    }
}
