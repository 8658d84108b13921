//! The simulated world: it handles events in time order and runs one policy instance per node.
//!
//! Its modules: `clients`, `nodes` (the policies), `observations` (load, delays and unresponsiveness that nodes see),
//! `attempts`, `servers`, `discovery` and `faults`.

mod attempts;
mod clients;
mod discovery;
mod faults;
mod nodes;
mod observations;
mod servers;

use crate::checker::{RuleChecker, TraceEntry};
use crate::event_queue::{seconds, EventQueue, Incarnation, SimTime, SimulationEvent, SECOND};
use crate::metrics::{Outcome, RunMetrics, RunSummary};
use crate::policy::{Policy, PolicyName};
use crate::population::{jittered, stream, Population};
use crate::scenario::Scenario;
use crate::server_model::ServerModel;
use lupincrank_placement::{Action, Class, Endpoint, RetrySafety, ServerId, Settings};
use rand_pcg::Pcg32;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Creates the policy of a node from its settings and seed.
pub type PolicyFactory<'a> = dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a;

/// The timeline contains the utilization of each server for fleets up to this size.
const MAX_SERVERS_IN_TIMELINE: usize = 64;
/// The longest interval between updates of a server's model.
const SERVER_UPKEEP_INTERVAL: SimTime = SECOND / 2;
/// The `connection_index` of a client without a connection at a server.
const NOT_CONNECTED: u32 = u32::MAX;
/// The time of the placement clock at the start of the run. It is not zero, since placement treats zero as long ago.
const CLOCK_START: SimTime = 1_000 * SECOND;

/// The state of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Neither a connection nor a request at a node.
    Disconnected,
    /// A node handles the client's request.
    Requesting,
    /// The client's connection is established.
    Connected,
}

/// A client, which uses at most one connection at a time, and its current request.
struct Client {
    incarnation: Incarnation,
    /// The number of connections established in this client slot. Events scheduled for an earlier one are ignored.
    connection_incarnation: Incarnation,
    serial: u64,
    class: usize,
    zone: u32,
    group: Option<u32>,
    leaves_at: SimTime,
    mean_load: f64,
    load: f64,
    rng: Pcg32,
    phase: Phase,
    failures: u32,
    retries: u32,
    is_reconnect: bool,
    /// The deadline of the current request and its retries.
    deadline: SimTime,
    request: u64,
    node: u32,
    node_incarnation: Incarnation,
    requested_at: SimTime,
    /// The number of attempts of the current request.
    attempts: u32,
    /// The server of the running attempt or of the connection.
    server: Option<u32>,
    /// The start of the latest attempt.
    sent_at: SimTime,
    /// Whether the request needs no further answer: it was answered, or its client gave it up.
    is_answered: bool,
    /// The index of its connection at the server, or `NOT_CONNECTED`.
    connection_index: u32,
}

/// A balancer node.
struct Node {
    zone: u32,
    incarnation: Incarnation,
    is_running: bool,
    is_listed_by_front: bool,
    policy: Box<dyn Policy>,
    is_watching: bool,
    /// The number of entries of discovery's change log that it has received.
    notified_changes: usize,
    /// By server: when it was notified that the server is leaving.
    leaving_since: Vec<Option<SimTime>>,
    /// By server: the latest incarnation of whose start it was notified.
    known_starts: Vec<Incarnation>,
    /// The durations of its latest setups.
    recent_setups: VecDeque<SimTime>,
}

/// The state of discovery.
struct DiscoveryState {
    endpoints: Vec<Endpoint>,
    change_log: Vec<Endpoint>,
    busy_until: SimTime,
    is_down: bool,
    is_stale: bool,
    deferred_changes: Vec<(u32, Incarnation, crate::event_queue::ServerChange)>,
}

