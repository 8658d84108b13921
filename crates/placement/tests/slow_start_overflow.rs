//! A steady demand of first requests while the warm servers refuse new connections because of the load that they
//! report: hundreds of nodes together send a server in slow start no more than it can accept.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use rstest::rstest;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
const NODE_COUNT: u32 = 300;
const WARM_SERVERS: u64 = 20;
const WARMING_SERVERS: u64 = 2;
const CONNECTIONS_PER_SERVER: u64 = 200;
const CONNECTION_COUNT: u64 = WARM_SERVERS * CONNECTIONS_PER_SERVER;
/// Utilization that warm servers report at first.
const USUAL_UTILIZATION: f64 = 0.5;
/// Utilization at which warm servers refuse most new connections.
const HIGH_UTILIZATION: f64 = 0.8;
/// Connections that a warm server can hold.
const CAPACITY: f64 = CONNECTIONS_PER_SERVER as f64 / USUAL_UTILIZATION;
/// The mean duration of a connection.
const MEAN_CONNECTION_MS: u64 = 30_000;
/// The interval between requests, each of which replaces a connection that ends.
const REQUEST_INTERVAL_NS: u64 = MEAN_CONNECTION_MS * MS / CONNECTION_COUNT;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// The duration of the steady demand before further servers start.
const STEADY_DEMAND_MS: u64 = 4_000;
/// The age of the servers in slow start when the warm ones report another utilization.
const WARMING_AGE_MS: u64 = 6_000;
/// The duration of the demand after that.
const LAST_DEMAND_MS: u64 = 4_000;
/// The maximum duration of a connection setup or a health check.
const STEP_MS: u64 = 10;

fn overflow_settings() -> Settings {
    Settings {
        node_count: NODE_COUNT,
        overload_window: ms(1_500),
        health_checks_allowed: true,
        health_check_cost: 0.001,
        utilization_field: Some(0),
        ..settings(RetrySafety::Idempotent)
    }
}

/// The seed is part of the servers' names, so that their ranking differs between seeds.
fn endpoints(kind: &str, count: u64, seed: u64) -> Vec<Endpoint> {
    let names = (0..count).map(|number| format!("{kind}-{number}-{seed}"));
    names.map(|name| endpoint(&name)).collect()
}

/// All nodes and the requests that they receive.
struct Fleet {
    rng: Pcg32,
    nodes: Vec<Harness>,
    /// The node and the request of each initial connection that has not ended.
    initial_connections: Vec<(usize, u64)>,
    request_count: u64,
    next_request_at: u64,
    now: u64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let new_node = |node| Harness::new(overflow_settings(), u64::from(node) + 1);
        let nodes: Vec<Harness> = (0..NODE_COUNT).map(new_node).collect();
        let now = nodes[0].now;
        Fleet {
            rng: Pcg32::seed_from_u64(seed),
            nodes,
            initial_connections: vec![],
            request_count: 0,
            next_request_at: now,
            now,
        }
    }

    fn list_servers(&mut self, entries: &[Endpoint]) {
        for node in &mut self.nodes {
            node.set_endpoints(entries.to_vec());
        }
    }

    /// Returns a request of a new client and the node that receives it.
    fn new_request(&mut self, now: u64) -> (usize, RequestInfo) {
        let node = draw(&mut self.rng, u64::from(NODE_COUNT)) as usize;
        let id = self.request_count;
        self.request_count += 1;
        let key = format!("client:{id}");
        (node, request(id, &key, now + REQUEST_TIMEOUT_MS * MS))
    }

    /// Adds connections of clients at all nodes to these servers.
    fn fill_servers(&mut self, servers: &[Endpoint]) {
        for server in servers {
            for _ in 0..CONNECTIONS_PER_SERVER {
                let (node, info) = self.new_request(self.now);
                self.initial_connections.push((node, info.request.0));
                self.nodes[node].inherit_connection(info, &server.server.0);
            }
        }
    }

    fn run_demand(&mut self, duration_ms: u64, warm_utilization: f64) {
        for _ in 0..duration_ms / STEP_MS {
            while self.next_request_at < self.now + STEP_MS * MS {
                self.replace_connection();
                self.next_request_at += REQUEST_INTERVAL_NS;
            }
            self.finish_step(warm_utilization);
        }
    }

    /// Ends a connection and delivers another client's first request.
    fn replace_connection(&mut self) {
        let ended = draw(&mut self.rng, self.initial_connections.len() as u64);
        let (node, id) = self.initial_connections.swap_remove(ended as usize);
        self.nodes[node].advance_to(self.next_request_at);
        self.nodes[node].end_attempt(id, Outcome::Served);
        let (node, info) = self.new_request(self.next_request_at);
        self.nodes[node].advance_to(self.next_request_at);
        self.nodes[node].receive(info);
    }

    /// Answers health checks and establishes connections.
    fn finish_step(&mut self, warm_utilization: f64) {
        self.now += STEP_MS * MS;
        for node in &mut self.nodes {
            node.advance_to(self.now);
            answer_health_checks(node, warm_utilization);
            while let Some((id, _)) = node.attempt_deadlines.pop_first() {
                node.establish(id);
            }
        }
    }
}

