//! Large groups in slow start: warm servers refuse and drop connections for seconds, so that reconnecting clients and
//! first requests are sent to servers in slow start, which can accept all of them on average. No group overloads one.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use rstest::rstest;
use std::collections::BTreeSet;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const NODE_COUNT: u32 = 300;
const WARM_SERVERS: u64 = 36;
const WARMING_SERVERS: u64 = 50;
const CONNECTIONS_PER_SERVER: u64 = 16;
/// Connections that a warm server can hold: services run at half of their capacity or less.
const CAPACITY: f64 = 2.0 * CONNECTIONS_PER_SERVER as f64;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// The duration of light demand before further servers start: 1.5 first requests at each node on average.
const WARM_ONLY_MS: u64 = 10_000;
/// The age of the servers in slow start when the warm ones become overloaded.
const WARMING_AGE_MS: u64 = 8_000;
const OVERLOAD_MS: u64 = 4_000;
/// The time step, which is also the maximum duration of a connection setup.
const STEP_MS: u64 = 10;
/// The minimum and maximum time between the loss of a connection and the client's reconnect.
const MIN_RECONNECT_DELAY_MS: u64 = 20;
const MAX_RECONNECT_DELAY_MS: u64 = 1_900;
/// An overloaded server accepts one in `CONNECTIONS_PER_ACCEPTED` new connections.
const CONNECTIONS_PER_ACCEPTED: u64 = 4;
/// The interval at which the warm servers, one after another, drop half of their connections.
const DROP_INTERVAL_MS: u64 = 200;

/// The requests that arrive, and the connections that break, during a part of the run.
#[derive(Clone, Copy)]
struct Demand {
    first_requests_per_second: u64,
    drops_connections: bool,
}

impl Demand {
    const NONE: Demand = Demand {
        first_requests_per_second: 0,
        drops_connections: false,
    };
    const LIGHT: Demand = Demand {
        first_requests_per_second: 45,
        ..Demand::NONE
    };
    const FIRST_REQUESTS: Demand = Demand {
        first_requests_per_second: 100,
        ..Demand::NONE
    };
    const RECONNECTS: Demand = Demand {
        drops_connections: true,
        ..Demand::NONE
    };
    const BOTH: Demand = Demand {
        drops_connections: true,
        ..Demand::LIGHT
    };
}

#[derive(Clone, Copy)]
struct Scenario {
    demand: Demand,
    /// The outcome with which overloaded servers refuse a connection.
    refusal: Outcome,
}

fn group_settings() -> Settings {
    Settings {
        node_count: NODE_COUNT,
        overload_window: ms(1_500),
        ..settings(RetrySafety::Idempotent)
    }
}

/// The seed is part of the servers' names, so that their ranking differs between seeds.
fn endpoints(kind: &str, count: u64, seed: u64) -> Vec<Endpoint> {
    let names = (0..count).map(|number| format!("{kind}-{number}-{seed}"));
    names.map(|name| endpoint(&name)).collect()
}

struct Client {
    key: String,
    group: String,
}

/// A scheduled reconnect of a client.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reconnect {
    due_at: u64,
    client: usize,
}

/// A connection at a node.
#[derive(Clone, Copy)]
struct NodeConnection {
    node: usize,
    request: u64,
}

/// All nodes with their clients and servers.
struct Fleet {
    rng: Pcg32,
    nodes: Vec<Harness>,
    clients: Vec<Client>,
    /// The client of each request, by request id.
    clients_of_requests: Vec<usize>,
    reconnects: BTreeSet<Reconnect>,
    warm: Vec<Endpoint>,
    next_dropping_server: usize,
    next_first_request_at: u64,
    is_overloaded: bool,
    refusal: Outcome,
    now: u64,
}

impl Fleet {
    fn new(refusal: Outcome, seed: u64) -> Fleet {
        let new_node = |node| Harness::new(group_settings(), u64::from(node) + 1);
        let nodes: Vec<Harness> = (0..NODE_COUNT).map(new_node).collect();
        let now = nodes[0].now;
        Fleet {
            rng: Pcg32::seed_from_u64(seed),
            nodes,
            clients: vec![],
            clients_of_requests: vec![],
            reconnects: BTreeSet::new(),
            warm: endpoints("warm", WARM_SERVERS, seed),
            next_dropping_server: 0,
            next_first_request_at: now,
            is_overloaded: false,
            refusal,
            now,
        }
    }

