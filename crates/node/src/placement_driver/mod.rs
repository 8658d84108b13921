//! Connects the [`Balancer`] to the rest of the node: converts reports from clients, attempts, discovery and timers
//! into its events, and its actions into commands for the components. This module owns the active requests and is
//! independent of the wire protocol, so that another protocol can use the same placement.

mod attempts;
mod clock;
mod command;
mod delay_sample;
mod endpoints;
mod first_list;
mod latency;
mod request;
mod settings;
mod setup_times;
mod shutdown;
mod start_times;

pub(crate) use attempts::{ClientState, InheritedConnection};
pub(crate) use command::{AttemptOrder, Command};
pub(crate) use endpoints::{
    EndpointAvailabilityError, EndpointListScope, EndpointListSource, ResolvedEndpoint,
    MAX_CURRENT_LIST_AGE,
};
pub(crate) use first_list::ListedStart;
pub(crate) use request::hex_id;

use crate::config::Config;
use crate::deadline::PlacementTimer;
use clock::PlacementClock;
use endpoints::KnownEndpoint;
use first_list::StartEvidence;
use latency::UpstreamLatency;
use lupincrank_placement::{
    Action, Balancer, Event, Outcome, RequestId, ServerId, SlowStartLease, Timer, Timestamp,
};
use request::ActiveRequest;
use setup_times::SetupTimes;
use slog::{debug, Logger};
use start_times::StartTimes;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The node's [`Balancer`] with the active requests and the known servers.
pub(crate) struct PlacementDriver {
    commands: VecDeque<Command>,
    balancer: Balancer,
    /// Filled by the balancer; empty between events.
    actions: Vec<Action>,
    clock: PlacementClock,
    requests: HashMap<RequestId, ActiveRequest>,
    endpoints: HashMap<ServerId, KnownEndpoint>,
    start_times: StartTimes,
    /// Whether discovery has answered since this process started.
    has_discovery_answered: bool,
    /// Whether a call to discovery has failed since this process started.
    has_discovery_failed: bool,
    /// When discovery confirmed the list that the other process of this node has passed on.
    peer_list_confirmed_at: Option<Instant>,
    start_evidence: StartEvidence,
    slow_start_duration: Duration,
    latencies: BTreeMap<ServerId, UpstreamLatency>,
    setup_times: SetupTimes,
    /// The shortest message latency objective in the settings.
    min_message_objective: Duration,
    /// The retry delay sent to clients that send a request during shutdown.
    shutdown_retry_after: Duration,
    is_shutting_down: bool,
    slow_start_lease: Option<SlowStartLease>,
    /// Processes of this node that accept clients.
    process_count: u32,
    /// The number of timers set so far.
    timer_count: u64,
    log: Logger,
}

impl PlacementDriver {
    /// Creates the driver. What it observes and decides for each request is logged to `log` at debug level; the state
    /// of a whole fleet can be computed from these lines: see `docs/operators/many-nodes.md`.
    pub(crate) fn new(config: &Config, log: Logger) -> PlacementDriver {
        let settings = &config.settings;
        PlacementDriver {
            commands: VecDeque::new(),
            balancer: Balancer::new(settings.clone(), config.seed),
            actions: Vec::new(),
            clock: PlacementClock::start(),
            requests: HashMap::new(),
            endpoints: HashMap::new(),
            start_times: StartTimes::default(),
            has_discovery_answered: false,
            has_discovery_failed: false,
            peer_list_confirmed_at: None,
            start_evidence: StartEvidence::WallClock,
            slow_start_duration: settings.slow_start_duration,
            latencies: BTreeMap::new(),
            setup_times: SetupTimes::default(),
            min_message_objective: settings.min_message_objective(),
            shutdown_retry_after: settings::shutdown_retry_after(settings),
            is_shutting_down: false,
            slow_start_lease: None,
            process_count: 1,
            timer_count: 0,
            log,
        }
    }

    /// Starts discovery and upkeep.
    pub(crate) fn start(&mut self) {
        self.feed(Event::Start);
    }

    /// The current time on the placement clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the next command to execute.
    pub(crate) fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Handles a timer that has fired.
    pub(crate) fn on_timer(&mut self, timer: PlacementTimer) {
        self.feed(Event::TimerFired(timer.kind));
    }

    /// Passes an event to the balancer and executes the resulting actions.
    fn feed(&mut self, event: Event) {
        self.balancer
            .handle(self.clock.now(), event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.start_attempt(request, server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => self.reject(request, retry_after),
            Action::Fail(request) => self.fail(request),
            Action::Migrate(request) => self.migrate(request),
            Action::SetTimer { after, timer } => self.set_timer(after, timer),
            Action::WatchEndpoints => self.commands.push_back(Command::WatchEndpoints),
            Action::CheckHealth(server) => self.check_health(server),
            // This deployment's protocol has no gossip between nodes.
            Action::Gossip(_) => {}
        }
    }

    fn start_attempt(&mut self, request: RequestId, server: ServerId, timeout: Duration) {
        let address = self.endpoints.get(&server).map(|endpoint| endpoint.address);
        self.log_attempt(request, &server);
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.start_attempt(server);
        let deadline = active.deadline.min(active.attempt_started_at + timeout);
        let owner = active.owner;
        let Some(address) = address else {
            // Not expected: every server in the endpoint list has an address. Nothing was sent.
            return self.on_attempt_ended(request, Outcome::NotSent, ClientState::Waiting);
        };
        let attempt = AttemptOrder {
            request,
            address,
            deadline,
        };
        self.commands
            .push_back(Command::StartAttempt { owner, attempt });
    }

    fn log_attempt(&self, request: RequestId, server: &ServerId) {
        match self.balancer.slow_start_status(server) {
            None => {
                debug!(self.log, "attempt started"; "request" => hex_id(request), "server" => &*server.0);
            }
            Some(status) => {
                debug!(self.log, "attempt started in slow start"; "request" => hex_id(request), "server" => &*server.0,
                    "key_ratio" => status.key_ratio, "tokens" => status.tokens, "budget" => status.budget);
            }
        }
    }

    fn reject(&mut self, request: RequestId, retry_after: Duration) {
        let Some(active) = self.requests.remove(&request) else {
            return;
        };
        debug!(self.log, "request rejected"; "request" => hex_id(request), "attempts" => active.attempt_count,
            "retry_after_ms" => retry_after.as_millis() as u64);
        self.commands.push_back(Command::Reject {
            owner: active.owner,
            retry_after,
        });
    }

    fn fail(&mut self, request: RequestId) {
        if let Some(active) = self.requests.remove(&request) {
            let owner = active.owner;
            self.commands.push_back(Command::Fail { owner });
        }
    }

    fn migrate(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        if !active.has_connection() {
            return;
        }
        debug!(self.log, "connection migrating"; "request" => hex_id(request));
        active.finish();
        let owner = active.owner;
        self.commands.push_back(Command::Migrate { owner });
    }

    fn set_timer(&mut self, after: Duration, kind: Timer) {
        self.timer_count += 1;
        let timer = PlacementTimer {
            sequence: self.timer_count,
            kind,
        };
        self.commands.push_back(Command::SetTimer { after, timer });
    }

    fn check_health(&mut self, server: ServerId) {
        if let Some(endpoint) = self.endpoints.get(&server) {
            let address = endpoint.address;
            self.commands
                .push_back(Command::CheckHealth { server, address });
        }
    }
}
