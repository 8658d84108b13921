//! Handling of the end of an attempt, and the decision to retry.

use crate::balancer::{Actions, Balancer};
use crate::state::request::{Attempt, Deferral, PossibleExecution};
use crate::state::server_table::{ServerSlot, UNKNOWN};
use crate::timer::QUEUE_INTERVAL;
use crate::{Action, Outcome, RequestId, Timestamp};

/// The end of an attempt.
pub(crate) struct AttemptEnd {
    pub(crate) request: RequestId,
    /// The index of the attempt, from 0.
    pub(crate) attempt: u32,
    pub(crate) outcome: Outcome,
    /// The request needs no further attempt.
    pub(crate) completes_request: bool,
    /// The server's load report, if one was received.
    pub(crate) report: Option<Vec<f64>>,
}

impl Balancer {
    /// Returns true if the present attempt may still be sent once its connection is established: the window in which a
    /// retry after a possible execution is allowed may have ended by then.
    pub fn can_still_send(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Some(attempt) = &request.in_flight else {
            return false;
        };
        self.fleet
            .servers
            .get(attempt.server)
            .is_some_and(|server| request.may_retry_on(now, server))
    }

    /// Returns the server of the request's attempt with this index, if that is the present attempt.
    fn server_of_attempt(&self, id: RequestId, attempt: u32) -> Option<ServerSlot> {
        let request = self.requests.get(&id)?;
        let in_flight = request.in_flight.as_ref()?;
        (request.attempt_count == attempt + 1).then_some(in_flight.server)
    }

    pub(crate) fn record_possible_execution(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = &request.in_flight else {
            return;
        };
        if let Some(server) = self.fleet.servers.get(attempt.server) {
            let execution = PossibleExecution::new(server, attempt.sent_at);
            request.possible_execution.get_or_insert(execution);
        }
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        end: &AttemptEnd,
        actions: &mut Actions,
    ) {
        let id = end.request;
        let Some(slot) = self.server_of_attempt(id, end.attempt) else {
            return;
        };
        if let Some(values) = &end.report {
            self.on_load_report(now, slot, values, actions);
        }
        self.release(id);
        let Some(attempt) = self.take_attempt(id, end.outcome) else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_finished = request.is_finished || end.completes_request;
        let may_retry = !attempt.is_established && request.may_retry();
        if is_finished {
            self.requests.remove(&id);
        }
        if attempt.is_established && (attempt.is_migrated || end.outcome == Outcome::Reset) {
            self.observe_broken_connection(now, slot);
        }
        self.record_outcome(now, &attempt, end.outcome, is_finished, actions);
        if is_finished {
            return;
        }
        if !may_retry {
            self.finish_request(id);
            actions.push(Action::Fail(id));
        } else if end.outcome == Outcome::NotSent {
            self.reject_or_fail(id, actions);
        } else {
            self.retry(now, id, end.outcome, actions);
        }
    }

    /// Removes the attempt from its request, and records a possible execution unless the outcome excludes it.
    fn take_attempt(&mut self, id: RequestId, outcome: Outcome) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.in_flight.take()?;
        if let Some(server) = self.fleet.servers.get_mut(attempt.server) {
            server.ejection.is_half_open &= attempt.is_established;
            if !outcome.proves_not_executed() {
                let execution = PossibleExecution::new(server, attempt.sent_at);
                request.possible_execution.get_or_insert(execution);
            }
        }
        if !attempt.skips_setup && !attempt.is_established {
            self.setup_window.end_setup();
        }
        Some(attempt)
    }

    /// Retries the request: after an error with a backoff, otherwise as soon as the queue allows.
    fn retry(&mut self, now: Timestamp, id: RequestId, outcome: Outcome, actions: &mut Actions) {
        let backoff = QUEUE_INTERVAL.mul_f64(1.0 + self.jitter());
        if outcome == Outcome::Error {
            if let Some(request) = self.requests.get_mut(&id) {
                request.deferral = Some(Deferral {
                    awaited_server: UNKNOWN,
                    until: now.saturating_add(backoff * request.attempt_count),
                });
            }
        }
        self.enqueue(now, id, actions);
    }
}
