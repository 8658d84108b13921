//! Large groups in slow start: warm servers refuse and drop connections for seconds, so that returning clients and first
//! requests go on to servers in slow start, which could bear them all in the mean. No group overloads one of them.

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
const COLD_SERVERS: u64 = 50;
const CONNECTIONS_PER_SERVER: u64 = 16;
/// Connections that a warm server can have: services are run at half of that or less.
const CAPACITY: f64 = 2.0 * CONNECTIONS_PER_SERVER as f64;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// How long first requests come before servers start: 1.5 at each node in the mean.
const QUIET_MS: u64 = 10_000;
/// How old the servers in slow start are when the warm ones become overloaded.
const COLD_AGE_MS: u64 = 8_000;
const OVERLOAD_MS: u64 = 4_000;
/// How long a connection setup takes at most.
const STEP_MS: u64 = 10;
/// A client whose connection was dropped returns no sooner than this, and within this time.
const MIN_RETURN_DELAY_MS: u64 = 20;
const MAX_RETURN_DELAY_MS: u64 = 1_900;
/// An overloaded server accepts one of so many new connections.
const CONNECTIONS_PER_ACCEPTED: u64 = 4;
/// How often one of the warm servers in turn drops half of its connections.
const DROP_INTERVAL_MS: u64 = 200;

/// What comes while the warm servers are overloaded.
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
    const QUIET: Demand = Demand {
        first_requests_per_second: 45,
        ..Demand::NONE
    };
    const FIRST_REQUESTS: Demand = Demand {
        first_requests_per_second: 100,
        ..Demand::NONE
    };
    const RETURNING_CLIENTS: Demand = Demand {
        drops_connections: true,
        ..Demand::NONE
    };
    const BOTH: Demand = Demand {
        drops_connections: true,
        ..Demand::QUIET
    };
}

#[derive(Clone, Copy)]
struct Scenario {
    demand: Demand,
    /// How overloaded servers refuse a connection.
    refusal: Outcome,
}

fn group_settings() -> Settings {
    Settings {
        node_count: NODE_COUNT,
        overload_window: ms(1_500),
        ..settings(RetrySafety::Idempotent)
    }
}

/// The seed is part of the servers' names: each ranks them otherwise.
fn endpoints(kind: &str, count: u64, seed: u64) -> Vec<Endpoint> {
    let names = (0..count).map(|number| format!("{kind}-{number}-{seed}"));
    names.map(|name| endpoint(&name)).collect()
}

struct Client {
    key: String,
    group: String,
}

/// A client is about to send its request anew.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ClientReturn {
    due_at: u64,
    client: usize,
}

/// A request at a node.
#[derive(Clone, Copy)]
struct Placed {
    node: usize,
    request: u64,
}

