//! The simulated world: it handles events in the order of time and runs one policy for each node.
//!
//! Its parts: `clients`, `nodes` (the policies and what a node observes), `servers` (transcribers), `discovery` and
//! `faults`.

mod attempts;
mod clients;
mod discovery;
mod faults;
mod nodes;
mod observations;
mod servers;

use crate::checker::{RuleChecker, TraceEntry};
use crate::event_queue::{seconds, Incarnation, Moment, Queue, SimulationEvent, SECOND};
use crate::metrics::{Outcome, RunMetrics, RunSummary};
use crate::policy::{Policy, PolicyName};
use crate::population::{jittered, stream, Population};
use crate::scenario::Scenario;
use crate::server_model::ServerModel;
use lupincrank_placement::{Action, Class, Endpoint, RetrySafety, ServerId, Settings};
use rand_pcg::Pcg32;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Makes the policy of a node from its settings and seed.
pub type PolicyFactory<'a> = dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a;

/// Fleets up to this size have the load of each transcriber in the time line.
const MAX_SERVERS_IN_TIMELINE: usize = 64;
/// How often the model of every server is advanced at least.
const SERVER_UPKEEP_INTERVAL: Moment = SECOND / 2;
/// No place at a transcriber.
const NO_PLACE: u32 = u32::MAX;
/// What the decisions' clock shows when the world begins: not zero, which they take for long ago.
const EPOCH: Moment = 1_000 * SECOND;

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has no connection and will come again.
    Disconnected,
    /// Its request is with a node.
    Requesting,
    /// Its connection stands.
    Connected,
}

/// A client: its wish for one connection, and the request that it has out.
struct Client {
    incarnation: Incarnation,
    /// Counts the times that this place had a connection up: what was scheduled for an earlier one is void.
    connection_incarnation: Incarnation,
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
    node_incarnation: Incarnation,
    asked: Moment,
    /// Attempts of this request, the one that is out and when it was sent, and whether the answer was given.
    attempts: u32,
    out: Option<u32>,
    sent: Moment,
    answered: bool,
    /// Where its connection stands at the transcriber, `NO_PLACE` while it does not.
    place: u32,
}

/// One balancer node.
struct Node {
    zone: u32,
    incarnation: Incarnation,
    alive: bool,
    listed_by_front: bool,
    policy: Box<dyn Policy>,
    watches: bool,
    /// How many of discovery's changes it has been notified of.
    heard: usize,
    /// Since when it knows that a transcriber leaves.
    leaving: Vec<Option<Moment>>,
    /// Starts of servers that it was notified of.
    knows_start: Vec<Incarnation>,
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
    held_back: Vec<(u32, Incarnation, crate::event_queue::Change)>,
}

/// A scenario being played.
pub struct World<'a> {
    scenario: Scenario,
    settings: Settings,
    message_objectives: Vec<f64>,
    seed: u64,
    now: Moment,
    end: Moment,
    events: u64,
    queue: Queue,
    population: Population,
    policy_factory: &'a PolicyFactory<'a>,
    arrivals: Pcg32,
    chance: Pcg32,
    net: Pcg32,
    serial: u64,
    requests: u64,
    clients: Vec<Client>,
    free_client_slots: Vec<u32>,
    fleet: Vec<ServerModel>,
    index: HashMap<ServerId, u32>,
    /// The transcribers' hashes, as placement ranks them.
    hashes: Vec<u32>,
    nodes: Vec<Node>,
    discovery: Directory,
    arrival_factors: Vec<f64>,
    /// The transcribers that a fault took down, until they come back.
    lost_servers: std::collections::BTreeMap<u32, Vec<u32>>,
    checker: RuleChecker,
    metrics: RunMetrics,
    actions: Vec<Action>,
}

/// Plays a scenario with one of the policies by name.
pub fn play(scenario: &Scenario, seed: u64, name: PolicyName) -> Outcome {
    let make = move |settings: Settings, seed: u64| name.make(settings, seed);
    play_with(
        scenario,
        seed,
        name.as_str(),
        name == PolicyName::LeastLoaded,
        &make,
    )
}

