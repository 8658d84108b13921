//! Servers in slow start: one node, and all nodes together, send them no more than they can accept.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Guards against overload of a server that has just started. Rejected attempts count as well.
#[test]
fn one_node_sends_few_requests_to_a_server_that_warms_up() {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &["a", "b", "c"]);
    let mut id = 0;
    for _ in 0..90 {
        id += 1;
        harness.receive(request(id, &format!("user:{id}"), harness.now + 3_000 * MS));
        harness.establish(id);
        harness.advance_ms(20);
    }
    let warming = Endpoint {
        started_at: Some(Timestamp(harness.now)),
        ..endpoint("cold")
    };
    harness.change_endpoint(warming);
    let mut sent = vec![];
    for _ in 0..2_000 {
        id += 1;
        harness.receive(request(id, &format!("user:{id}"), harness.now + 3_000 * MS));
        let is_sent_to_new_server = harness.server_of(id).as_deref() == Some("cold");
        if is_sent_to_new_server {
            sent.push(harness.now);
            if id % 2 == 0 {
                harness.end_attempt(id, Outcome::Rejected);
            }
        }
        if harness.requests[&id].has_attempt_in_flight() {
            harness.establish(id);
        }
        harness.advance_ms(10);
    }
    // A warm server holds about 30 connections at first; over its warm-up of 20 s the new one may be filled to as
    // many. It starts at a fifth of its capacity, so that an overload window allows a tenth of that at first and half
    // at the end.
    let within = |span: u64, from: u64| {
        sent.iter()
            .filter(|time| (from..from + span).contains(time))
            .count()
    };
    assert!(
        !sent.is_empty(),
        "no request was sent to the server in slow start"
    );
    assert!(
        within(2_000 * MS, sent[0]) <= 4,
        "{} requests sent in the first overload window",
        within(2_000 * MS, sent[0])
    );
}

/// Guards against overload when all servers are in slow start and a node has learned nothing of them.
#[test]
fn a_fleet_that_warms_up_is_not_overloaded() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    let started = Some(Timestamp(harness.now));
    harness.set_endpoints(
        ["a", "b"]
            .iter()
            .map(|name| Endpoint {
                started_at: started,
                ..endpoint(name)
            })
            .collect(),
    );
    for id in 0..100 {
        harness.receive(request(id, &format!("user:{id}"), harness.now + 500 * MS));
        harness.advance_ms(20);
    }
    let sends: usize = harness
        .requests
        .values()
        .map(|record| record.attempts.len())
        .sum();
    assert!((1..=4).contains(&sends), "{sends} sends in two seconds");
}

#[test]
fn a_restarted_server_warms_up_again_and_its_ejection_ends() {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &["a"]);
    harness.receive(request(1, "user:1", harness.now + 3_000 * MS));
    harness.end_attempt(1, Outcome::ConnectFailed);
    harness.set_endpoints(vec![Endpoint {
        started_at: Some(Timestamp(harness.now)),
        ..endpoint("a")
    }]);
    for id in 2..6 {
        harness.receive(request(id, "user:1", harness.now + 3_000 * MS));
    }
    let sends = (2..6).filter(|id| harness.server_of(*id).is_some()).count();
    assert_eq!(sends, 1, "the initial budget is one attempt");
}

const WARM_SERVER_COUNT: u64 = 20;

const CONNECTIONS_PER_WARM_SERVER: u64 = 60;

/// Connections that a warm server can hold: services run at half of their capacity or less.
const WARM_CAPACITY: f64 = 120.0;

/// The start time of the servers in slow start.
const START: u64 = 3_000 * MS;

/// The duration of the warm-up, and of the overload after which a server fails, in milliseconds.
const SLOW_START_MS: f64 = 20_000.0;
const OVERLOAD_WINDOW_MS: u64 = 2_000;

/// Many balancers, each of which keeps to its own share of the budget, and servers in slow start.
struct WarmingFleet {
    rng: Pcg32,
    nodes: Vec<Harness>,
}

/// The attempts of a fleet on one server in slow start.
struct SlowStartUsage {
    /// The maximum number of attempts in an overload window, as a fraction of the server's capacity.
    max_load_ratio: f64,
    attempt_count: usize,
}

