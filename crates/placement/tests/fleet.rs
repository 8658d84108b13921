//! A hundred nodes: what they do together when a zone is lost, and when they call discovery.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

const NODE_COUNT: u32 = 100;
const SERVER_COUNT: u32 = 12;
const CLIENT_COUNT: usize = 144;

/// The servers of the zone that is not lost.
const SURVIVORS: [&str; 4] = ["s0", "s3", "s6", "s9"];

/// When the other zone is lost, in nanoseconds.
const LOSS_AT: u64 = 12_000 * MS;
const SIMULATION_END: u64 = LOSS_AT + 9_000 * MS;
const STEP: u64 = 50 * MS;

/// Where a client's connection is established.
#[derive(Clone, Copy)]
struct Connection {
    node: usize,
    request: u64,
}

/// A client with a connection, or waiting to try again.
#[derive(Clone, Copy, Default)]
struct Client {
    connection: Option<Connection>,
    retry_at: u64,
}

/// A fleet of nodes and their clients while two of three servers, all of one zone, are lost at once.
struct ZoneLoss {
    random: Pcg32,
    nodes: Vec<Harness>,
    clients: Vec<Client>,
    request_count: u64,
    now: u64,
}

fn zoned_endpoint(n: u32) -> Endpoint {
    let name = format!("s{n}");
    Endpoint {
        zone: u32::from(!SURVIVORS.contains(&name.as_str())),
        ..endpoint(&name)
    }
}

impl ZoneLoss {
    fn new(seed: u64) -> ZoneLoss {
        let settings = Settings {
            node_count: NODE_COUNT,
            max_attempts: 3,
            ..settings(RetrySafety::Idempotent)
        };
        let mut nodes: Vec<Harness> = (0..NODE_COUNT)
            .map(|n| Harness::new(settings.clone(), seed << 8 | u64::from(n)))
            .collect();
        for node in &mut nodes {
            node.set_endpoints((0..SERVER_COUNT).map(zoned_endpoint).collect());
        }
        ZoneLoss {
            random: Pcg32::seed_from_u64(seed),
            nodes,
            clients: vec![Client::default(); CLIENT_COUNT],
            request_count: 0,
            now: 0,
        }
    }

    /// The number of connections that each survivor has in each second after the loss, if the endpoint list tells of it
    /// `news_delay` milliseconds later.
    fn run(mut self, news_delay: u64) -> Vec<[usize; 4]> {
        let mut connections_by_second = vec![];
        for now in (1_000 * MS..SIMULATION_END).step_by(STEP as usize) {
            self.now = now;
            self.advance_nodes(now == LOSS_AT + news_delay * MS);
            for client in 0..CLIENT_COUNT {
                self.disconnect_if_lost(client);
                self.connect_if_due(client);
            }
            if now >= LOSS_AT && (now - LOSS_AT).is_multiple_of(1_000 * MS) {
                connections_by_second.push(SURVIVORS.map(|server| self.connections_on(server)));
            }
        }
        connections_by_second
    }

    fn advance_nodes(&mut self, is_loss_told: bool) {
        for node in &mut self.nodes {
            node.advance_to(self.now);
            if is_loss_told {
                let endpoints = (0..SERVER_COUNT).map(zoned_endpoint);
                node.set_endpoints(endpoints.filter(|entry| entry.zone == 0).collect());
            }
        }
    }

    /// Whether a request's latest attempt went to a server that is lost by now.
    fn is_lost(&self, connection: Connection) -> bool {
        let server = self.nodes[connection.node].server_of(connection.request);
        self.now >= LOSS_AT && server.is_some_and(|server| !SURVIVORS.contains(&server.as_str()))
    }

    fn disconnect_if_lost(&mut self, client: usize) {
        let Some(connection) = self.clients[client].connection else {
            return;
        };
        let is_lost = self.is_lost(connection);
        let node = &mut self.nodes[connection.node];
        let was_migrated = node.requests[&connection.request].is_answered();
        if !is_lost && !was_migrated {
            return;
        }
        let outcome = if was_migrated {
            Outcome::NotSent
        } else {
            Outcome::Reset
        };
        node.end_attempt(connection.request, outcome);
        self.clients[client] = Client {
            connection: None,
            retry_at: self.now,
        };
    }

    fn connect_if_due(&mut self, client: usize) {
        if self.clients[client].connection.is_some() || self.clients[client].retry_at > self.now {
            return;
        }
        self.request_count += 1;
        let connection = Connection {
            node: (self.random.next_u32() % NODE_COUNT) as usize,
            request: self.request_count,
        };
        let key = format!("user:{client}");
        let info = request(connection.request, &key, self.now + 2_000 * MS);
        self.nodes[connection.node].receive(info);
        while !self.is_answered(connection) && self.is_lost(connection) {
            self.nodes[connection.node].end_attempt(connection.request, Outcome::ConnectFailed);
        }
        let node = &mut self.nodes[connection.node];
        let is_answered = node.requests[&connection.request].is_answered();
        if !is_answered && node.server_of(connection.request).is_some() {
            node.establish(connection.request);
            self.clients[client].connection = Some(connection);
        } else {
            let backoff = 500 + u64::from(self.random.next_u32() % 1_000);
            self.clients[client].retry_at = self.now + backoff * MS;
        }
    }

    fn is_answered(&self, connection: Connection) -> bool {
        self.nodes[connection.node].requests[&connection.request].is_answered()
    }

