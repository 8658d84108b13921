//! Reconnect waves that no endpoint list reports: warm servers fail or drop connections but are still listed as ready,
//! or a node fails, and clients reconnect to all nodes within an overload window. All nodes together send a server in
//! slow start no more than it can accept.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// A warm server can hold this multiple of its connections: services run at half of their capacity or less.
const CAPACITY_RATIO: f64 = 2.0;
/// The time for which only the warm servers are listed.
const WARM_ONLY_MS: u64 = 1_000;
/// The usual age of the servers in slow start when the clients lose their connections.
const WARMING_AGE_MS: u64 = 2_500;
/// An age at which nodes have had time to accumulate unused attempts of the slow-start budget.
const LONGER_WARMING_AGE_MS: u64 = 9_000;
/// The minimum and maximum time between the loss of a connection and the client's reconnect.
const MIN_RECONNECT_DELAY_MS: u64 = 20;
const MAX_RECONNECT_DELAY_MS: u64 = 1_900;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// The maximum duration of a connection setup, also of a refused one.
const SETUP_MS: u64 = 10;
/// The time step while no client waits.
const IDLE_STEP_MS: u64 = 100;
/// The node that fails in `Incident::NodeFails`.
const FAILED_NODE: usize = 0;
/// Utilization that warm servers report.
const WARM_UTILIZATION: f64 = 0.5;
/// Utilization that servers in slow start report. It never includes the requests of the wave.
const IDLE_UTILIZATION: f64 = 0.0;

/// The groups of the clients' requests.
#[derive(Clone, Copy)]
enum Grouping {
    Ungrouped,
    ZipfGroups,
}

/// The load reports that come with health checks.
#[derive(Clone, Copy, PartialEq)]
enum LoadReports {
    None,
    WarmingServersIdle,
}

/// The reason why clients lose their connections.
#[derive(Clone, Copy, PartialEq)]
enum Incident {
    /// Servers reset all connections and refuse new ones.
    ServersFail,
    /// Overloaded servers reset every other connection and accept new ones.
    ServersDropHalf,
    /// A node fails with its connections, and all servers stay available.
    NodeFails,
}

#[derive(Clone, Copy)]
struct Scenario {
    node_count: u32,
    /// The number of nodes that hold connections on the servers that are lost.
    holding_node_count: u64,
    warm_servers: u64,
    /// The number of warm servers that the incident affects.
    lost_servers: u64,
    connections_per_server: u64,
    warming_servers: u64,
    warming_age_ms: u64,
    load_reports: LoadReports,
    incident: Incident,
}

const SMALL_FLEET: Scenario = Scenario {
    node_count: 32,
    holding_node_count: 32,
    warm_servers: 5,
    lost_servers: 3,
    connections_per_server: 64,
    warming_servers: 1,
    warming_age_ms: WARMING_AGE_MS,
    load_reports: LoadReports::None,
    incident: Incident::ServersFail,
};

const LARGE_FLEET: Scenario = Scenario {
    node_count: 300,
    holding_node_count: 300,
    warm_servers: 20,
    lost_servers: 4,
    ..SMALL_FLEET
};

/// Loses the same fraction of its warm servers as `SMALL_FLEET`, after nodes have accumulated unused attempts.
const MOST_SERVERS_LOST: Scenario = Scenario {
    lost_servers: 12,
    warming_servers: 3,
    warming_age_ms: LONGER_WARMING_AGE_MS,
    ..LARGE_FLEET
};

impl Scenario {
    fn settings(&self) -> Settings {
        let reports_load = self.load_reports != LoadReports::None;
        Settings {
            node_count: self.node_count,
            overload_window: Duration::from_millis(1_500),
            health_checks_allowed: reports_load,
            health_check_cost: 0.001,
            utilization_field: reports_load.then_some(0),
            ..settings(RetrySafety::Idempotent)
        }
    }

    /// The number of connections that a warm server can hold.
    fn capacity(&self) -> f64 {
        CAPACITY_RATIO * self.connections_per_server as f64
    }

    fn warm_server_names(&self, seed: u64) -> impl Iterator<Item = String> {
        let lost_servers = self.lost_servers;
        (0..self.warm_servers).map(move |number| {
            let kind = if number < lost_servers {
                "lost"
            } else {
                "warm"
            };
            format!("{kind}-{number}-{seed}")
        })
    }

    fn warm_endpoints(&self, seed: u64) -> Vec<Endpoint> {
        self.warm_server_names(seed)
            .map(|name| endpoint(&name))
            .collect()
    }

    fn warming_endpoints(&self, seed: u64, started_at: u64) -> impl Iterator<Item = Endpoint> {
        (0..self.warming_servers).map(move |number| Endpoint {
            started_at: Some(Timestamp(started_at)),
            ..endpoint(&format!("cold-{number}-{seed}"))
        })
    }
}