/// Plays a scenario with any policy. The same scenario, seed and policy always give the same outcome.
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    upper_bound: bool,
    make: &PolicyFactory<'_>,
) -> Outcome {
    let mut world = World::new(scenario, seed, make);
    world.begin();
    while let Some((at, event)) = world.queue.pop_until(world.end) {
        world.now = at;
        world.events += 1;
        world.dispatch(event);
    }
    world.now = world.end;
    for at in 0..world.fleet.len() as u32 {
        world.advance(at);
    }
    let ending = RunSummary {
        seed,
        policy: policy.to_string(),
        upper_bound,
        broken: std::mem::take(&mut world.checker.violations),
        times_broken: world.checker.violation_count,
        events: world.events,
        peak_queue: world.queue.peak(),
    };
    world.metrics.finish(scenario, ending)
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
    fn new(scenario: &Scenario, seed: u64, make: &'a PolicyFactory<'a>) -> Self {
        World {
            settings: settings(scenario),
            message_objectives: scenario
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
            policy_factory: make,
            arrivals: stream(seed, 2, 0),
            chance: stream(seed, 3, 0),
            net: stream(seed, 4, 0),
            serial: 0,
            requests: 0,
            clients: Vec::new(),
            free_client_slots: Vec::new(),
            fleet: Vec::new(),
            index: HashMap::new(),
            hashes: Vec::new(),
            nodes: Vec::new(),
            discovery: Directory {
                known: Vec::new(),
                log: Vec::new(),
                busy_until: 0,
                down: false,
                stale: false,
                held_back: Vec::new(),
            },
            arrival_factors: vec![1.0; scenario.faults.len()],
            lost_servers: std::collections::BTreeMap::new(),
            checker: RuleChecker::default(),
            metrics: RunMetrics::new(scenario),
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
            self.establish_initial_connections();
        }
        self.schedule_arrival();
        self.queue
            .schedule(SERVER_UPKEEP_INTERVAL, SimulationEvent::ServerUpkeep);
        self.queue.schedule(SECOND, SimulationEvent::MetricsSample);
        for (at, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.schedule(
                seconds(fault.at_s),
                SimulationEvent::FaultStep(at as u32, 0),
            );
        }
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        use SimulationEvent as Event;
        match event {
            Event::ClientArrival => self.client_arrives(),
            Event::ClientConnects(client, incarnation) => self.connect_client(client, incarnation),
            Event::ClientLeaves(client, incarnation) => self.remove_client(client, incarnation),
            Event::LoadChanges(client, incarnation) => self.change_load(client, incarnation),
            Event::ClientAnswered(client, request, refused, wait) => {
                self.receive_answer(client, request, refused, wait);
            }
            Event::RequestReceived(request) => self.receive_request(request),
            Event::AttemptTimeout(request, attempt) => self.attempt_timed_out(request, attempt),
            Event::AnswerOverdue(request) => self.answer_overdue(request),
            Event::AttemptArrives(request, attempt, server, incarnation) => {
                self.attempt_arrives(request, attempt, server, incarnation);
            }
            Event::SetupDone(request, attempt, server, incarnation) => {
                self.setup_done(request, attempt, server, incarnation);
            }
            Event::AttemptEnded(request, attempt, outcome) => {
                self.attempt_ended(request, attempt, outcome);
            }
            Event::ConnectionEstablished(request, attempt) => {
                self.connection_established(request, attempt);
            }
            Event::NodeTimer(node, incarnation, timer) => self.timer(node, incarnation, timer),
            Event::ServerUpkeep => self.update_servers(),
            Event::MetricsSample => self.sample_metrics(),
            Event::ServerPause(server, incarnation) => self.pause(server, incarnation),
            Event::DiscoveryLearns(server, incarnation, change) => {
                self.discovery_learns(server, incarnation, change);
            }
            Event::NodeNotified(node, incarnation) => self.notify_node(node, incarnation),
            Event::WatchAnswered(node, incarnation, answered) => {
                self.watch_answered(node, incarnation, answered);
            }
            Event::FaultStep(fault, step) => self.start_fault_step(fault, step),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::DrainClient(server, incarnation) => self.drain_client(server, incarnation),
            Event::ServerStops(server, incarnation) => self.stop_server(server, incarnation),
            Event::ServerReplaced(server) => self.replace_server(server),
            Event::NodeStarts(node) => self.start_node(node),
            Event::FrontUpdated(node, incarnation, takes) => {
                self.update_front(node, incarnation, takes);
            }
            Event::SilenceNoticed(server, incarnation) => self.notice_silence(server, incarnation),
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
    fn network_delay(&mut self, node_zone: u32, server_zone: u32) -> Moment {
        let net = &self.scenario.net;
        let mean = if node_zone == server_zone {
            net.same_ms
        } else {
            net.cross_ms
        };
        jittered(&mut self.net, mean, net.jitter)
    }

    fn record(&mut self, what: &'static str, node: u32, request: u64, server: Option<u32>) {
        self.checker.record(TraceEntry {
            at: self.now,
            what,
            node,
            request,
            server,
        });
    }

    fn update_servers(&mut self) {
        for at in 0..self.fleet.len() as u32 {
            self.advance(at);
            self.shed_load(at);
        }
        self.queue.schedule(
            self.now + SERVER_UPKEEP_INTERVAL,
            SimulationEvent::ServerUpkeep,
        );
    }

    fn sample_metrics(&mut self) {
        use crate::server_model::ServerState;
        let now = self.now;
        let seen =
            |server: &ServerModel| (server.state == ServerState::Up).then(|| server.used(now));
        let used: Vec<Option<f64>> = self.fleet.iter().map(seen).collect();
        let standing = self
            .fleet
            .iter()
            .map(|server| server.standing.len() as u64)
            .sum();
        let keeps = self.fleet.len() <= MAX_SERVERS_IN_TIMELINE;
        self.metrics.record_sample(now, used, standing, keeps);
        self.observe();
        self.queue
            .schedule(now + SECOND, SimulationEvent::MetricsSample);
    }
}