    fn connections_on(&self, server: &str) -> usize {
        let connections = self.clients.iter().filter_map(|client| client.connection);
        connections
            .filter(|connection| {
                let node = &self.nodes[connection.node];
                node.server_of(connection.request).as_deref() == Some(server)
            })
            .count()
    }
}

/// zone+vast: the four that were left held 65 of 144 on one server, which fell, and then the others in turn.
#[test]
fn the_survivors_of_a_zone_loss_get_what_they_can_carry() {
    let usual = CLIENT_COUNT as f64 / f64::from(SERVER_COUNT);
    for (seed, news_delay) in [(1, 2_000), (2, 2_000), (3, 500)] {
        let held = ZoneLoss::new(seed).run(news_delay);
        for (second, held) in held.iter().enumerate().skip(4) {
            let most = held.iter().max().copied().unwrap_or(0) as f64 / usual;
            let all = held.iter().sum::<usize>() as f64 / usual;
            assert!(
                most < 2.6,
                "seed {seed}, second {second}: {held:?}, one holds {most:.1} of the usual"
            );
            assert!(
                all > 4.0,
                "seed {seed}, second {second}: {held:?}, all hold {all:.1} of the usual"
            );
        }
    }
}

/// When the simulation of a discovery that never answers ends, in nanoseconds.
const DISCOVERY_END: u64 = 20_000 * MS;
const CALL_DURATION: u64 = 2_000 * MS;

/// What happens next to a node; at the same time the node's number decides, and then a failed call before a timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Step {
    at: u64,
    node: usize,
    /// `None` for a call that fails.
    timer: Option<Timer>,
}

/// A fleet that starts at once and calls a discovery where each call fails after two seconds.
struct FailingDiscovery {
    nodes: Vec<Balancer>,
    steps: BTreeSet<Step>,
    /// When each node called, in milliseconds.
    calls: Vec<Vec<u64>>,
}

impl FailingDiscovery {
    fn new(settings: &Settings) -> FailingDiscovery {
        let nodes: Vec<Balancer> = (0..NODE_COUNT)
            .map(|n| Balancer::new(settings.clone(), u64::from(n)))
            .collect();
        FailingDiscovery {
            calls: vec![vec![]; nodes.len()],
            nodes,
            steps: BTreeSet::new(),
        }
    }

    /// When each node called, in milliseconds.
    fn run(mut self) -> Vec<Vec<u64>> {
        for node in (0..self.nodes.len()).rev() {
            self.deliver(0, node, Event::Start);
        }
        while let Some(step) = self.steps.pop_first() {
            if step.at > DISCOVERY_END {
                break;
            }
            let event = step
                .timer
                .map_or(Event::EndpointWatchFailed, Event::TimerFired);
            self.deliver(step.at, step.node, event);
        }
        self.calls
    }

    fn deliver(&mut self, now: u64, node: usize, event: Event) {
        let mut actions = vec![];
        self.nodes[node].handle(Timestamp(now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, timer } => {
                    self.steps.insert(Step {
                        at: now + after.as_nanos() as u64,
                        node,
                        timer: Some(timer),
                    });
                }
                Action::WatchEndpoints => {
                    self.calls[node].push(now / MS);
                    self.steps.insert(Step {
                        at: now + CALL_DURATION,
                        node,
                        timer: None,
                    });
                }
                _ => {}
            }
        }
    }
}

/// herd+vast: all nodes started in the same moment and called discovery at once, then again at once: 500 calls, of
/// which 22 were answered. Here it answers nobody for 20 s; each call fails after 2 s.
#[test]
fn calls_to_a_failing_discovery_are_spread_over_the_nodes() {
    let settings = Settings {
        node_count: NODE_COUNT,
        ..settings(RetrySafety::Idempotent)
    };
    let calls = FailingDiscovery::new(&settings).run();
    // 20 a second, and twice as many while first calls that failed come again over half the time.
    for from in (0..19_000).step_by(100) {
        let within = calls
            .iter()
            .flatten()
            .filter(|at| (from..from + 1_000).contains(*at))
            .count();
        assert!(within <= 45, "{within} calls in the second from {from} ms");
    }
    for (node, calls) in calls.iter().enumerate() {
        let waits = calls
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .chain(calls.first().copied());
        assert!(
            calls.len() >= 2,
            "node {node} called {} times in 20 s",
            calls.len()
        );
        assert!(
            waits.clone().all(|wait| wait <= 2_000 + 9_000),
            "node {node} waited {:?} ms",
            waits.max()
        );
    }
}

/// Sampling costs the square of the number of servers: with thousands a node would stall for seconds and run out of memory.
#[test]
fn keys_of_a_very_large_fleet_are_not_redistributed() {
    for (servers, all_placed) in [(40, false), (201, true)] {
        let settings = Settings {
            node_count: 100 * NODE_COUNT,
            ..settings(RetrySafety::Idempotent)
        };
        let mut harness = Harness::with_servers(settings, &[]);
        let named = |n: u32| endpoint(&format!("s{n}"));
        harness.set_endpoints((0..servers).map(named).collect());
        harness.set_endpoints((0..servers / 4).map(named).collect());
        let placed = |id| {
            harness.receive(request(id, &format!("user:{id}"), harness.now + 2_000 * MS));
            let placed = harness.server_of(id).is_some();
            if placed {
                harness.end_attempt(id, Outcome::NotSent);
            }
            placed
        };
        assert_eq!((0..100).all(placed), all_placed, "{servers} servers");
    }
}