    fn list_servers(&mut self, entries: &[Endpoint]) {
        for node in &mut self.nodes {
            node.set_endpoints(entries.to_vec());
        }
    }

    fn new_client(&mut self) -> usize {
        let key = format!("client:{}", self.clients.len());
        let group = draw_group(&mut self.rng);
        self.clients.push(Client { key, group });
        self.clients.len() - 1
    }

    fn request_of(&mut self, client: usize) -> RequestInfo {
        let id = self.clients_of_requests.len() as u64;
        self.clients_of_requests.push(client);
        let client = &self.clients[client];
        RequestInfo {
            group: Some(client.group.clone()),
            ..request(id, &client.key, self.now + REQUEST_TIMEOUT_MS * MS)
        }
    }

    fn draw_node(&mut self) -> usize {
        draw(&mut self.rng, u64::from(NODE_COUNT)) as usize
    }

    /// Adds connections of clients at all nodes to the warm servers.
    fn fill_warm_servers(&mut self) {
        let warm = self.warm.clone();
        self.list_servers(&warm);
        for server in &warm {
            for _ in 0..CONNECTIONS_PER_SERVER {
                let client = self.new_client();
                let info = self.request_of(client);
                let node = self.draw_node();
                self.nodes[node].inherit_connection(info, &server.server.0);
            }
        }
    }

    /// Adds servers in slow start to the endpoint list and returns their start time.
    fn start_warming_servers(&mut self, seed: u64) -> u64 {
        let started_at = self.now;
        let mut entries = endpoints("cold", WARMING_SERVERS, seed);
        for server in &mut entries {
            server.started_at = Some(Timestamp(started_at));
        }
        entries.extend(self.warm.clone());
        self.list_servers(&entries);
        started_at
    }

    fn run(&mut self, duration_ms: u64, demand: Demand) {
        for step in 0..duration_ms / STEP_MS {
            if demand.drops_connections && step % (DROP_INTERVAL_MS / STEP_MS) == 0 {
                self.drop_connections();
            }
            self.receive_first_requests(demand);
            self.receive_reconnects();
            self.now += STEP_MS * MS;
            for node in 0..self.nodes.len() {
                self.nodes[node].advance_to(self.now);
                self.settle_attempts(node);
            }
        }
    }

    fn receive(&mut self, client: usize, is_reconnect: bool) {
        let info = RequestInfo {
            is_reconnect,
            ..self.request_of(client)
        };
        let node = self.draw_node();
        self.nodes[node].advance_to(self.now);
        self.nodes[node].receive(info);
    }

    fn receive_first_requests(&mut self, demand: Demand) {
        if demand.first_requests_per_second == 0 {
            return;
        }
        let interval = 1_000 * MS / demand.first_requests_per_second;
        self.next_first_request_at = self.next_first_request_at.max(self.now);
        while self.next_first_request_at < self.now + STEP_MS * MS {
            let client = self.new_client();
            self.receive(client, false);
            self.next_first_request_at += interval;
        }
    }

    fn receive_reconnects(&mut self) {
        while self
            .reconnects
            .first()
            .is_some_and(|next| next.due_at <= self.now)
        {
            if let Some(next) = self.reconnects.pop_first() {
                self.receive(next.client, true);
            }
        }
    }

    /// Lets the next warm server drop every other one of its connections, at all nodes.
    fn drop_connections(&mut self) {
        let server = self.warm[self.next_dropping_server % self.warm.len()]
            .server
            .clone();
        self.next_dropping_server += 1;
        let mut connections: Vec<NodeConnection> = vec![];
        for (node, harness) in self.nodes.iter().enumerate() {
            let on_server = harness.requests.iter().filter(|(_, record)| {
                record.is_established
                    && record.has_attempt_in_flight()
                    && record
                        .attempts
                        .last()
                        .is_some_and(|last| last.server == server)
            });
            connections.extend(on_server.map(|(id, _)| NodeConnection { node, request: *id }));
        }
        for dropped in connections.into_iter().step_by(2) {
            self.nodes[dropped.node].end_attempt(dropped.request, Outcome::Reset);
            self.schedule_reconnect(dropped.request);
        }
    }

    fn schedule_reconnect(&mut self, request: u64) {
        let spread = MAX_RECONNECT_DELAY_MS - MIN_RECONNECT_DELAY_MS;
        let delay_ms = MIN_RECONNECT_DELAY_MS + draw(&mut self.rng, spread);
        self.reconnects.insert(Reconnect {
            due_at: self.now + delay_ms * MS,
            client: self.clients_of_requests[request as usize],
        });
    }

