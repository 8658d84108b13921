//! The world: it plays what happens in the order of time and runs the real decisions, one for each node.
//!
//! Its parts: `clients` (who come, ask, hear and leave), `nodes` (the decisions and what a node observes), `servers`
//! (transcribers), `directory` (discovery) and `troubles`.

mod clients;
mod directory;
mod nodes;
mod servers;
mod troubles;

use crate::judge::{Judge, Line};
use crate::measure::{Ending, Measure, Outcome};
use crate::policy::{Name, Policy};
use crate::population::{jittered, stream, Population};
use crate::queue::{seconds, Happening, Life, Moment, Queue, SECOND};
use crate::scenario::Scenario;
use crate::transcriber::Transcriber;
use lupincrank_placement::{Action, Class, Endpoint, RetrySafety, ServerId, Settings};
use rand_pcg::Pcg32;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Makes the policy of a node from its settings and seed.
pub type Maker<'a> = dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a;

/// Fleets up to this size have the load of each transcriber in the time line.
const LINES_FOR: usize = 64;
/// Half a second: every transcriber's books are brought up to date at least so often.
const PULSE: Moment = SECOND / 2;
/// No place at a transcriber.
const NOWHERE: u32 = u32::MAX;
/// What the decisions' clock shows when the world begins: not zero, which they take for long ago.
const EPOCH: Moment = 1_000 * SECOND;

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has no connection and will come again.
    Away,
    /// Its request is with a node.
    Asks,
    /// Its connection stands.
    Stands,
}

/// A client: its wish for one connection, and the request that it has out.
struct Client {
    life: Life,
    /// Counts the times that this place had a connection up: what was scheduled for an earlier one is void.
    stood: Life,
    serial: u64,
    class: usize,
    zone: u32,
    group: Option<u32>,
    until: Moment,
    usual: f64,
    load: f64,
    random: Pcg32,
    phase: Phase,
    failures: u32,
    retries: u32,
    returned: bool,
    /// When its first try of this round runs out.
    deadline: Moment,
    request: u64,
    node: u32,
    node_life: Life,
    asked: Moment,
    /// Attempts of this request, the one that is out and when it was sent, and whether the answer was given.
    attempts: u32,
    out: Option<u32>,
    sent: Moment,
    answered: bool,
    /// Where its connection stands at the transcriber, `NOWHERE` while it does not.
    place: u32,
}

/// One balancer node.
struct Node {
    zone: u32,
    life: Life,
    alive: bool,
    listed_by_front: bool,
    policy: Box<dyn Policy>,
    watches: bool,
    /// How many of discovery's changes it has been told.
    heard: usize,
    /// Since when it knows that a transcriber leaves.
    leaving: Vec<Option<Moment>>,
    /// Starts of transcribers that it was told of.
    knows_start: Vec<Life>,
    /// How long its latest set-ups took.
    set_ups: VecDeque<Moment>,
}

/// Discovery.
struct Directory {
    known: Vec<Endpoint>,
    log: Vec<Endpoint>,
    busy_until: Moment,
    down: bool,
    stale: bool,
    held_back: Vec<(u32, Life, crate::queue::Change)>,
}

/// A scenario being played.
pub struct World<'a> {
    scenario: Scenario,
    settings: Settings,
    aims: Vec<f64>,
    seed: u64,
    now: Moment,
    end: Moment,
    events: u64,
    queue: Queue,
    population: Population,
    make: &'a Maker<'a>,
    arrivals: Pcg32,
    chance: Pcg32,
    net: Pcg32,
    serial: u64,
    requests: u64,
    clients: Vec<Client>,
    free: Vec<u32>,
    fleet: Vec<Transcriber>,
    index: HashMap<ServerId, u32>,
    /// The transcribers' hashes, as placement ranks them.
    hashes: Vec<u32>,
    nodes: Vec<Node>,
    directory: Directory,
    surge: Vec<f64>,
    /// The transcribers that a trouble took down, until they come back.
    lost: std::collections::BTreeMap<u32, Vec<u32>>,
    judge: Judge,
    measure: Measure,
    actions: Vec<Action>,
}

/// Plays a scenario with one of the policies by name.
pub fn play(scenario: &Scenario, seed: u64, name: Name) -> Outcome {
    let make = move |settings: Settings, seed: u64| name.make(settings, seed);
    play_with(
        scenario,
        seed,
        name.text(),
        name == Name::LeastLoaded,
        &make,
    )
}

/// Plays a scenario with any policy. The same scenario, seed and policy always give the same outcome.
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    upper_bound: bool,
    make: &Maker<'_>,
) -> Outcome {
    let mut world = World::new(scenario, seed, make);
    world.begin();
    while let Some((at, happening)) = world.queue.next(world.end) {
        world.now = at;
        world.events += 1;
        world.happens(happening);
    }
    world.now = world.end;
    for at in 0..world.fleet.len() as u32 {
        world.advance(at);
    }
    let ending = Ending {
        seed,
        policy: policy.to_string(),
        upper_bound,
        broken: std::mem::take(&mut world.judge.broken),
        times_broken: world.judge.times,
        events: world.events,
        peak_queue: world.queue.peak(),
    };
    world.measure.close(scenario, ending)
}

/// What a scenario tells its nodes.
pub fn settings(scenario: &Scenario) -> Settings {
    let span = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    let class = |class: &crate::scenario::Class| Class {
        setup_objective: span(class.aim_ms),
        message_objective: span(class.message_aim_ms),
        retry_safety: RetrySafety::Idempotent,
    };
    Settings {
        node_count: scenario.nodes.count,
        classes: scenario.class.iter().map(class).collect(),
        tenants: Vec::new(),
        max_attempts: scenario.nodes.attempts,
        gossip_allowed: false,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: true,
        drain_grace: span(scenario.rules.drain_grace_ms),
        slow_start_duration: Duration::from_secs_f64(scenario.rules.cold_s),
        initial_capacity_ratio: scenario.rules.start_capacity,
        overload_factor: scenario.rules.fall_multiple,
        overload_window: Duration::from_secs_f64(scenario.rules.fall_s),
        max_retry_after: span(scenario.nodes.retry_after_ms),
    }
}

