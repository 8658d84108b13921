//! The state that all components of a run share: test servers, links, nodes, the checker, and the timeline.

mod cluster_status;
mod environment;

pub(crate) use cluster_status::{ConvergenceGoal, NotConverged};

use crate::checker::Checker;
use crate::error::RunError;
use crate::fault_step::{FaultStep, ScheduledStep};
use crate::link::{LinkDirection, LinkTable};
use crate::node_process::{AddressBlock, NodeProcess};
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::session_schedule::SessionSchedule;
use lupincrank_reactor::{ComponentId, Context};
use lupincrank_test_servers::client::ClientBehaviour;
use lupincrank_test_servers::discovery::EndpointList;
use lupincrank_test_servers::upstream_server::{CapacityModel, UpstreamFleet};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// The reactor's context, which the components of a run receive.
pub(crate) type HarnessContext = Context<Harness>;

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nodes start up and become ready.
    Starting,
    /// Client sessions start.
    Running,
    /// All planned sessions have started; the run waits for the expected final state.
    Settling,
    /// The run has ended.
    Finished,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The current phase.
    pub phase: Phase,
    /// Seconds since the clients started.
    pub elapsed_s: f64,
    /// Seconds for which client sessions start.
    pub duration_s: f64,
    /// Number of nodes of the run.
    pub node_count: usize,
    /// Number of nodes that accept clients.
    pub ready_node_count: usize,
    /// Number of violations so far.
    pub violation_count: usize,
}

/// The kind of a timeline entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// The start or the end of an injected fault.
    Fault,
    /// Any other event.
    Observation,
}

/// An entry of the timeline.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) at: Instant,
    /// The time `at` by the wall clock, for comparison with the nodes' logs.
    pub(crate) wall_clock: SystemTime,
    pub(crate) kind: EventKind,
    pub(crate) text: String,
}

/// The links, and the proxies and streams on them.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) links: LinkTable,
    /// Listeners of stream proxies.
    pub(crate) listeners: BTreeMap<LinkDirection, ComponentId>,
    /// Streams that are being relayed.
    pub(crate) streams: BTreeMap<ComponentId, LinkDirection>,
    /// When each relayed stream was dialed, by the proxy's local address on its connection to the target.
    pub(crate) dialed_at: HashMap<SocketAddr, Instant>,
}

/// The options of a run.
pub(crate) struct HarnessOptions {
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) folder: PathBuf,
    pub(crate) address_block: AddressBlock,
    pub(crate) is_verbose: bool,
    /// The program of nodes that join during the run.
    pub(crate) program: Vec<String>,
    pub(crate) on_progress: Box<dyn Fn(&Progress)>,
}

/// The state of a run.
pub(crate) struct Harness {
    pub(crate) scenario: Scenario,
    pub(crate) plan: Plan,
    pub(crate) options: HarnessOptions,
    pub(crate) client_behaviour: ClientBehaviour,
    pub(crate) servers: UpstreamFleet,
    pub(crate) endpoint_list: EndpointList,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<NodeProcess>,
    /// The configuration of each node.
    pub(crate) node_configs: BTreeMap<usize, serde_json::Value>,
    /// The addresses at which each node reaches its peers, by the numbers of node and peer.
    pub(crate) peer_addresses: BTreeMap<usize, BTreeMap<usize, SocketAddr>>,
    /// The IDs of all clusters that nodes have reported.
    pub(crate) cluster_ids: BTreeSet<String>,
    pub(crate) checker: Checker,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) phase: Phase,
    pub(crate) events: Vec<Event>,
    /// Steps of faults that are not due yet.
    pub(crate) pending_steps: Vec<ScheduledStep>,
    pub(crate) sessions: SessionSchedule,
    /// Number of planned sessions that have started.
    pub(crate) started_session_count: usize,
    /// Number of requests that clients have sent.
    pub(crate) request_count: u64,
    pub(crate) created_at: Instant,
    /// When the clients start.
    pub(crate) clients_start: Instant,
    pub(crate) settling_since: Option<Instant>,
    failure: Option<RunError>,
}