fn answer_health_checks(node: &mut Harness, warm_utilization: f64) {
    for server in std::mem::take(&mut node.pending_health_checks) {
        let is_idle = server.0.starts_with("cold");
        let utilization = if is_idle { 0.0 } else { warm_utilization };
        node.deliver(Event::HealthCheckCompleted {
            server,
            passed: true,
            report: Some(vec![utilization]),
        });
    }
}

/// Returns the records of the received requests. Each must have been served or answered.
fn received_requests(fleet: &Fleet) -> impl Iterator<Item = &RequestRecord> {
    let records = fleet.nodes.iter().flat_map(|node| &node.requests);
    let received = records.filter(|(id, _)| **id >= CONNECTION_COUNT);
    received.map(|(id, record)| {
        assert!(
            record.is_established || record.is_answered(),
            "request {id} still waits"
        );
        record
    })
}

/// Returns the maximum load of a server in slow start in an overload window, as a fraction of its capacity.
fn run(last_utilization: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::new(seed);
    let warm = endpoints("warm", WARM_SERVERS, seed);
    fleet.list_servers(&warm);
    fleet.fill_servers(&warm);
    fleet.run_demand(STEADY_DEMAND_MS, USUAL_UTILIZATION);
    let started_at = fleet.now;
    let mut warming = endpoints("cold", WARMING_SERVERS, seed);
    for server in &mut warming {
        server.started_at = Some(Timestamp(started_at));
    }
    fleet.list_servers(&[warm, warming].concat());
    fleet.run_demand(WARMING_AGE_MS, USUAL_UTILIZATION);
    fleet.run_demand(LAST_DEMAND_MS, last_utilization);
    for _ in 0..REQUEST_TIMEOUT_MS / STEP_MS {
        fleet.finish_step(last_utilization);
    }
    let sent = sent_requests(received_requests(&fleet));
    let to_warming = sent.iter().filter(|request| request.is_to_warming_server());
    assert!(
        to_warming.count() > 0,
        "no request was sent to servers in slow start"
    );
    max_load_ratio(&overflow_settings(), CAPACITY, &sent, started_at)
}

/// Guards against servers in slow start that fail from overload because they get the requests that warm ones refuse.
#[rstest]
#[case::while_warm_servers_accept_connections(USUAL_UTILIZATION)]
#[case::while_warm_servers_refuse_connections(HIGH_UTILIZATION)]
fn a_steady_demand_overloads_no_server_in_slow_start(#[case] last_utilization: f64) {
    let ratios: Vec<f64> = SEEDS.map(|seed| run(last_utilization, seed)).collect();
    println!("seeds {SEEDS:?}: {ratios:.2?} of the capacity of one server");
    assert!(ratios.iter().all(|ratio| *ratio <= 1.0), "{ratios:.2?}");
}