/// All nodes, and the clients and servers around them.
struct Fleet {
    random: Pcg32,
    nodes: Vec<Harness>,
    clients: Vec<Client>,
    /// The client of each request, by its id.
    clients_of_requests: Vec<usize>,
    returns: BTreeSet<ClientReturn>,
    warm: Vec<Endpoint>,
    next_dropped: usize,
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
            random: Pcg32::seed_from_u64(seed),
            nodes,
            clients: vec![],
            clients_of_requests: vec![],
            returns: BTreeSet::new(),
            warm: endpoints("warm", WARM_SERVERS, seed),
            next_dropped: 0,
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
        let group = draw_group(&mut self.random);
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
        draw(&mut self.random, u64::from(NODE_COUNT)) as usize
    }

    /// Warm servers hold connections of clients at all nodes.
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

    /// Servers start, and grow older while little happens.
    fn start_cold_servers(&mut self, seed: u64) -> u64 {
        let started_at = self.now;
        let mut entries = endpoints("cold", COLD_SERVERS, seed);
        for server in &mut entries {
            server.started_at = Some(Timestamp(started_at));
        }
        entries.extend(self.warm.clone());
        self.list_servers(&entries);
        started_at
    }

    fn play(&mut self, duration_ms: u64, demand: Demand) {
        for step in 0..duration_ms / STEP_MS {
            if demand.drops_connections && step % (DROP_INTERVAL_MS / STEP_MS) == 0 {
                self.drop_connections();
            }
            self.receive_first_requests(demand);
            self.receive_returns();
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

    fn receive_returns(&mut self) {
        while self
            .returns
            .first()
            .is_some_and(|next| next.due_at <= self.now)
        {
            if let Some(next) = self.returns.pop_first() {
                self.receive(next.client, true);
            }
        }
    }

    /// The next warm server drops every other connection, at all nodes.
    fn drop_connections(&mut self) {
        let server = self.warm[self.next_dropped % self.warm.len()]
            .server
            .clone();
        self.next_dropped += 1;
        let mut held: Vec<Placed> = vec![];
        for (node, harness) in self.nodes.iter().enumerate() {
            let on_server = harness.requests.iter().filter(|(_, record)| {
                record.is_established
                    && record.has_attempt_in_flight()
                    && record
                        .attempts
                        .last()
                        .is_some_and(|last| last.server == server)
            });
            held.extend(on_server.map(|(id, _)| Placed { node, request: *id }));
        }
        for dropped in held.into_iter().step_by(2) {
            self.nodes[dropped.node].end_attempt(dropped.request, Outcome::Reset);
            self.schedule_return(dropped.request);
        }
    }

    fn schedule_return(&mut self, request: u64) {
        let spread = MAX_RETURN_DELAY_MS - MIN_RETURN_DELAY_MS;
        let delay_ms = MIN_RETURN_DELAY_MS + draw(&mut self.random, spread);
        self.returns.insert(ClientReturn {
            due_at: self.now + delay_ms * MS,
            client: self.clients_of_requests[request as usize],
        });
    }

    /// Connections are established, less those that an overloaded server refuses.
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
            let is_refused = self.is_overloaded
                && is_warm
                && draw(&mut self.random, CONNECTIONS_PER_ACCEPTED) > 0;
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

/// What came of one play.
struct PlayResult {
    sent_to_cold: usize,
    waiting: usize,
    /// The most that a server in slow start was sent within a window, as a part of what it bears.
    load_ratio: f64,
    /// What it would be if all servers in slow start were sent the same.
    mean_ratio: f64,
}

fn play(scenario: Scenario, seed: u64) -> PlayResult {
    let mut fleet = Fleet::new(scenario.refusal, seed);
    fleet.fill_warm_servers();
    fleet.play(QUIET_MS, Demand::QUIET);
    let started_at = fleet.start_cold_servers(seed);
    fleet.play(COLD_AGE_MS, Demand::QUIET);
    fleet.is_overloaded = true;
    let overloaded_at = fleet.now;
    fleet.play(OVERLOAD_MS, scenario.demand);
    fleet.play(MAX_RETURN_DELAY_MS + 2 * REQUEST_TIMEOUT_MS, Demand::NONE);
    let sent = sent_requests(fleet.records());
    let late = sent
        .iter()
        .filter(|one| one.is_to_cold_server() && one.sent_at >= overloaded_at);
    let sent_to_cold = late.count();
    let settings = group_settings();
    let bears = max_requests(&settings, CAPACITY, ms(COLD_AGE_MS));
    let windows = OVERLOAD_MS as f64 / 1_500.0;
    PlayResult {
        sent_to_cold,
        waiting: fleet.waiting_count(),
        load_ratio: max_load_ratio(&settings, CAPACITY, &sent, started_at),
        mean_ratio: sent_to_cold as f64 / COLD_SERVERS as f64 / windows / bears,
    }
}

/// Guards against servers in slow start that fall because a large group comes to one of them as a whole.
#[rstest]
#[case::of_first_requests(Demand::FIRST_REQUESTS, Outcome::Rejected)]
#[case::of_returning_clients(Demand::RETURNING_CLIENTS, Outcome::Rejected)]
#[case::of_both(Demand::BOTH, Outcome::Rejected)]
#[case::of_both_while_all_servers_are_ejected(Demand::BOTH, Outcome::ConnectFailed)]
fn a_large_group_overloads_no_server_in_slow_start(
    #[case] demand: Demand,
    #[case] refusal: Outcome,
) {
    let scenario = Scenario { demand, refusal };
    let results: Vec<PlayResult> = SEEDS.map(|seed| play(scenario, seed)).collect();
    for (seed, result) in SEEDS.zip(&results) {
        println!(
            "seed {seed}: {} sent to servers in slow start, {:.2} of what one bears, {:.2} in the mean, {} waiting",
            result.sent_to_cold, result.load_ratio, result.mean_ratio, result.waiting
        );
    }
    for (seed, result) in SEEDS.zip(&results) {
        assert_eq!(result.waiting, 0, "seed {seed}: left waiting");
        assert!(
            result.sent_to_cold > 0,
            "seed {seed}: they are filled as well"
        );
        assert!(
            result.load_ratio <= 1.0,
            "seed {seed}: {:.2} of what one server bears",
            result.load_ratio
        );
    }
}
