//! The invariants of a balancer in random sequences of events, and edge cases.

mod common;
use common::*;
use lupincrank_placement::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn all_retry_safeties() -> Vec<RetrySafety> {
    let keyed = |scope| RetrySafety::IdempotencyKey {
        scope,
        window: ms(900),
    };
    vec![
        RetrySafety::Idempotent,
        RetrySafety::NotIdempotent,
        keyed(IdempotencyScope::All),
        keyed(IdempotencyScope::Zone),
        keyed(IdempotencyScope::Cell),
    ]
}

/// A run with random endpoint changes, requests and outcomes. The harness checks each action.
struct RandomRun {
    rng: Pcg32,
    harness: Harness,
}

fn numbered_endpoint(n: u32, health: Health) -> Endpoint {
    Endpoint {
        zone: n % 2,
        cell: n % 3,
        health,
        ..endpoint(&format!("10.0.0.{n}:80"))
    }
}

impl RandomRun {
    fn new(retry_safety: RetrySafety, seed: u64) -> RandomRun {
        let mut harness = Harness::new(settings(retry_safety), seed);
        let endpoints = (0..6).map(|n| numbered_endpoint(n, Health::Ready));
        harness.set_endpoints(endpoints.collect());
        RandomRun {
            rng: Pcg32::seed_from_u64(seed),
            harness,
        }
    }

    /// Draws a number below `bound`.
    fn draw(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn run(&mut self) {
        for id in 0..400u64 {
            let pause = u64::from(self.draw(40));
            self.harness.advance_ms(pause);
            self.change_endpoints();
            self.receive_request(id);
            for _ in 0..3 {
                let earlier = id.saturating_sub(u64::from(self.draw(8)));
                self.act_on(earlier);
            }
        }
        self.harness.advance_ms(10_000);
    }

    fn change_endpoints(&mut self) {
        match self.draw(24) {
            0 => self.change_any_endpoint(Health::Draining),
            1 => self.change_any_endpoint(Health::Removed),
            2 => {
                let listed: Vec<u32> = (0..6).filter(|_| self.draw(4) > 0).collect();
                let endpoints = listed.into_iter();
                self.harness.set_endpoints(
                    endpoints
                        .map(|n| numbered_endpoint(n, Health::Ready))
                        .collect(),
                );
            }
            3 => self.harness.deliver(Event::EndpointWatchFailed),
            4..=7 => self.change_any_endpoint(Health::Ready),
            _ => {}
        }
    }

    fn change_any_endpoint(&mut self, health: Health) {
        let n = self.draw(6);
        self.harness.change_endpoint(numbered_endpoint(n, health));
    }

    fn receive_request(&mut self, id: u64) {
        let time_to_deadline = [0, 5, 150, 900, 3_000][self.draw(5) as usize] * MS;
        let key = format!("user:{}", self.draw(40));
        let mut info = request(id, &key, self.harness.now + time_to_deadline);
        info.is_mid_flow = self.draw(6) == 0;
        info.group = (self.draw(2) == 0).then(|| format!("c:{}", self.draw(5)));
        self.harness.receive(info);
    }

    fn act_on(&mut self, id: u64) {
        let record = &self.harness.requests[&id];
        let is_in_flight = record.has_attempt_in_flight();
        let is_established = record.is_established;
        let is_answered = record.is_answered();
        let is_waiting = !is_established && !is_answered;
        match self.draw(4) {
            0 if is_waiting && self.draw(8) == 0 => {
                let sent = self.draw(3) > 0;
                self.harness.reach_shutdown_deadline(id, sent);
            }
            0 if is_in_flight && is_waiting => self.harness.establish(id),
            1 | 2 if is_in_flight => {
                let outcome = OUTCOMES[self.draw(OUTCOMES.len() as u32) as usize];
                self.harness.end_attempt(id, outcome);
            }
            3 if is_waiting && self.draw(6) == 0 => {
                let record = self.harness.requests.get_mut(&id).unwrap();
                record.final_answer_count = 1;
                self.harness
                    .deliver(Event::ClientDisconnected(RequestId(id)));
            }
            _ => {}
        }
    }
}

/// At the end of each run every request has been answered or has an established connection.
#[test]
fn random_runs_keep_one_answer_in_time_single_execution_and_drains() {
    for retry_safety in all_retry_safeties() {
        for seed in 0..40 {
            let mut random_run = RandomRun::new(retry_safety, seed);
            random_run.run();
            for (id, record) in &random_run.harness.requests {
                assert!(
                    record.final_answer_count == 1 || record.is_established,
                    "request {id} was never answered ({retry_safety:?}, seed {seed})"
                );
            }
        }
    }
}

/// An attempt is not sent if the window of its idempotency key ends before the connection is established.
#[test]
fn a_retry_by_key_is_sent_only_within_its_window() {
    let retry_safety = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        window: ms(900),
    };
    let mut harness = Harness::with_servers(settings(retry_safety), &["a", "b"]);
    harness.receive(request(1, "user:1", harness.now + 30_000 * MS));
    let can_still_send = |harness: &Harness, after: u64| {
        harness
            .balancer
            .can_still_send(Timestamp(harness.now + after * MS), RequestId(1))
    };
    assert!(
        can_still_send(&harness, 5_000),
        "not sent although no attempt was executed before"
    );
    let first = harness.now;
    harness.end_attempt(1, Outcome::Reset);
    harness.advance_ms(200);
    assert_eq!(harness.requests[&1].attempts.len(), 2);
    let since = (harness.now - first) / MS;
    assert!(can_still_send(&harness, 899 - since) && !can_still_send(&harness, 900 - since));
}

