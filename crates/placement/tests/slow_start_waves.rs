//! Reconnect waves, in which clients reconnect to all nodes within an overload window, as when many servers drain
//! together. Hundreds of nodes with one or two requests each send servers in slow start no more than those can accept.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::time::Duration;

const NODE_COUNT: u32 = 300;
const WARM_SERVERS: u64 = 20;
const WARMING_SERVERS: u64 = 50;
const DRAINED_SERVERS: u64 = 27;
const CONNECTIONS_PER_SERVER: u64 = 16;
/// Connections that a warm server can hold: services run at half of their capacity or less.
const CAPACITY: f64 = 2.0 * CONNECTIONS_PER_SERVER as f64;
/// Clients of drained servers reconnect within this time.
const RECONNECT_SPREAD_MS: u64 = 1_450;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// The age of the servers in slow start when others drain.
const WARMING_AGE_MS: u64 = 2_500;
const SLOW_START: Duration = Duration::from_secs(20);
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
const OVERLOAD_FACTOR: f64 = 3.0;
const INITIAL_CAPACITY_RATIO: f64 = 0.2;

struct WaveFleet {
    rng: Pcg32,
    nodes: Vec<Harness>,
    next_id: u64,
}

fn wave_settings() -> Settings {
    Settings {
        node_count: NODE_COUNT,
        slow_start_duration: SLOW_START,
        initial_capacity_ratio: INITIAL_CAPACITY_RATIO,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        drain_grace: ms(300),
        ..settings(RetrySafety::Idempotent)
    }
}

fn warm_endpoints(drained: Health) -> Vec<Endpoint> {
    let warm = (0..WARM_SERVERS).map(|n| endpoint(&format!("warm-{n}")));
    let leaving = (0..DRAINED_SERVERS).map(|n| Endpoint {
        health: drained,
        ..endpoint(&format!("leaving-{n}"))
    });
    warm.chain(leaving).collect()
}

fn warming_endpoints(started_at: u64) -> impl Iterator<Item = Endpoint> {
    (0..WARMING_SERVERS).map(move |n| Endpoint {
        started_at: Some(Timestamp(started_at)),
        ..endpoint(&format!("cold-{n}"))
    })
}

impl WaveFleet {
    fn new(seed: u64) -> WaveFleet {
        let nodes = (0..NODE_COUNT)
            .map(|n| Harness::new(wave_settings(), u64::from(n) + 1))
            .collect();
        WaveFleet {
            rng: Pcg32::seed_from_u64(seed),
            nodes,
            next_id: 1,
        }
    }

    fn draw(&mut self, count: u64) -> u64 {
        draw(&mut self.rng, count)
    }

    fn draw_node(&mut self) -> usize {
        self.draw(u64::from(NODE_COUNT)) as usize
    }

    fn draw_group_name(&mut self) -> String {
        draw_group(&mut self.rng)
    }

    fn request_of_group(&mut self, group: &str, now: u64) -> RequestInfo {
        let id = self.next_id;
        self.next_id += 1;
        RequestInfo {
            group: Some(group.into()),
            ..request(
                id,
                &format!("connection:{id}"),
                now + REQUEST_TIMEOUT_MS * MS,
            )
        }
    }

    /// Adds connections that were established earlier to all servers but those in slow start.
    fn fill_servers(&mut self) {
        for node in &mut self.nodes {
            node.set_endpoints(warm_endpoints(Health::Ready));
        }
        for number in 0..(WARM_SERVERS + DRAINED_SERVERS) * CONNECTIONS_PER_SERVER {
            let server = match number % (WARM_SERVERS + DRAINED_SERVERS) {
                warm if warm < WARM_SERVERS => format!("warm-{warm}"),
                leaving => format!("leaving-{}", leaving - WARM_SERVERS),
            };
            let node = self.draw_node();
            let group = self.draw_group_name();
            let info = self.request_of_group(&group, self.nodes[node].now);
            self.nodes[node].inherit_connection(info, &server);
        }
    }

