//! Clients that return all at once, as when many servers drain together: hundreds of nodes, each of which sees one request
//! or two, send servers that warm up no more than those bear from all nodes together.

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
/// Connections that a warm server can have: services are run at half of that or less.
const CAPACITY: f64 = 2.0 * CONNECTIONS_PER_SERVER as f64;
/// Clients of drained servers return within this time.
const RETURN_SPREAD_MS: u64 = 1_450;
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// How old the servers that warm up are when the wave comes.
const WARMING_AGE_MS: u64 = 2_500;
const SLOW_START: Duration = Duration::from_secs(20);
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
const OVERLOAD_FACTOR: f64 = 3.0;
const INITIAL_CAPACITY_RATIO: f64 = 0.2;

struct WaveFleet {
    random: Pcg32,
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
            random: Pcg32::seed_from_u64(seed),
            nodes,
            next_id: 1,
        }
    }

    fn draw(&mut self, count: u64) -> u64 {
        draw(&mut self.random, count)
    }

    fn any_node(&mut self) -> usize {
        self.draw(u64::from(NODE_COUNT)) as usize
    }

    fn any_group(&mut self) -> String {
        draw_group(&mut self.random)
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

    /// All servers but those that warm up hold connections; their clients have been there for a while.
    fn fill_servers(&mut self) {
        for node in &mut self.nodes {
            node.set_endpoints(warm_endpoints(Health::Ready));
        }
        for number in 0..(WARM_SERVERS + DRAINED_SERVERS) * CONNECTIONS_PER_SERVER {
            let server = match number % (WARM_SERVERS + DRAINED_SERVERS) {
                warm if warm < WARM_SERVERS => format!("warm-{warm}"),
                leaving => format!("leaving-{}", leaving - WARM_SERVERS),
            };
            let node = self.any_node();
            let group = self.any_group();
            let info = self.request_of_group(&group, self.nodes[node].now);
            self.nodes[node].inherit_connection(info, &server);
        }
    }

    /// Servers start, and when they are `WARMING_AGE_MS` old others drain and send their clients away.
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

    /// The clients of the drained servers come back, each at any node.
    fn return_clients(&mut self, drained_at: u64) -> Vec<SentRequest> {
        let count = DRAINED_SERVERS * CONNECTIONS_PER_SERVER;
        let mut moments: Vec<u64> = (0..count)
            .map(|_| drained_at + (150 + self.draw(RETURN_SPREAD_MS)) * MS)
            .collect();
        moments.sort_unstable();
        moments
            .into_iter()
            .filter_map(|now| self.return_client(now))
            .collect()
    }

    fn return_client(&mut self, now: u64) -> Option<SentRequest> {
        let node = self.any_node();
        let group = self.any_group();
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

/// Guards against servers in slow start that fall when servers drain together and all of their clients return at once.
#[test]
fn clients_that_return_at_once_overload_no_server_that_warms_up() {
    for seed in 1..=8 {
        play_wave(seed);
    }
}

/// Guards against a wave that overloads nobody because its requests are left waiting.
#[test]
fn every_client_that_returns_in_a_wave_is_served_or_answered_in_time() {
    let mut fleet = WaveFleet::new(1);
    fleet.fill_servers();
    let drained_at = fleet.replace_servers();
    let first_returned = fleet.next_id;
    fleet.return_clients(drained_at);
    for node in &mut fleet.nodes {
        node.advance_to(drained_at + RETURN_SPREAD_MS * MS + 2 * REQUEST_TIMEOUT_MS * MS);
    }
    let records = fleet.nodes.iter().flat_map(|node| &node.requests);
    let returned = records.filter(|(id, _)| **id >= first_returned);
    let (ended, waiting): (Vec<_>, Vec<_>) =
        returned.partition(|(_, record)| record.is_established || record.is_answered());
    assert_eq!(waiting.len(), 0, "requests that wait past their deadline");
    let returned_clients = DRAINED_SERVERS * CONNECTIONS_PER_SERVER;
    assert_eq!(ended.len() as u64, returned_clients);
}

fn play_wave(seed: u64) {
    let mut fleet = WaveFleet::new(seed);
    fleet.fill_servers();
    let drained_at = fleet.replace_servers();
    let started_at = drained_at - WARMING_AGE_MS * MS;
    let sent = fleet.return_clients(drained_at);
    let to_warming = sent.iter().filter(|one| one.is_to_cold_server()).count();
    let ratio = max_load_ratio(&wave_settings(), CAPACITY, &sent, started_at);
    println!(
        "seed {seed}: {to_warming} of {} to servers that warm up, {ratio:.2} of what one bears",
        sent.len()
    );
    assert!(
        ratio <= 1.0,
        "seed {seed}: {ratio:.2} of what one server bears"
    );
    assert!(to_warming > 0, "seed {seed}: they are filled as well");
}