#[test]
fn without_any_server_a_request_is_rejected_at_once() {
    let mut harness = Harness::new(settings(RetrySafety::NotIdempotent), 1);
    harness.receive(request(1, "user:1", harness.now + 3_000 * MS));
    assert!(matches!(harness.last_actions[..], [Action::Reject { .. }]));
}

#[test]
fn a_request_rejected_by_every_server_is_rejected_within_the_attempt_limit() {
    for retry_safety in [RetrySafety::NotIdempotent, RetrySafety::Idempotent] {
        let mut harness =
            Harness::with_servers(settings(retry_safety), &["a", "b", "c", "d", "e", "f"]);
        harness.receive(request(1, "user:1", harness.now + 3_000 * MS));
        for _ in 0..4 {
            harness.end_attempt(1, Outcome::Rejected);
        }
        assert_eq!(harness.requests[&1].attempts.len(), 4);
        assert!(matches!(harness.last_actions[..], [Action::Reject { .. }]));
    }
}

#[test]
fn a_possibly_executed_request_that_is_not_idempotent_fails_and_is_not_rejected() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::Error,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::with_servers(settings(RetrySafety::NotIdempotent), &["a", "b"]);
        harness.receive(request(1, "user:1", harness.now + 3_000 * MS));
        harness.end_attempt(1, outcome);
        assert_eq!(harness.last_actions, vec![Action::Fail(RequestId(1))]);
    }
}

#[test]
fn events_about_finished_requests_are_ignored() {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &["a", "b"]);
    harness.receive(request(1, "user:1", harness.now + 3_000 * MS));
    harness.deliver(Event::ClientDisconnected(RequestId(1)));
    harness.requests.get_mut(&1).unwrap().final_answer_count = 1;
    harness.end_attempt(1, Outcome::TimedOut);
    for event in [
        Event::ClientDisconnected(RequestId(1)),
        Event::ConnectionEstablished {
            request: RequestId(1),
            setup_duration: ms(3),
        },
        Event::LoadObserved {
            request: RequestId(9),
            load: ms(3),
        },
        Event::DelayObserved {
            request: RequestId(1),
            delay: ms(300),
        },
        Event::AttemptEnded {
            request: RequestId(1),
            attempt: 0,
            outcome: Outcome::Error,
            done: true,
            report: None,
        },
    ] {
        harness.deliver(event);
        assert_eq!(harness.last_actions, vec![]);
    }
}

#[test]
fn a_client_with_a_deadline_before_the_objective_is_answered_in_time() {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &["a", "b", "c"]);
    harness.receive(request(1, "user:1", harness.now + 60 * MS));
    harness.advance_ms(100);
    assert_eq!(harness.requests[&1].final_answer_count, 1);
}

#[test]
fn discovery_is_called_again_soon_after_every_failure_and_never_when_changes_come_unasked() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    assert!(harness.last_actions.contains(&Action::WatchEndpoints));
    for _ in 0..20 {
        harness.deliver(Event::EndpointWatchFailed);
        let [Action::SetTimer { after, timer }] = harness.last_actions[..] else {
            panic!("no timer set")
        };
        assert!(after <= Duration::from_secs(4));
        harness.deliver(Event::TimerFired(timer));
        assert_eq!(harness.last_actions, vec![Action::WatchEndpoints]);
    }
    let watch_not_required = Settings {
        requires_endpoint_watch: false,
        ..settings(RetrySafety::Idempotent)
    };
    let mut harness = Harness::new(watch_not_required, 1);
    assert!(!harness.last_actions.contains(&Action::WatchEndpoints));
    harness.deliver(Event::EndpointWatchFailed);
    assert_eq!(harness.last_actions, vec![]);
}

#[test]
fn any_number_of_nodes_is_accepted() {
    for node_count in [0, 1, u32::MAX] {
        let mut harness = Harness::with_servers(
            Settings {
                node_count,
                ..settings(RetrySafety::Idempotent)
            },
            &["a", "b"],
        );
        for id in 0..20 {
            harness.receive(request(id, &format!("user:{id}"), harness.now + 3_000 * MS));
            if harness.server_of(id).is_some() {
                harness.establish(id);
            }
            harness.advance_ms(500);
        }
        let placed = (0..20)
            .filter(|id| harness.server_of(*id).is_some())
            .count();
        assert!(
            placed >= 15,
            "{placed} of 20 placed with {node_count} nodes"
        );
        // The endpoint list shrinks to one server after a drain. Rejections after the loss of a zone are tested in
        // fleet.rs.
        harness.change_endpoint(Endpoint {
            health: Health::Draining,
            ..endpoint("a")
        });
        harness.set_endpoints(vec![endpoint("b")]);
        harness.receive(request(30, "user:30", harness.now + 3_000 * MS));
        assert_eq!(harness.server_of(30).as_deref(), Some("b"));
        harness.establish(30);
        harness.set_endpoints(vec![]);
        harness.receive(request(31, "user:31", harness.now + 3_000 * MS));
        assert_eq!(harness.requests[&31].final_answer_count, 1);
    }
}
