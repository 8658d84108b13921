//! What a trial keeps beside the objects of its loop: stand-ins, links, nodes, the judge, and the time line.

use crate::judge::Judge;
use crate::links::{Links, Party};
use crate::plan::Plan;
use crate::processes::{Node, State};
use crate::scenario::Scenario;
use crate::{call, faults};
use lupincrank_reactor::{Hands, Id, World, WORLD};
use lupincrank_standins::client::{self, Manners, Next, Visit};
use lupincrank_standins::discovery::List;
use lupincrank_standins::seen::Seen;
use lupincrank_standins::transcriber::Fleet;
use lupincrank_standins::Note;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Deadlines of the trial's own.
pub const VISITS: u64 = 0;
/// See `VISITS`.
pub const FAULTS: u64 = 1;
const POLL: u64 = 2;
/// How often nodes are asked how they are.
const EVERY: Duration = Duration::from_millis(200);
/// How long nodes may take to be ready, and the council for its first slices, before the trial gives up.
const READY: Duration = Duration::from_secs(60);
/// After the last client a trial goes on for this long at the most, for what must hold at the end.
const SETTLES: Duration = Duration::from_secs(25);
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
    pub doors: BTreeMap<(Party, Party), Id>,
    pub pipes: BTreeMap<Id, (Party, Party)>,
    pub sent: HashMap<SocketAddr, Instant>,
    pub nodes: Vec<Node>,
    pub judge: Judge,
    pub random: Pcg64Mcg,
    pub phase: Phase,
    pub events: Vec<Event>,
    /// What is still to come of the faults: when, and what.
    pub later: Vec<(Instant, faults::Step)>,
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
    visits: BTreeMap<(Instant, u64), Visit>,
    planned: usize,
    /// Visits were planned since the deadline was set.
    woken: bool,
    requests: u64,
    /// Visits that came, or came back, and those of them that were up in time, by the second in which they were due.
    pub service: BTreeMap<u64, (u32, u32)>,
    pub progress: Box<dyn Fn(&Stage)>,
    failed: Option<String>,
    asked: Option<Instant>,
    began: Instant,
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
        self.events.push(Event { at: Instant::now(), what, wall: SystemTime::now(), fault });
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
            if let Some(leader) =
                node.status.as_ref().and_then(|(_, told)| told["council"]["leader"].as_str())
            {
                *votes.entry(leader).or_default() += 1;
            }
        }
        let most = votes.into_iter().max_by_key(|(_, votes)| *votes)?.0;
        self.nodes.iter().position(|node| node.name == most && node.state == State::Runs)
    }

    /// Whether all living nodes name one leader, count each other, and the slices take enough of the whole; or what is
    /// missing.
    pub fn settled(&self, council: bool, taken: f64) -> Result<(), String> {
        if !self.scenario.talk {
            return Ok(());
        }
        let living: Vec<&Node> = self.nodes.iter().filter(|node| node.state == State::Runs).collect();
        let mut leaders = Vec::new();
        for node in &living {
            let Some((_, told)) = &node.status else { return Err(format!("{} says nothing", node.name)) };
            let status = &told["council"];
            leaders.push(status["leader"].as_str().unwrap_or("none"));
            let alive = told["alive"].as_u64().unwrap_or(0) as usize;
            if council && alive != living.len() {
                return Err(format!("{} counts {alive} living nodes of {}", node.name, living.len()));
            }
            let (sum, whole) =
                (status["sum"].as_f64().unwrap_or(0.0), status["whole"].as_f64().unwrap_or(0.0));
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
    fn plan_visit(&mut self, at: Instant, visit: Visit) {
        self.visits.insert((at, visit.number), visit);
        self.woken = true;
    }

    fn due_in(&mut self, due: Instant, up: bool) {
        let second = self.judge.seconds(due) as u64;
        let counts = self.service.entry(second).or_default();
        if up {
            counts.1 += 1;
        } else {
            counts.0 += 1;
        }
    }
}

/// Sends the clients whose moment has come to nodes that the front has.
fn visits(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    if hands.phase == Phase::Runs {
        while let Some(planned) = hands.plan.visits.get(hands.planned).copied() {
            let at = hands.start + Duration::from_secs_f64(planned.at_s);
            if at > now {
                break;
            }
            hands.planned += 1;
            let number = hands.planned as u64;
            let stands = Duration::from_secs_f64(planned.stands_s);
            let group = planned.group;
            let visit =
                Visit { number, planned: at, since: at, group, stands, tries: 0, again: false, request: 0 };
            hands.due_in(at, false);
            hands.plan_visit(now, visit);
        }
        let over = hands.start + Duration::from_secs_f64(*hands.scenario.seconds.get_ref());
        if now >= over && hands.planned == hands.plan.visits.len() {
            hands.phase = Phase::Settles;
            hands.event("the last client has come".into(), false);
        }
    }
    while let Some(first) = hands.visits.first_entry().filter(|first| first.key().0 <= now) {
        let mut visit = first.remove();
        let front: Vec<usize> = (0..hands.nodes.len()).filter(|node| hands.nodes[*node].in_front).collect();
        let pause = now + Duration::from_millis(100);
        if front.is_empty() {
            hands.plan_visit(pause, visit);
            continue;
        }
        // The plan's own choice for the first try, another for each one after it.
        let drawn = hands.plan.visits.get(visit.number as usize - 1).map_or(0, |planned| planned.front);
        hands.requests += 1;
        let drawn = drawn.wrapping_add(u64::from(visit.tries)).wrapping_add(u64::from(visit.again) * 7);
        let node = front[(drawn % front.len() as u64) as usize];
        visit.request = (hands.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32) ^ hands.requests;
        let at = hands.nodes[node].listen();
        if !client::ask(hands, visit.clone(), node, at) {
            hands.plan_visit(pause, visit);
        }
    }
    wait(hands);
}

/// Sets the deadline of the next visit.
fn wait(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    let next = hands.visits.keys().next().map(|(at, _)| *at);
    let planned =
        hands.plan.visits.get(hands.planned).map(|visit| hands.start + Duration::from_secs_f64(visit.at_s));
    let planned = planned.filter(|_| hands.phase == Phase::Runs);
    let over = hands.start + Duration::from_secs_f64(*hands.scenario.seconds.get_ref());
    let over = Some(over).filter(|_| hands.phase == Phase::Runs);
    if let Some(next) = [next, planned, over].into_iter().flatten().min() {
        hands.deadlines.set(WORLD, VISITS, next.max(now + Duration::from_millis(1)));
    }
}

/// Looks how the nodes are, and whether the trial goes on to its next phase.
fn poll(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    if hands.stop.load(Ordering::Relaxed) {
        hands.fails("it was stopped".into());
    }
    for node in 0..hands.nodes.len() {
        let (before, name) = (hands.nodes[node].state, hands.nodes[node].name.clone());
        if let Some(code) = hands.nodes[node].ended() {
            hands.judge.absent(node, now, true);
            hands.event(format!("{name} has ended: {code}"), false);
            if before != State::Ends || !code.contains("exit status: 0") {
                hands.judge.breaks("crash", now, format!("{name} ended by itself: {code}"));
            }
        }
        if matches!(hands.nodes[node].state, State::Runs | State::Ends | State::Frozen) {
            call::ping(hands, node);
            if hands.scenario.talk && hands.nodes[node].state != State::Frozen {
                call::status(hands, node);
            }
        }
    }
    let talks = hands.scenario.talk && hands.scenario.settled;
    match hands.phase {
        Phase::Starts => {
            let ready = hands.nodes.iter().all(|node| node.in_front);
            let share = if hands.scenario.cold.is_some() { 0.9 } else { 0.0 };
            let missing = if talks { hands.settled(true, share) } else { Ok(()) };
            if ready && missing.is_ok() {
                hands.start = now;
                hands.judge.starts(now);
                hands.phase = Phase::Runs;
                hands.event("the first client comes".into(), false);
                visits(hands);
                faults::schedule(hands);
            } else if now.duration_since(hands.began) > READY {
                let why = missing.err().unwrap_or_else(|| "not all nodes answer PONG".into());
                hands.fails(format!("not ready after {READY:?}: {why}"));
            }
        }
        Phase::Settles => {
            let hold = hands.scenario.hold.clone();
            let asked = *hands.asked.get_or_insert(now);
            // What is under way has its time to end first.
            let waits = now.duration_since(asked) < hands.manners.wait + Duration::from_secs(1);
            let missing = hands.settled(hold.council, hold.taken);
            if !waits && hands.later.is_empty() {
                match missing {
                    Ok(()) => hands.phase = Phase::Over,
                    Err(why) if now.duration_since(asked) > SETTLES => {
                        hands.judge.breaks("hold", now, format!("after {SETTLES:?}: {why}"));
                        hands.phase = Phase::Over;
                    }
                    Err(_) => {}
                }
            }
        }
        Phase::Runs | Phase::Over => {}
    }
    (hands.world.progress)(&hands.world);
    hands.deadlines.set(WORLD, POLL, now + EVERY);
}

/// Begins to look at the nodes.
pub fn begin(hands: &mut Hands<Stage>) {
    hands.deadlines.set(WORLD, POLL, Instant::now());
}

impl World for Stage {
    type Message = Note;

    fn settle(hands: &mut Hands<Stage>, _objects: &mut dyn Iterator<Item = Id>) {
        if std::mem::take(&mut hands.woken) {
            wait(hands);
        }
    }

    fn due(hands: &mut Hands<Stage>, purpose: u64) {
        match purpose {
            VISITS => visits(hands),
            FAULTS => faults::due(hands),
            _ => poll(hands),
        }
    }

    fn over(&self) -> bool {
        self.phase == Phase::Over
    }

    fn unheard(&mut self, _id: Id, _message: Note) {}
}

impl lupincrank_standins::Stage for Stage {
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
        if let Seen::Fell { transcriber, held, .. } = &seen {
            self.event(format!("t{transcriber} fell with {held} connections"), false);
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
