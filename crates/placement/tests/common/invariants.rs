//! Checks of every action: one answer in time, no second execution, no new connection to a draining or removed server.

use super::fixtures::MS;
use super::harness::Harness;
use super::records::{AttemptRecord, EndpointRecord, PendingTimer, RequestRecord};
use lupincrank_placement::{
    Action, IdempotencyScope, RequestId, RetrySafety, ServerId, Settings, Timer,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum delay of an answer after the request's deadline.
const ANSWER_SLACK: u64 = 20 * MS;

impl Harness {
    /// Checks an action and carries it out.
    pub(super) fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.check_attempt(*request, server, *timeout),
            Action::Reject { request, .. } => self.check_rejection(*request),
            Action::Fail(request) => self.record_final_answer(request.0),
            Action::Migrate(request) => self.check_migration(*request),
            Action::SetTimer { after, timer } => self.set_timer(*after, *timer),
            Action::CheckHealth(server) => self.pending_health_checks.push(server.clone()),
            Action::Gossip(_) | Action::WatchEndpoints => {}
        }
    }

    fn check_attempt(&mut self, request: RequestId, server: &ServerId, timeout: Duration) {
        let now = self.now;
        let endpoint = *self
            .endpoints
            .get(server)
            .expect("attempt at a server that no endpoint list contained");
        let record = self
            .requests
            .get_mut(&request.0)
            .expect("attempt for a request that was not received");
        check_state(record, &self.settings, now);
        check_drain_grace(record, endpoint, &self.settings, now);
        for earlier in &record.attempts {
            check_retry(earlier, endpoint, &self.settings, &self.endpoints, now);
        }
        record
            .attempts
            .push(AttemptRecord::new(server.clone(), now));
        let times_out_at = (now + timeout.as_nanos() as u64).min(record.deadline);
        self.attempt_deadlines.insert(request.0, times_out_at);
    }

    fn check_rejection(&mut self, request: RequestId) {
        let is_possibly_executed = self.requests[&request.0]
            .attempts
            .iter()
            .any(AttemptRecord::is_possibly_executed);
        let is_repeatable = matches!(
            self.settings.classes[0].retry_safety,
            RetrySafety::Idempotent
                | RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        );
        let is_harmless = is_repeatable || !is_possibly_executed;
        assert!(
            is_harmless,
            "a request that may have been executed was rejected"
        );
        self.record_final_answer(request.0);
    }

    fn check_migration(&mut self, request: RequestId) {
        let record = self.requests.get_mut(&request.0).unwrap();
        assert!(
            record.is_established,
            "a connection was migrated before it was established"
        );
        record.final_answer_count += 1;
    }

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timer_sequence += 1;
        self.timers.insert(PendingTimer {
            due_at: self.now + after.as_nanos() as u64,
            sequence: self.timer_sequence,
            timer,
        });
    }

    fn record_final_answer(&mut self, id: u64) {
        let record = self.requests.get_mut(&id).unwrap();
        record.final_answer_count += 1;
        assert_eq!(
            record.final_answer_count, 1,
            "a request got more than one final answer"
        );
        // An established connection has no deadline and may end at any time.
        assert!(
            record.is_established || self.now <= record.deadline + ANSWER_SLACK,
            "a request was answered too long after its deadline"
        );
    }
}

fn check_state(record: &RequestRecord, settings: &Settings, now: u64) {
    assert_eq!(
        record.final_answer_count, 0,
        "an attempt was started after the final answer"
    );
    assert!(
        now <= record.deadline,
        "an attempt was started after the deadline"
    );
    assert!(
        !record.attempts.iter().any(AttemptRecord::is_in_flight),
        "two attempts in flight at once"
    );
    assert!(
        record.attempts.len() < settings.max_attempts as usize,
        "more attempts than allowed"
    );
}

fn check_drain_grace(
    record: &RequestRecord,
    endpoint: EndpointRecord,
    settings: &Settings,
    now: u64,
) {
    if let Some(since) = endpoint.leaving_since {
        let grace = settings.drain_grace.as_nanos() as u64;
        assert!(
            record.is_mid_flow && now - since <= grace,
            "a new connection to a draining or removed server"
        );
    }
}

/// Checks that an attempt at `endpoint` is allowed after an `earlier` one.
fn check_retry(
    earlier: &AttemptRecord,
    endpoint: EndpointRecord,
    settings: &Settings,
    endpoints: &BTreeMap<ServerId, EndpointRecord>,
    now: u64,
) {
    if earlier.outcome.unwrap().proves_not_executed() {
        return;
    }
    match settings.classes[0].retry_safety {
        RetrySafety::Idempotent => {}
        RetrySafety::NotIdempotent => {
            panic!("a request that is not idempotent was retried though it may have been executed")
        }
        RetrySafety::IdempotencyKey { scope, window } => {
            let earlier_endpoint = endpoints[&earlier.server];
            let is_in_scope = match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => earlier_endpoint.zone == endpoint.zone,
                IdempotencyScope::Cell => earlier_endpoint.cell == endpoint.cell,
            };
            assert!(
                is_in_scope,
                "retried outside the scope of its idempotency key"
            );
            assert!(
                now - earlier.sent_at <= window.as_nanos() as u64,
                "retried after the window of its idempotency key"
            );
        }
    }
}