impl<'a> World<'a> {
    fn new(scenario: &Scenario, seed: u64, make: &'a Maker<'a>) -> Self {
        World {
            settings: settings(scenario),
            aims: scenario
                .class
                .iter()
                .map(|class| class.message_aim_ms / 1e3)
                .collect(),
            seed,
            now: 0,
            end: seconds(scenario.length_s),
            events: 0,
            queue: Queue::default(),
            population: Population::new(scenario, seed),
            make,
            arrivals: stream(seed, 2, 0),
            chance: stream(seed, 3, 0),
            net: stream(seed, 4, 0),
            serial: 0,
            requests: 0,
            clients: Vec::new(),
            free: Vec::new(),
            fleet: Vec::new(),
            index: HashMap::new(),
            hashes: Vec::new(),
            nodes: Vec::new(),
            directory: Directory {
                known: Vec::new(),
                log: Vec::new(),
                busy_until: 0,
                down: false,
                stale: false,
                held_back: Vec::new(),
            },
            surge: vec![1.0; scenario.trouble.len()],
            lost: std::collections::BTreeMap::new(),
            judge: Judge::default(),
            measure: Measure::new(scenario),
            actions: Vec::new(),
            scenario: scenario.clone(),
        }
    }

    fn begin(&mut self) {
        self.build_fleet();
        for zone in 0..self.scenario.nodes.count {
            self.add_node(zone % self.scenario.net.zones);
        }
        if self.scenario.clients.warm_start {
            self.stand_at_start();
        }
        self.next_arrival();
        self.queue.put(PULSE, Happening::Pulse);
        self.queue.put(SECOND, Happening::Second);
        for (at, trouble) in self.scenario.trouble.iter().enumerate() {
            self.queue
                .put(seconds(trouble.at_s), Happening::Trouble(at as u32, 0));
        }
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrival(),
            Happening::Asks(client, life) => self.asks(client, life),
            Happening::Leaves(client, life) => self.leaves(client, life),
            Happening::Swings(client, life) => self.swings(client, life),
            Happening::Answered(client, request, refused, wait) => {
                self.hears(client, request, refused, wait);
            }
            Happening::Taken(request) => self.taken(request),
            Happening::Patience(request, attempt) => self.out_of_patience(request, attempt),
            Happening::Overdue(request) => self.overdue(request),
            Happening::Arrives(request, attempt, server, life) => {
                self.arrives(request, attempt, server, life);
            }
            Happening::SetUp(request, attempt, server, life) => {
                self.set_up(request, attempt, server, life);
            }
            Happening::Ended(request, attempt, outcome) => {
                self.attempt_ended(request, attempt, outcome);
            }
            Happening::Stands(request, attempt) => self.stands(request, attempt),
            Happening::Timer(node, life, timer) => self.timer(node, life, timer),
            Happening::Pulse => self.pulse(),
            Happening::Second => self.second(),
            Happening::Pause(server, life) => self.pause(server, life),
            Happening::Known(server, life, change) => self.learns(server, life, change),
            Happening::Told(node, life) => self.told(node, life),
            Happening::Called(node, life, answered) => self.called(node, life, answered),
            Happening::Trouble(trouble, step) => self.trouble(trouble, step),
            Happening::Over(trouble) => self.over(trouble),
            Happening::SendsAway(server, life) => self.sends_away(server, life),
            Happening::Stops(server, life) => self.stops(server, life),
            Happening::Succeeds(server) => self.succeed(server),
            Happening::Starts(node) => self.start_node(node),
            Happening::Front(node, life, takes) => self.front(node, life, takes),
            Happening::Silence(server, life) => self.silence(server, life),
        }
    }

    /// The client that has a request out, if it still has. The low bits of a request's number are its client's place.
    fn client_of(&self, request: u64) -> Option<u32> {
        let at = (request & 0xff_ffff) as u32;
        self.clients
            .get(at as usize)
            .filter(|client| client.request == request)
            .map(|_| at)
    }

    /// A delay between a node and a transcriber.
    fn hop(&mut self, node_zone: u32, server_zone: u32) -> Moment {
        let net = &self.scenario.net;
        let mean = if node_zone == server_zone {
            net.same_ms
        } else {
            net.cross_ms
        };
        jittered(&mut self.net, mean, net.jitter)
    }

    fn record(&mut self, what: &'static str, node: u32, request: u64, server: Option<u32>) {
        self.judge.note(Line {
            at: self.now,
            what,
            node,
            request,
            server,
        });
    }

    fn pulse(&mut self) {
        for at in 0..self.fleet.len() as u32 {
            self.advance(at);
            self.shed(at);
        }
        self.queue.put(self.now + PULSE, Happening::Pulse);
    }

    fn second(&mut self) {
        use crate::transcriber::State;
        let now = self.now;
        let seen = |server: &Transcriber| (server.state == State::Up).then(|| server.used(now));
        let used: Vec<Option<f64>> = self.fleet.iter().map(seen).collect();
        let standing = self
            .fleet
            .iter()
            .map(|server| server.standing.len() as u64)
            .sum();
        let keeps = self.fleet.len() <= LINES_FOR;
        self.measure.sample(now, used, standing, keeps);
        self.observe();
        self.queue.put(now + SECOND, Happening::Second);
    }
}