    /// Establishes connections, except those that an overloaded server refuses.
    fn settle_attempts(&mut self, node: usize) {
        let in_setup: Vec<u64> = self.nodes[node].attempt_deadlines.keys().copied().collect();
        for id in in_setup {
            let record = &self.nodes[node].requests[&id];
            if record.is_established || !record.has_attempt_in_flight() {
                continue;
            }
            let is_warm = self.nodes[node]
                .server_of(id)
                .is_some_and(|name| name.starts_with("warm"));
            let is_refused =
                self.is_overloaded && is_warm && draw(&mut self.rng, CONNECTIONS_PER_ACCEPTED) > 0;
            if is_refused {
                self.nodes[node].end_attempt(id, self.refusal);
            } else {
                self.nodes[node].establish(id);
            }
        }
    }

    fn records(&self) -> impl Iterator<Item = &RequestRecord> {
        self.nodes.iter().flat_map(|node| node.requests.values())
    }

    fn waiting_count(&self) -> usize {
        self.records()
            .filter(|record| !record.is_established && !record.is_answered())
            .count()
    }
}

struct RunResult {
    sent_to_warming: usize,
    waiting: usize,
    /// The maximum load of a server in slow start in an overload window, as a fraction of its capacity.
    load_ratio: f64,
    /// The load if all servers in slow start were sent equal numbers of requests.
    mean_ratio: f64,
}

fn run(scenario: Scenario, seed: u64) -> RunResult {
    let mut fleet = Fleet::new(scenario.refusal, seed);
    fleet.fill_warm_servers();
    fleet.run(WARM_ONLY_MS, Demand::LIGHT);
    let started_at = fleet.start_warming_servers(seed);
    fleet.run(WARMING_AGE_MS, Demand::LIGHT);
    fleet.is_overloaded = true;
    let overloaded_at = fleet.now;
    fleet.run(OVERLOAD_MS, scenario.demand);
    fleet.run(
        MAX_RECONNECT_DELAY_MS + 2 * REQUEST_TIMEOUT_MS,
        Demand::NONE,
    );
    let sent = sent_requests(fleet.records());
    let to_warming = sent
        .iter()
        .filter(|request| request.is_to_warming_server() && request.sent_at >= overloaded_at);
    let sent_to_warming = to_warming.count();
    let settings = group_settings();
    let max_requests_per_window = max_requests(&settings, CAPACITY, ms(WARMING_AGE_MS));
    let windows = OVERLOAD_MS as f64 / 1_500.0;
    RunResult {
        sent_to_warming,
        waiting: fleet.waiting_count(),
        load_ratio: max_load_ratio(&settings, CAPACITY, &sent, started_at),
        mean_ratio: sent_to_warming as f64
            / WARMING_SERVERS as f64
            / windows
            / max_requests_per_window,
    }
}

/// Guards against servers in slow start that fail from overload because a whole large group is placed on one of them.
#[rstest]
#[case::of_first_requests(Demand::FIRST_REQUESTS, Outcome::Rejected)]
#[case::of_reconnecting_clients(Demand::RECONNECTS, Outcome::Rejected)]
#[case::of_both(Demand::BOTH, Outcome::Rejected)]
#[case::of_both_while_all_servers_are_ejected(Demand::BOTH, Outcome::ConnectFailed)]
fn a_large_group_overloads_no_server_in_slow_start(
    #[case] demand: Demand,
    #[case] refusal: Outcome,
) {
    let scenario = Scenario { demand, refusal };
    let results: Vec<RunResult> = SEEDS.map(|seed| run(scenario, seed)).collect();
    for (seed, result) in SEEDS.zip(&results) {
        println!(
            "seed {seed}: {} sent to servers in slow start, {:.2} of the capacity of one, {:.2} on average, {} waiting",
            result.sent_to_warming, result.load_ratio, result.mean_ratio, result.waiting
        );
    }
    for (seed, result) in SEEDS.zip(&results) {
        assert_eq!(result.waiting, 0, "seed {seed}: requests that still wait");
        assert!(
            result.sent_to_warming > 0,
            "seed {seed}: no request was sent to servers in slow start"
        );
        assert!(
            result.load_ratio <= 1.0,
            "seed {seed}: {:.2} of the capacity of one server",
            result.load_ratio
        );
    }
}
