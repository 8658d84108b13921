//! Measures the CPU cost of the placement module by fleet size. The measurements use the real clock and depend on the
//! machine, so they never enter a simulation.

use lupincrank_placement::{
    Action, Balancer, Class, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, RetrySafety,
    ServerId, Settings, Timer, Timestamp,
};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The cost of the placement module for one fleet size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Number of servers.
    pub transcribers: u32,
    /// Time of a request that one of the top-ranked servers accepts, in microseconds.
    pub request_us: f64,
    /// Time of a request that scans all servers as none accepts it, in microseconds.
    pub walk_us: f64,
    /// Time of one upkeep with 20 connections per server, at most 20,000 in all, in milliseconds.
    pub upkeep_ms: f64,
}

fn settings() -> Settings {
    let millis = Duration::from_millis;
    Settings {
        node_count: 4,
        classes: vec![Class {
            setup_objective: millis(500),
            message_objective: millis(100),
            retry_safety: RetrySafety::Idempotent,
        }],
        tenants: Vec::new(),
        max_attempts: 3,
        gossip_allowed: false,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: true,
        drain_grace: millis(500),
        slow_start_duration: millis(8_700),
        initial_capacity_ratio: 0.3,
        overload_factor: 3.0,
        overload_window: millis(3_000),
        max_retry_after: millis(2_000),
    }
}

/// A balancer with a simulated clock.
struct Bench {
    balancer: Balancer,
    now: u64,
    last_request: u64,
    actions: Vec<Action>,
}

impl Bench {
    fn new(server_count: u32) -> Self {
        let mut bench = Bench {
            balancer: Balancer::new(settings(), 7),
            now: 1_000_000_000_000,
            last_request: 0,
            actions: Vec::new(),
        };
        let endpoint = |index: u32| Endpoint {
            server: ServerId::from(format!("10.0.{index}:8000").as_str()),
            health: Health::Ready,
            weight: 1.0,
            zone: 0,
            cell: 0,
            machine_kind: 0,
            started_at: None,
        };
        let entries = (0..server_count).map(endpoint).collect();
        bench.handle(Event::Start);
        bench.handle(Event::EndpointList {
            entries,
            cached: false,
        });
        bench
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer
            .handle(Timestamp(self.now), event, &mut self.actions);
    }

    /// Sends a request and returns its id with the server of its first attempt, if one was started.
    fn request(&mut self) -> (RequestId, Option<ServerId>) {
        self.last_request += 1;
        self.now += 1_000_000;
        let request = RequestId(self.last_request);
        let key = format!("user:{}", self.last_request);
        self.handle(Event::RequestReceived(RequestInfo {
            request,
            class: 0,
            tenant: None,
            group: Some(format!("meeting:{}", self.last_request / 4)),
            key: Some(key),
            load: Some(Duration::from_millis(30)),
            deadline: Timestamp(self.now + 2_000_000_000),
            is_mid_flow: false,
            is_reconnect: false,
        }));
        let server = self.actions.iter().find_map(|action| match action {
            Action::StartAttempt {
                request: attempted,
                server,
                ..
            } if *attempted == request => Some(server.clone()),
            _ => None,
        });
        (request, server)
    }

    fn establish(&mut self, request: RequestId) {
        self.now += 1_000_000;
        self.handle(Event::ConnectionEstablished {
            request,
            setup_duration: Duration::from_millis(20),
        });
    }

    /// Ends the first attempt of a request and the request itself.
    fn end(&mut self, request: RequestId, outcome: Outcome) {
        self.handle(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            done: true,
            report: None,
        });
    }
}

/// Connections per server that are established before requests are timed.
const CONNECTIONS_PER_SERVER: u32 = 20;
/// Limit of these connections over all servers.
const MAX_CONNECTIONS: u32 = 20_000;
/// Number of timed repetitions of each operation.
const TIMED_REQUESTS: u32 = 2_000;
const TIMED_UPKEEPS: u32 = 5;
const TIMED_FULL_SCANS: u32 = 200;
/// Rejected requests per server that reduce the concurrency limits.
const REJECTIONS_PER_SERVER: u32 = 3;

/// Measures the cost for one fleet size, with at most 20,000 connections and 2,000 timed requests.
pub fn measure(server_count: u32) -> Cost {
    let mut bench = Bench::new(server_count);
    let connections = (server_count * CONNECTIONS_PER_SERVER).min(MAX_CONNECTIONS);
    for _ in 0..connections {
        if let (request, Some(_)) = bench.request() {
            bench.establish(request);
        }
    }
    let request_us = request_cost_us(&mut bench);
    let upkeep_ms = upkeep_cost_ms(&mut bench);
    let full_scan_us = full_scan_cost_us(server_count);
    Cost {
        transcribers: server_count,
        request_us,
        walk_us: full_scan_us,
        upkeep_ms,
    }
}

/// Returns the mean time of a request that is placed at once, in microseconds.
fn request_cost_us(bench: &mut Bench) -> f64 {
    let mut elapsed = Duration::ZERO;
    for _ in 0..TIMED_REQUESTS {
        let started_at = Instant::now();
        let (request, server) = bench.request();
        elapsed += started_at.elapsed();
        if server.is_some() {
            bench.establish(request);
            bench.end(request, Outcome::Served);
        }
    }
    elapsed.as_secs_f64() * 1e6 / f64::from(TIMED_REQUESTS)
}

/// Returns the mean time of an upkeep, in milliseconds.
fn upkeep_cost_ms(bench: &mut Bench) -> f64 {
    let started_at = Instant::now();
    for _ in 0..TIMED_UPKEEPS {
        bench.now += 1_000_000_000;
        bench.handle(Event::TimerFired(Timer::Upkeep));
    }
    started_at.elapsed().as_secs_f64() * 1e3 / f64::from(TIMED_UPKEEPS)
}

/// Returns the mean time of a request that no server admits, in microseconds. Servers first reject requests
/// until their concurrency limits admit no more, so that every timed request scans all servers.
fn full_scan_cost_us(server_count: u32) -> f64 {
    let mut bench = Bench::new(server_count);
    for _ in 0..server_count * REJECTIONS_PER_SERVER {
        if let (request, Some(_)) = bench.request() {
            bench.end(request, Outcome::Rejected);
        }
    }
    let mut elapsed = Duration::ZERO;
    for _ in 0..TIMED_FULL_SCANS {
        let started_at = Instant::now();
        let (request, server) = bench.request();
        elapsed += started_at.elapsed();
        if server.is_some() {
            bench.end(request, Outcome::Rejected);
        }
    }
    elapsed.as_secs_f64() * 1e6 / f64::from(TIMED_FULL_SCANS)
}