fn is_lost_server(server: &str) -> bool {
    server.starts_with("lost")
}

/// Returns true if the client does not wait for an answer.
fn has_ended(record: &RequestRecord) -> bool {
    record.is_established || record.is_answered()
}

/// A client that sends a request, and sends it again whenever it loses its connection.
struct Client {
    key: String,
    group: Option<String>,
}

/// A scheduled reconnect of a client.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reconnect {
    due_at: u64,
    client: usize,
}

/// All nodes with their clients and servers.
struct Fleet {
    scenario: Scenario,
    /// Also part of the servers' names, so that their ranking differs between seeds.
    seed: u64,
    rng: Pcg32,
    nodes: Vec<Harness>,
    clients: Vec<Client>,
    /// The client of each request, by request id.
    clients_of_requests: Vec<usize>,
    reconnects: BTreeSet<Reconnect>,
    /// The latest deadline of a reconnecting client's request.
    last_deadline: u64,
    /// The time of the last check for migrated connections.
    migrations_checked_at: u64,
    /// The number of requests before the incident.
    initial_request_count: u64,
    started_at: u64,
    now: u64,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let nodes: Vec<Harness> = (0..scenario.node_count)
            .map(|node| Harness::new(scenario.settings(), u64::from(node) + 1))
            .collect();
        let now = nodes[0].now;
        Fleet {
            scenario,
            seed,
            rng: Pcg32::seed_from_u64(seed),
            nodes,
            clients: vec![],
            clients_of_requests: vec![],
            reconnects: BTreeSet::new(),
            last_deadline: now,
            migrations_checked_at: now,
            initial_request_count: 0,
            started_at: now + WARM_ONLY_MS * MS,
            now,
        }
    }

    fn request_of(&mut self, client: usize) -> RequestInfo {
        let id = self.clients_of_requests.len() as u64;
        self.clients_of_requests.push(client);
        let deadline = self.now + REQUEST_TIMEOUT_MS * MS;
        let client = &self.clients[client];
        RequestInfo {
            group: client.group.clone(),
            ..request(id, &client.key, deadline)
        }
    }

    fn new_client(&mut self, grouping: Grouping) -> usize {
        let group = match grouping {
            Grouping::Ungrouped => None,
            Grouping::ZipfGroups => Some(draw_group(&mut self.rng)),
        };
        let number = self.clients.len();
        let key = format!("client:{number}");
        self.clients.push(Client { key, group });
        number
    }

    /// Adds connections of clients at all nodes to the warm servers.
    fn fill_warm_servers(&mut self, grouping: Grouping) {
        for node in &mut self.nodes {
            node.set_endpoints(self.scenario.warm_endpoints(self.seed));
        }
        for server in self.scenario.warm_server_names(self.seed) {
            let node_count = if is_lost_server(&server) {
                self.scenario.holding_node_count
            } else {
                u64::from(self.scenario.node_count)
            };
            for _ in 0..self.scenario.connections_per_server {
                let client = self.new_client(grouping);
                let node = draw(&mut self.rng, node_count) as usize;
                let info = self.request_of(client);
                self.nodes[node].inherit_connection(info, &server);
            }
        }
        self.initial_request_count = self.clients_of_requests.len() as u64;
    }

    /// Starts servers and runs until they have the scenario's age.
    fn start_warming_servers(&mut self) {
        self.run_until(self.started_at);
        let warming = self.scenario.warming_endpoints(self.seed, self.started_at);
        let entries: Vec<Endpoint> = self
            .scenario
            .warm_endpoints(self.seed)
            .into_iter()
            .chain(warming)
            .collect();
        for node in &mut self.nodes {
            node.set_endpoints(entries.clone());
        }
        self.run_until(self.started_at + self.scenario.warming_age_ms * MS);
    }

    /// Breaks the connections of many clients at once.
    fn begin_incident(&mut self) {
        match self.scenario.incident {
            Incident::ServersFail => self.reset_lost_servers(1),
            Incident::ServersDropHalf => self.reset_lost_servers(2),
            Incident::NodeFails => {
                let ids: Vec<u64> = self.nodes[FAILED_NODE].requests.keys().copied().collect();
                for id in ids {
                    self.schedule_reconnect(id);
                }
            }
        }
    }

    /// Resets one in `step` connections of the lost servers.
    fn reset_lost_servers(&mut self, step: usize) {
        for node in 0..self.nodes.len() {
            let requests = &self.nodes[node].requests;
            let is_on_lost_server =
                |record: &RequestRecord| is_lost_server(&record.attempts[0].server.0);
            let ids: Vec<u64> = requests
                .iter()
                .filter(|(_, record)| is_on_lost_server(record))
                .map(|(id, _)| *id)
                .step_by(step)
                .collect();
            for id in ids {
                self.nodes[node].end_attempt(id, Outcome::Reset);
                self.schedule_reconnect(id);
            }
        }
    }

    fn schedule_reconnect(&mut self, id: u64) {
        let spread = MAX_RECONNECT_DELAY_MS - MIN_RECONNECT_DELAY_MS;
        let delay_ms = MIN_RECONNECT_DELAY_MS + draw(&mut self.rng, spread);
        self.reconnects.insert(Reconnect {
            due_at: self.now + delay_ms * MS,
            client: self.clients_of_requests[id as usize],
        });
    }

    fn is_running(&self, node: usize) -> bool {
        let has_wave_begun = self.now >= self.started_at + self.scenario.warming_age_ms * MS;
        let has_node_failed = has_wave_begun && self.scenario.incident == Incident::NodeFails;
        !has_node_failed || node != FAILED_NODE
    }

    fn draw_running_node(&mut self) -> usize {
        loop {
            let node = draw(&mut self.rng, u64::from(self.scenario.node_count)) as usize;
            if self.is_running(node) {
                return node;
            }
        }
    }

    fn refuses_connections(&self, server: &str) -> bool {
        self.scenario.incident == Incident::ServersFail && is_lost_server(server)
    }

    /// Runs until `until`, in steps of one connection setup while clients wait.
    fn run_until(&mut self, until: u64) {
        while self.now < until {
            let step_end = (self.now + self.step_ms() * MS).min(until);
            self.receive_reconnects(step_end);
            self.now = step_end;
            for node in 0..self.nodes.len() {
                if self.is_running(node) {
                    self.nodes[node].advance_to(step_end);
                    self.answer_health_checks(node);
                    self.settle_attempts(node);
                }
            }
            self.disconnect_migrated_clients();
        }
    }

    fn step_ms(&self) -> u64 {
        let is_request_due = self.now < self.last_deadline;
        if is_request_due || !self.reconnects.is_empty() {
            SETUP_MS
        } else {
            IDLE_STEP_MS
        }
    }

    fn receive_reconnects(&mut self, until: u64) {
        while self
            .reconnects
            .first()
            .is_some_and(|next| next.due_at <= until)
        {
            let Some(next) = self.reconnects.pop_first() else {
                return;
            };
            self.now = next.due_at;
            let node = self.draw_running_node();
            let info = RequestInfo {
                is_reconnect: true,
                ..self.request_of(next.client)
            };
            self.last_deadline = info.deadline.0;
            self.nodes[node].advance_to(next.due_at);
            self.nodes[node].receive(info);
        }
    }

    fn answer_health_checks(&mut self, node: usize) {
        for server in std::mem::take(&mut self.nodes[node].pending_health_checks) {
            let passed = !self.refuses_connections(&server.0);
            let utilization = if server.0.starts_with("cold") {
                IDLE_UTILIZATION
            } else {
                WARM_UTILIZATION
            };
            self.nodes[node].deliver(Event::HealthCheckCompleted {
                server,
                passed,
                report: passed.then(|| vec![utilization]),
            });
        }
    }

    /// Running servers accept connection setups, failed ones refuse them.
    fn settle_attempts(&mut self, node: usize) {
        let is_in_setup =
            |record: &RequestRecord| !record.is_established && record.has_attempt_in_flight();
        let node_state = &self.nodes[node];
        let in_setup: Vec<u64> = node_state
            .attempt_deadlines
            .keys()
            .copied()
            .filter(|id| is_in_setup(&node_state.requests[id]))
            .collect();
        for id in in_setup {
            let server = self.nodes[node].server_of(id);
            if server.is_some_and(|server| self.refuses_connections(&server)) {
                self.nodes[node].end_attempt(id, Outcome::ConnectFailed);
            } else {
                self.nodes[node].establish(id);
            }
        }
    }

    /// Disconnects migrated clients, which then reconnect. Checks for them once per idle step.
    fn disconnect_migrated_clients(&mut self) {
        if self.now < self.migrations_checked_at + IDLE_STEP_MS * MS {
            return;
        }
        self.migrations_checked_at = self.now;
        let is_migrated = |record: &RequestRecord| {
            record.is_established && record.is_answered() && record.has_attempt_in_flight()
        };
        for node in 0..self.nodes.len() {
            let requests = &self.nodes[node].requests;
            let migrated: Vec<u64> = requests
                .iter()
                .filter(|(_, record)| is_migrated(record))
                .map(|(id, _)| *id)
                .collect();
            for id in migrated {
                self.nodes[node].end_attempt(id, Outcome::Served);
                self.schedule_reconnect(id);
            }
        }
    }

    /// Returns the records of the reconnecting clients' requests.
    fn reconnect_records(&self) -> impl Iterator<Item = &RequestRecord> {
        let records = self.nodes.iter().flat_map(|node| &node.requests);
        records
            .filter(|(id, _)| **id >= self.initial_request_count)
            .map(|(_, record)| record)
    }
}