    /// Starts servers and, when they are `WARMING_AGE_MS` old, drains others. Returns the time of the drain.
    fn replace_servers(&mut self) -> u64 {
        let started_at = self.nodes[0].now + 1_000 * MS;
        let drained_at = started_at + WARMING_AGE_MS * MS;
        for node in &mut self.nodes {
            node.advance_to(started_at);
            let warming = warming_endpoints(started_at);
            node.set_endpoints(
                warm_endpoints(Health::Ready)
                    .into_iter()
                    .chain(warming)
                    .collect(),
            );
            node.advance_to(drained_at);
            let warming = warming_endpoints(started_at);
            node.set_endpoints(
                warm_endpoints(Health::Draining)
                    .into_iter()
                    .chain(warming)
                    .collect(),
            );
        }
        drained_at
    }

    /// Reconnects the clients of the drained servers, each to a node drawn at random.
    fn reconnect_clients(&mut self, drained_at: u64) -> Vec<SentRequest> {
        let count = DRAINED_SERVERS * CONNECTIONS_PER_SERVER;
        let mut reconnect_times: Vec<u64> = (0..count)
            .map(|_| drained_at + (150 + self.draw(RECONNECT_SPREAD_MS)) * MS)
            .collect();
        reconnect_times.sort_unstable();
        reconnect_times
            .into_iter()
            .filter_map(|now| self.reconnect_client(now))
            .collect()
    }

    fn reconnect_client(&mut self, now: u64) -> Option<SentRequest> {
        let node = self.draw_node();
        let group = self.draw_group_name();
        let info = RequestInfo {
            is_reconnect: true,
            ..self.request_of_group(&group, now)
        };
        let id = info.request.0;
        let node = &mut self.nodes[node];
        node.advance_to(now);
        node.receive(info);
        let server = node.server_of(id)?;
        node.establish(id);
        Some(SentRequest {
            server,
            sent_at: now,
        })
    }
}

/// Guards against servers in slow start that fail from overload when others drain and all their clients reconnect at
/// once.
#[test]
fn clients_that_return_at_once_overload_no_server_that_warms_up() {
    for seed in 1..=8 {
        run_wave(seed);
    }
}

/// Guards against a wave that overloads no server only because its requests are left waiting.
#[test]
fn every_client_that_returns_in_a_wave_is_served_or_answered_in_time() {
    let mut fleet = WaveFleet::new(1);
    fleet.fill_servers();
    let drained_at = fleet.replace_servers();
    let first_reconnect_id = fleet.next_id;
    fleet.reconnect_clients(drained_at);
    for node in &mut fleet.nodes {
        node.advance_to(drained_at + RECONNECT_SPREAD_MS * MS + 2 * REQUEST_TIMEOUT_MS * MS);
    }
    let records = fleet.nodes.iter().flat_map(|node| &node.requests);
    let reconnect_requests = records.filter(|(id, _)| **id >= first_reconnect_id);
    let (ended, waiting): (Vec<_>, Vec<_>) =
        reconnect_requests.partition(|(_, record)| record.is_established || record.is_answered());
    assert_eq!(waiting.len(), 0, "requests that wait after their deadline");
    let reconnected_clients = DRAINED_SERVERS * CONNECTIONS_PER_SERVER;
    assert_eq!(ended.len() as u64, reconnected_clients);
}

fn run_wave(seed: u64) {
    let mut fleet = WaveFleet::new(seed);
    fleet.fill_servers();
    let drained_at = fleet.replace_servers();
    let started_at = drained_at - WARMING_AGE_MS * MS;
    let sent = fleet.reconnect_clients(drained_at);
    let to_warming = sent
        .iter()
        .filter(|request| request.is_to_warming_server())
        .count();
    let ratio = max_load_ratio(&wave_settings(), CAPACITY, &sent, started_at);
    println!(
        "seed {seed}: {to_warming} of {} sent to servers in slow start, {ratio:.2} of the capacity of one",
        sent.len()
    );
    assert!(
        ratio <= 1.0,
        "seed {seed}: {ratio:.2} of the capacity of one server"
    );
    assert!(
        to_warming > 0,
        "seed {seed}: no request was sent to servers in slow start"
    );
}