/// The state of a run.
pub struct World<'a> {
    scenario: Scenario,
    settings: Settings,
    message_objectives: Vec<f64>,
    seed: u64,
    now: SimTime,
    end: SimTime,
    events: u64,
    queue: EventQueue,
    population: Population,
    policy_factory: &'a PolicyFactory<'a>,
    arrival_rng: Pcg32,
    rng: Pcg32,
    network_rng: Pcg32,
    serial: u64,
    requests: u64,
    clients: Vec<Client>,
    free_client_slots: Vec<u32>,
    fleet: Vec<ServerModel>,
    server_indices: HashMap<ServerId, u32>,
    /// The servers' hashes, as used by placement for ranking.
    server_hashes: Vec<u32>,
    nodes: Vec<Node>,
    discovery: DiscoveryState,
    arrival_factors: Vec<f64>,
    /// The servers that a zone outage terminated, by fault, until they restart.
    terminated_servers: std::collections::BTreeMap<u32, Vec<u32>>,
    checker: RuleChecker,
    metrics: RunMetrics,
    actions: Vec<Action>,
}

/// Runs a scenario with one of the policies by name.
pub fn run_scenario(scenario: &Scenario, seed: u64, name: PolicyName) -> Outcome {
    let create_policy = move |settings: Settings, seed: u64| name.make(settings, seed);
    run_with_policy(
        scenario,
        seed,
        name.as_str(),
        name == PolicyName::LeastLoaded,
        &create_policy,
    )
}

/// Runs a scenario with any policy. The same scenario, seed and policy always give the same outcome.
pub fn run_with_policy(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    upper_bound: bool,
    create_policy: &PolicyFactory<'_>,
) -> Outcome {
    let mut world = World::new(scenario, seed, create_policy);
    world.start();
    while let Some((time, event)) = world.queue.pop_until(world.end) {
        world.now = time;
        world.events += 1;
        world.dispatch(event);
    }
    world.now = world.end;
    for index in 0..world.fleet.len() as u32 {
        world.advance(index);
    }
    let summary = RunSummary {
        seed,
        policy: policy.to_string(),
        upper_bound,
        violations: std::mem::take(&mut world.checker.violations),
        violation_count: world.checker.violation_count,
        events: world.events,
        peak_queue: world.queue.peak(),
    };
    world.metrics.finish(scenario, summary)
}

/// Returns the settings of a scenario's nodes.
pub fn settings(scenario: &Scenario) -> Settings {
    let duration = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    let class = |class: &crate::scenario::Class| Class {
        setup_objective: duration(class.aim_ms),
        message_objective: duration(class.message_aim_ms),
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
        drain_grace: duration(scenario.rules.drain_grace_ms),
        slow_start_duration: Duration::from_secs_f64(scenario.rules.cold_s),
        initial_capacity_ratio: scenario.rules.start_capacity,
        overload_factor: scenario.rules.fall_multiple,
        overload_window: Duration::from_secs_f64(scenario.rules.fall_s),
        max_retry_after: duration(scenario.nodes.retry_after_ms),
    }
}