struct WaveResult {
    reconnected: usize,
    /// Requests that were neither served nor answered.
    waiting: usize,
    sent_to_warming: usize,
    /// The maximum load of a server in slow start in an overload window, as a fraction of its capacity.
    load_ratio: f64,
}

fn run_wave(scenario: Scenario, grouping: Grouping, seed: u64) -> WaveResult {
    let mut fleet = Fleet::new(scenario, seed);
    fleet.fill_warm_servers(grouping);
    fleet.start_warming_servers();
    fleet.begin_incident();
    fleet.run_until(fleet.now + (MAX_RECONNECT_DELAY_MS + 2 * REQUEST_TIMEOUT_MS) * MS);
    let sent = sent_requests(fleet.reconnect_records());
    WaveResult {
        reconnected: fleet.reconnect_records().count(),
        waiting: fleet
            .reconnect_records()
            .filter(|record| !has_ended(record))
            .count(),
        sent_to_warming: sent
            .iter()
            .filter(|request| request.is_to_warming_server())
            .count(),
        load_ratio: max_load_ratio(
            &scenario.settings(),
            scenario.capacity(),
            &sent,
            fleet.started_at,
        ),
    }
}

/// Guards against servers in slow start that fail from overload in a wave that no endpoint list reports.
#[rstest]
#[case::one_warming_server(SMALL_FLEET)]
#[case::three_warming_servers(Scenario { warming_servers: 3, ..SMALL_FLEET })]
#[case::one_warming_server_that_reports_to_be_idle(Scenario {
    load_reports: LoadReports::WarmingServersIdle,
    ..SMALL_FLEET
})]
#[case::three_warming_servers_that_report_to_be_idle(Scenario {
    warming_servers: 3,
    load_reports: LoadReports::WarmingServersIdle,
    ..SMALL_FLEET
})]
#[case::servers_that_drop_half(Scenario { incident: Incident::ServersDropHalf, ..SMALL_FLEET })]
#[case::a_node_that_fails(Scenario { incident: Incident::NodeFails, ..SMALL_FLEET })]
#[case::hundreds_of_nodes_one_warming_server(LARGE_FLEET)]
#[case::hundreds_of_nodes_three_warming_servers(Scenario { warming_servers: 3, ..LARGE_FLEET })]
#[case::hundreds_of_nodes_few_of_which_lose_connections(Scenario {
    holding_node_count: 30,
    ..LARGE_FLEET
})]
#[case::hundreds_of_nodes_that_saved_attempts(Scenario {
    warming_servers: 3,
    warming_age_ms: LONGER_WARMING_AGE_MS,
    ..LARGE_FLEET
})]
#[case::hundreds_of_nodes_and_most_servers_lost(MOST_SERVERS_LOST)]
#[case::hundreds_of_nodes_and_most_servers_lost_and_warming_ones_idle(Scenario {
    load_reports: LoadReports::WarmingServersIdle,
    ..MOST_SERVERS_LOST
})]
#[case::hundreds_of_nodes_and_most_servers_warming(Scenario {
    warm_servers: 47,
    lost_servers: 27,
    connections_per_server: 16,
    warming_servers: 50,
    ..LARGE_FLEET
})]
fn an_unlisted_wave_overloads_no_server_in_slow_start(
    #[case] scenario: Scenario,
    #[values(Grouping::Ungrouped, Grouping::ZipfGroups)] grouping: Grouping,
) {
    let results: Vec<WaveResult> = SEEDS
        .map(|seed| run_wave(scenario, grouping, seed))
        .collect();
    for (seed, result) in SEEDS.zip(&results) {
        println!(
            "seed {seed}: {} reconnected, {} sent to servers in slow start, {:.2} of the capacity of one, {} waiting",
            result.reconnected, result.sent_to_warming, result.load_ratio, result.waiting
        );
    }
    let sent_to_warming: usize = results.iter().map(|result| result.sent_to_warming).sum();
    assert!(
        sent_to_warming > 0,
        "no request was sent to servers in slow start"
    );
    for (seed, result) in SEEDS.zip(&results) {
        assert_eq!(result.waiting, 0, "seed {seed}: requests that still wait");
        assert!(
            result.load_ratio <= 1.0,
            "seed {seed}: {:.2} of the capacity of one server",
            result.load_ratio
        );
    }
}
