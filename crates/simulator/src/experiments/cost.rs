//! What the module's work costs against the size of the fleet. It reads the machine's clock, so its figures are of
//! the machine and never enter a simulated world.

use lupincrank_placement::{
    Action, Balancer, Class, Event, Health, Incoming, Listed, Outcome, Repeat, RequestId, ServerId,
    Settings, Time,
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
        instances: 4,
        classes: vec![Class {
            aim: span(500),
            message_aim: span(100),
            repeat: Repeat::Repeatable,
        }],
        tenants: Vec::new(),
        attempt_cap: 3,
        may_tell: false,
        may_probe: false,
        probe_price: 0.0,
        report_utilisation: None,
        list_must_be_asked: true,
        drain_grace: span(500),
        cold_for: span(8_700),
        start_capacity: 0.3,
        fall_multiple: 3.0,
        fall_window: span(3_000),
        longest_retry_after: span(2_000),
    }
}

struct Rig {
    balancer: Balancer,
    now: u64,
    next: u64,
    actions: Vec<Action>,
}

impl Rig {
    fn new(transcribers: u32) -> Self {
        let mut rig = Rig {
            balancer: Balancer::new(settings(), 7),
            now: 1_000_000_000_000,
            next: 0,
            actions: Vec::new(),
        };
        let listed = |at: u32| Listed {
            server: ServerId::from(format!("10.0.{at}:8000").as_str()),
            health: Health::Ready,
            weight: 1.0,
            zone: 0,
            cell: 0,
            kind: 0,
            started: None,
        };
        let entries = (0..transcribers).map(listed).collect();
        rig.tell(Event::Start);
        rig.tell(Event::List {
            entries,
            cached: false,
        });
        rig
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.balancer
            .handle(Time(self.now), event, &mut self.actions);
    }

    fn request(&mut self) -> (RequestId, Option<ServerId>) {
        self.next += 1;
        self.now += 1_000_000;
        let request = RequestId(self.next);
        let key = format!("user:{}", self.next);
        self.tell(Event::Request(Incoming {
            request,
            class: 0,
            tenant: None,
            group: Some(format!("meeting:{}", self.next / 4)),
            key: Some(key),
            load: Some(Duration::from_millis(30)),
            expires: Time(self.now + 2_000_000_000),
            mid_flow: false,
            returned: false,
        }));
        let placed = self.actions.iter().find_map(|action| match action {
            Action::Place {
                request: placed,
                server,
                ..
            } if *placed == request => Some(server.clone()),
            _ => None,
        });
        (request, placed)
    }

    fn stands(&mut self, request: RequestId) {
        self.now += 1_000_000;
        self.tell(Event::Established {
            request,
            took: Duration::from_millis(20),
        });
    }
}

/// Measures one size. Bounded: at most 20,000 connections and 2,000 timed requests.
pub fn measure(transcribers: u32) -> Cost {
    let mut rig = Rig::new(transcribers);
    let held = (transcribers * 20).min(20_000);
    for _ in 0..held {
        if let (request, Some(_)) = rig.request() {
            rig.stands(request);
        }
    }
    let timed = 2_000;
    let mut spent = Duration::ZERO;
    for _ in 0..timed {
        let begun = Instant::now();
        let (request, placed) = rig.request();
        spent += begun.elapsed();
        if placed.is_some() {
            rig.stands(request);
            rig.tell(Event::Ended {
                request,
                attempt: 0,
                outcome: Outcome::Served,
                done: true,
                report: None,
            });
        }
    }
    let request_us = spent.as_secs_f64() * 1e6 / f64::from(timed);
    let begun = Instant::now();
    let upkeeps = 5;
    for _ in 0..upkeeps {
        rig.now += 1_000_000_000;
        rig.tell(Event::Timer(1));
    }
    let upkeep_ms = begun.elapsed().as_secs_f64() * 1e3 / f64::from(upkeeps);
    // Every transcriber turns connections away: caps fall, and each further request walks past all of them.
    let mut walk = Rig::new(transcribers);
    for _ in 0..transcribers * 3 {
        if let (request, Some(_)) = walk.request() {
            let outcome = Outcome::Full;
            walk.tell(Event::Ended {
                request,
                attempt: 0,
                outcome,
                done: true,
                report: None,
            });
        }
    }
    let mut spent = Duration::ZERO;
    let walks = 200;
    for _ in 0..walks {
        let begun = Instant::now();
        let (request, placed) = walk.request();
        spent += begun.elapsed();
        if placed.is_some() {
            walk.tell(Event::Ended {
                request,
                attempt: 0,
                outcome: Outcome::Full,
                done: true,
                report: None,
            });
        }
    }
    let walk_us = spent.as_secs_f64() * 1e6 / f64::from(walks);
    Cost {
        transcribers,
        request_us,
        walk_us,
        upkeep_ms,
    }
}