impl WarmingFleet {
    fn new(node_count: u32, warming_server_count: u64) -> WarmingFleet {
        let settings = Settings {
            node_count,
            ..settings(RetrySafety::Idempotent)
        };
        let nodes = (0..node_count)
            .map(|n| Harness::new(settings.clone(), u64::from(n) + 1))
            .collect();
        let mut fleet = WarmingFleet {
            rng: Pcg32::seed_from_u64(u64::from(node_count)),
            nodes,
        };
        fleet.fill_warm_servers();
        fleet.add_servers(warming_server_count);
        fleet
    }

    fn draw_node(&mut self) -> &mut Harness {
        let node = self.rng.next_u32() as usize % self.nodes.len();
        &mut self.nodes[node]
    }

    fn fill_warm_servers(&mut self) {
        for node in &mut self.nodes {
            node.set_endpoints(warm_endpoints());
        }
        for id in 0..WARM_SERVER_COUNT * CONNECTIONS_PER_WARM_SERVER {
            let server = format!("warm-{}", id % WARM_SERVER_COUNT);
            let node = self.draw_node();
            let info = request(id, &format!("user:{id}"), node.now);
            node.inherit_connection(info, &server);
        }
    }

    fn add_servers(&mut self, count: u64) {
        let warming = (0..count).map(|n| Endpoint {
            started_at: Some(Timestamp(START)),
            ..endpoint(&format!("cold-{n}"))
        });
        let endpoints: Vec<Endpoint> = warm_endpoints().into_iter().chain(warming).collect();
        for node in &mut self.nodes {
            node.advance_to(START);
            node.set_endpoints(endpoints.clone());
        }
    }

    /// Sends requests and returns the times at which the first server in slow start got one.
    fn send_requests(&mut self) -> Vec<u64> {
        let mut sent_at = vec![];
        for id in 10_000..14_000u64 {
            let now = START + (id - 10_000) * 5 * MS;
            let node = self.draw_node();
            node.advance_to(now);
            node.receive(request(id, &format!("user:{id}"), now + 3_000 * MS));
            if node.server_of(id).as_deref() == Some("cold-0") {
                sent_at.push(now);
            }
            if node.server_of(id).is_some() && !node.requests[&id].is_answered() {
                // Keeps the number of established connections constant.
                node.establish(id);
                node.end_attempt(id, Outcome::Served);
            }
        }
        sent_at
    }

    fn run(mut self) -> SlowStartUsage {
        let sent_at = self.send_requests();
        let load_ratios = sent_at.iter().map(|from| {
            let window = *from..*from + OVERLOAD_WINDOW_MS * MS;
            let count = sent_at.iter().filter(|time| window.contains(time)).count() as f64;
            let capacity_ratio = 0.2 + 0.8 * ((from - START) / MS) as f64 / SLOW_START_MS;
            // A warm server is assumed to accept requests at the rate that fills it within the duration of a warm-up.
            // The margin allows for random variation and a few accumulated attempts.
            (count - 4.0)
                / (3.0 * capacity_ratio * WARM_CAPACITY / SLOW_START_MS * OVERLOAD_WINDOW_MS as f64)
        });
        SlowStartUsage {
            max_load_ratio: load_ratios.fold(0.0, f64::max),
            attempt_count: sent_at.len(),
        }
    }
}

fn warm_endpoints() -> Vec<Endpoint> {
    (0..WARM_SERVER_COUNT)
        .map(|n| endpoint(&format!("warm-{n}")))
        .collect()
}

#[test]
fn all_nodes_together_do_not_overload_a_server_that_warms_up() {
    for node_count in [1, 3, 30, 900] {
        let usage = WarmingFleet::new(node_count, 1).run();
        let ratio = usage.max_load_ratio;
        assert!(
            ratio <= 1.0,
            "{node_count} nodes sent {ratio:.2} of what the server can accept"
        );
        assert!(
            usage.attempt_count > 0,
            "{node_count} nodes sent the server nothing"
        );
    }
}

/// Guards against overload when one endpoint list makes the fleet four times as large at every node at once, with all
/// new servers in slow start.
#[test]
fn a_fleet_grown_fourfold_in_one_list_is_not_overloaded() {
    for node_count in [3, 30, 900] {
        let ratio = WarmingFleet::new(node_count, 60).run().max_load_ratio;
        assert!(
            ratio <= 1.0,
            "{node_count} nodes sent {ratio:.2} of what one server can accept"
        );
    }
}