impl<'a> World<'a> {
    fn new(scenario: &Scenario, seed: u64, policy_factory: &'a PolicyFactory<'a>) -> Self {
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
            queue: EventQueue::default(),
            population: Population::new(scenario, seed),
            policy_factory,
            arrival_rng: stream(seed, 2, 0),
            rng: stream(seed, 3, 0),
            network_rng: stream(seed, 4, 0),
            serial: 0,
            requests: 0,
            clients: Vec::new(),
            free_client_slots: Vec::new(),
            fleet: Vec::new(),
            server_indices: HashMap::new(),
            server_hashes: Vec::new(),
            nodes: Vec::new(),
            discovery: DiscoveryState {
                endpoints: Vec::new(),
                change_log: Vec::new(),
                busy_until: 0,
                is_down: false,
                is_stale: false,
                deferred_changes: Vec::new(),
            },
            arrival_factors: vec![1.0; scenario.faults.len()],
            terminated_servers: std::collections::BTreeMap::new(),
            checker: RuleChecker::default(),
            metrics: RunMetrics::new(scenario),
            actions: Vec::new(),
            scenario: scenario.clone(),
        }
    }

    fn start(&mut self) {
        self.build_fleet();
        for index in 0..self.scenario.nodes.count {
            self.add_node(index % self.scenario.net.zones);
        }
        if self.scenario.clients.warm_start {
            self.establish_initial_connections();
        }
        self.schedule_arrival();
        self.queue
            .schedule(SERVER_UPKEEP_INTERVAL, SimulationEvent::ServerUpkeep);
        self.queue.schedule(SECOND, SimulationEvent::MetricsSample);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.schedule(
                seconds(fault.at_s),
                SimulationEvent::FaultStep(index as u32, 0),
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
            Event::ClientAnswered(client, request, is_rejected, retry_after_ms) => {
                self.receive_answer(client, request, is_rejected, retry_after_ms);
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
            Event::NodeTimer(node, incarnation, timer) => self.fire_timer(node, incarnation, timer),
            Event::ServerUpkeep => self.update_servers(),
            Event::MetricsSample => self.sample_metrics(),
            Event::ServerPause(server, incarnation) => self.pause_server(server, incarnation),
            Event::DiscoveryUpdated(server, incarnation, change) => {
                self.update_discovery(server, incarnation, change);
            }
            Event::NodeNotified(node, incarnation) => self.notify_node(node, incarnation),
            Event::WatchCallEnded(node, incarnation, is_answered) => {
                self.watch_call_ended(node, incarnation, is_answered);
            }
            Event::FaultStep(fault, step) => self.start_fault_step(fault, step),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::DrainClient(server, incarnation) => self.drain_client(server, incarnation),
            Event::ServerStops(server, incarnation) => self.stop_server(server, incarnation),
            Event::ServerReplaced(server) => self.replace_server(server),
            Event::NodeStarts(node) => self.start_node(node),
            Event::FrontUpdated(node, incarnation, is_listed) => {
                self.update_front(node, incarnation, is_listed);
            }
            Event::UnresponsiveDetected(server, incarnation) => {
                self.detect_unresponsive_server(server, incarnation);
            }
        }
    }

    /// Returns the client of a request, if the request is its current one. The low bits of a request's number are the
    /// client's index.
    fn client_of(&self, request: u64) -> Option<u32> {
        let index = (request & 0xff_ffff) as u32;
        self.clients
            .get(index as usize)
            .filter(|client| client.request == request)
            .map(|_| index)
    }

    /// Draws a delay between a node and a server.
    fn network_delay(&mut self, node_zone: u32, server_zone: u32) -> SimTime {
        let net = &self.scenario.net;
        let mean = if node_zone == server_zone {
            net.same_ms
        } else {
            net.cross_ms
        };
        jittered(&mut self.network_rng, mean, net.jitter)
    }

    fn record(&mut self, event: &'static str, node: u32, request: u64, server: Option<u32>) {
        self.checker.record(TraceEntry {
            time: self.now,
            event,
            node,
            request,
            server,
        });
    }

    fn update_servers(&mut self) {
        for index in 0..self.fleet.len() as u32 {
            self.advance(index);
            self.shed_load(index);
        }
        self.queue.schedule(
            self.now + SERVER_UPKEEP_INTERVAL,
            SimulationEvent::ServerUpkeep,
        );
    }

    fn sample_metrics(&mut self) {
        use crate::server_model::ServerState;
        let now = self.now;
        let utilization = |server: &ServerModel| {
            (server.state == ServerState::Up).then(|| server.utilization(now))
        };
        let utilizations: Vec<Option<f64>> = self.fleet.iter().map(utilization).collect();
        let connections = self
            .fleet
            .iter()
            .map(|server| server.clients.len() as u64)
            .sum();
        let keeps_servers = self.fleet.len() <= MAX_SERVERS_IN_TIMELINE;
        self.metrics
            .record_sample(now, utilizations, connections, keeps_servers);
        self.report_message_delays();
        self.queue
            .schedule(now + SECOND, SimulationEvent::MetricsSample);
    }
}