impl Harness {
    /// Creates a harness without servers and nodes.
    pub(crate) fn new(
        scenario: Scenario,
        plan: Plan,
        options: HarnessOptions,
        rng: Pcg64Mcg,
    ) -> Harness {
        let now = Instant::now();
        Harness {
            client_behaviour: client_behaviour(&scenario),
            servers: UpstreamFleet::new(capacity_model(&scenario)),
            scenario,
            plan,
            options,
            endpoint_list: EndpointList::default(),
            network: Network::default(),
            nodes: Vec::new(),
            node_configs: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            cluster_ids: BTreeSet::new(),
            checker: Checker::new(now),
            rng,
            phase: Phase::Starting,
            events: Vec::new(),
            pending_steps: Vec::new(),
            sessions: SessionSchedule::default(),
            started_session_count: 0,
            request_count: 0,
            created_at: now,
            clients_start: now,
            settling_since: None,
            failure: None,
        }
    }

    /// Adds the start or the end of a fault to the timeline.
    pub(crate) fn record_fault(&mut self, text: String) {
        self.record(EventKind::Fault, text);
    }

    /// Adds any other event to the timeline.
    pub(crate) fn record_event(&mut self, text: String) {
        self.record(EventKind::Observation, text);
    }

    fn record(&mut self, kind: EventKind, text: String) {
        self.events.push(Event {
            at: Instant::now(),
            wall_clock: SystemTime::now(),
            kind,
            text,
        });
    }

    /// Aborts the run.
    pub(crate) fn fail(&mut self, error: RunError) {
        self.failure.get_or_insert(error);
        self.phase = Phase::Finished;
    }

    /// Takes the error that aborted the run, if there is one.
    pub(crate) fn take_failure(&mut self) -> Option<RunError> {
        self.failure.take()
    }

    /// Schedules a step of a fault.
    pub(crate) fn schedule_step(&mut self, due_at: Instant, step: FaultStep) {
        self.pending_steps.push(ScheduledStep { due_at, step });
    }

    /// Returns the progress of the run.
    pub(crate) fn progress(&self) -> Progress {
        let ready = self.nodes.iter().filter(|node| node.is_accepting_clients());
        Progress {
            phase: self.phase,
            elapsed_s: self.checker.seconds_since_start(Instant::now()),
            duration_s: self.scenario.duration_s(),
            node_count: self.nodes.len(),
            ready_node_count: ready.count(),
            violation_count: self.checker.violations().len(),
        }
    }
}

fn client_behaviour(scenario: &Scenario) -> ClientBehaviour {
    ClientBehaviour {
        answer_timeout: Duration::from_millis(scenario.clients.answer_timeout_ms),
        line_interval: Duration::from_millis(scenario.clients.line_interval_ms),
        class: "chat".into(),
    }
}

/// The capacity of upstream servers: the scenario's values, and constants for what a scenario can't set.
fn capacity_model(scenario: &Scenario) -> CapacityModel {
    const MAX_CONNECTIONS_PER_CAPACITY: f64 = 3.0;
    const MAX_SETUP_DURATION: Duration = Duration::from_secs(86_400);
    let capacity = &scenario.server_capacity;
    CapacityModel {
        warm_capacity: capacity.connections,
        max_connections: (capacity.connections * MAX_CONNECTIONS_PER_CAPACITY) as usize,
        warm_up_duration: Duration::from_secs_f64(capacity.warm_up_s),
        initial_capacity_ratio: 0.3,
        crash_load_ratio: 3.0,
        crash_delay: Duration::from_secs(2),
        setup_duration: Duration::from_millis(capacity.setup_ms).min(MAX_SETUP_DURATION),
    }
}
