//! What the module's work costs against the size of the fleet. It reads the machine's clock, so its figures are of
//! the machine and never enter a simulated world.

use lupincrank_placement::{
    Action, Balancer, Class, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, RetrySafety,
    ServerId, Settings, Timer, Timestamp,
};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// What it costs at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Transcribers.
    pub transcribers: u32,
    /// A request that one of the first in order takes, in microseconds.
    pub request_us: f64,
    /// A request that none of the first takes, in microseconds.
    pub walk_us: f64,
    /// One upkeep with 20 connections a transcriber, 20,000 at the most, in milliseconds.
    pub upkeep_ms: f64,
}

fn settings() -> Settings {
    let span = Duration::from_millis;
    Settings {
        node_count: 4,
        classes: vec![Class {
            setup_objective: span(500),
            message_objective: span(100),
            retry_safety: RetrySafety::Idempotent,
        }],
        tenants: Vec::new(),
        max_attempts: 3,
        gossip_allowed: false,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: true,
        drain_grace: span(500),
        slow_start_duration: span(8_700),
        initial_capacity_ratio: 0.3,
        overload_factor: 3.0,
        overload_window: span(3_000),
        max_retry_after: span(2_000),
    }
}

struct Bench {
    balancer: Balancer,
    now: u64,
    next: u64,
    actions: Vec<Action>,
}

impl Bench {
    fn new(transcribers: u32) -> Self {
        let mut bench = Bench {
            balancer: Balancer::new(settings(), 7),
            now: 1_000_000_000_000,
            next: 0,
            actions: Vec::new(),
        };
        let listed = |at: u32| Endpoint {
            server: ServerId::from(format!("10.0.{at}:8000").as_str()),
            health: Health::Ready,
            weight: 1.0,
            zone: 0,
            cell: 0,
            machine_kind: 0,
            started_at: None,
        };
        let entries = (0..transcribers).map(listed).collect();
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

    fn request(&mut self) -> (RequestId, Option<ServerId>) {
        self.next += 1;
        self.now += 1_000_000;
        let request = RequestId(self.next);
        let key = format!("user:{}", self.next);
        self.handle(Event::RequestReceived(RequestInfo {
            request,
            class: 0,
            tenant: None,
            group: Some(format!("meeting:{}", self.next / 4)),
            key: Some(key),
            load: Some(Duration::from_millis(30)),
            deadline: Timestamp(self.now + 2_000_000_000),
            is_mid_flow: false,
            is_reconnect: false,
        }));
        let placed = self.actions.iter().find_map(|action| match action {
            Action::StartAttempt {
                request: placed,
                server,
                ..
            } if *placed == request => Some(server.clone()),
            _ => None,
        });
        (request, placed)
    }

    fn establish(&mut self, request: RequestId) {
        self.now += 1_000_000;
        self.handle(Event::ConnectionEstablished {
            request,
            setup_duration: Duration::from_millis(20),
        });
    }

    /// Ends the first attempt of a request, and the request with it.
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

/// Connections that are established before requests are timed: 20 a transcriber, 20,000 at the most.
const CONNECTIONS_PER_TRANSCRIBER: u32 = 20;
const MAX_CONNECTIONS: u32 = 20_000;
/// How often each kind of work is timed.
const TIMED_REQUESTS: u32 = 2_000;
const TIMED_UPKEEPS: u32 = 5;
const TIMED_WALKS: u32 = 200;
/// Rejected requests a transcriber that bring the concurrency limits down.
const REJECTIONS_PER_TRANSCRIBER: u32 = 3;

/// Measures one size. Bounded: at most 20,000 connections and 2,000 timed requests.
pub fn measure(transcribers: u32) -> Cost {
    let mut bench = Bench::new(transcribers);
    let connections = (transcribers * CONNECTIONS_PER_TRANSCRIBER).min(MAX_CONNECTIONS);
    for _ in 0..connections {
        if let (request, Some(_)) = bench.request() {
            bench.establish(request);
        }
    }
    let request_us = request_cost_us(&mut bench);
    let upkeep_ms = upkeep_cost_ms(&mut bench);
    let walk_us = walk_cost_us(transcribers);
    Cost {
        transcribers,
        request_us,
        walk_us,
        upkeep_ms,
    }
}

/// The mean time of a request that is placed at once, in microseconds.
fn request_cost_us(bench: &mut Bench) -> f64 {
    let mut spent = Duration::ZERO;
    for _ in 0..TIMED_REQUESTS {
        let begun = Instant::now();
        let (request, placed) = bench.request();
        spent += begun.elapsed();
        if placed.is_some() {
            bench.establish(request);
            bench.end(request, Outcome::Served);
        }
    }
    spent.as_secs_f64() * 1e6 / f64::from(TIMED_REQUESTS)
}

/// The mean time of an upkeep, in milliseconds.
fn upkeep_cost_ms(bench: &mut Bench) -> f64 {
    let begun = Instant::now();
    for _ in 0..TIMED_UPKEEPS {
        bench.now += 1_000_000_000;
        bench.handle(Event::TimerFired(Timer::Upkeep));
    }
    begun.elapsed().as_secs_f64() * 1e3 / f64::from(TIMED_UPKEEPS)
}

/// The mean time of a request that no transcriber admits, in microseconds: every transcriber rejects connections until
/// its concurrency limit is down, so that each further request scans all of them.
fn walk_cost_us(transcribers: u32) -> f64 {
    let mut bench = Bench::new(transcribers);
    for _ in 0..transcribers * REJECTIONS_PER_TRANSCRIBER {
        if let (request, Some(_)) = bench.request() {
            bench.end(request, Outcome::Rejected);
        }
    }
    let mut spent = Duration::ZERO;
    for _ in 0..TIMED_WALKS {
        let begun = Instant::now();
        let (request, placed) = bench.request();
        spent += begun.elapsed();
        if placed.is_some() {
            bench.end(request, Outcome::Rejected);
        }
    }
    spent.as_secs_f64() * 1e6 / f64::from(TIMED_WALKS)
}
