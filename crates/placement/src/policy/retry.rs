//! The end of an attempt: whether another one follows.

use crate::balancer::{Actions, Balancer};
use crate::policy::queue::QUEUE_TICK;
use crate::state::request::Attempt;
use crate::state::server_table::UNKNOWN;
use crate::{Action, Outcome, RequestId, RetrySafety, Timestamp};

impl Balancer {
    /// Whether the line of the request's present attempt may go out now, where its connection took a while to
    /// come up: what ran of it before leaves this server to it still.
    pub fn may_send(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let server = request
            .in_flight
            .as_ref()
            .and_then(|out| self.fleet.servers.get(out.server));
        server.is_some_and(|server| request.may_retry_on(now, server))
    }

    /// What is out for the request may have run by now, if it was sent.
    pub(crate) fn note_possible_execution(&mut self, id: RequestId, sent: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|_| sent) else {
            return;
        };
        let Some(out) = &request.in_flight else {
            return;
        };
        let place = self
            .fleet
            .servers
            .get(out.server)
            .map(|server| (server.zone, server.cell, out.sent_at));
        request.possible_execution = request.possible_execution.or(place);
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        outcome: Outcome,
        done: bool,
        actions: &mut Actions,
    ) {
        self.account_for(id, false);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.in_flight.take() else {
            return;
        };
        let Attempt {
            server,
            skips_setup: free,
            sent_at: sent,
            is_established: stands,
        } = attempt;
        if let Some(place) = self.fleet.servers.get_mut(server) {
            place.half_open &= stands;
            if !outcome.proves_not_executed() {
                request
                    .possible_execution
                    .get_or_insert((place.zone, place.cell, sent));
            }
        }
        self.in_setup = self.in_setup.saturating_sub(usize::from(!free && !stands));
        let over = request.is_finished || done;
        let once_doubtful = request
            .class_rules
            .is_some_and(|c| c.retry_safety == RetrySafety::NotIdempotent)
            && request.possible_execution.is_some();
        if over {
            self.requests.remove(&id);
        }
        self.record_outcome(now, &attempt, outcome, over, actions);
        if over {
            // Nothing is owed any more.
        } else if stands || once_doubtful {
            self.finish_request(id);
            actions.push(Action::Fail(id));
        } else if outcome == Outcome::NotSent {
            self.reject_or_fail(id, actions);
        } else {
            let wait = QUEUE_TICK.mul_f64(1.0 + self.jitter());
            if let (Outcome::Error, Some(request)) = (outcome, self.requests.get_mut(&id)) {
                request.deferral =
                    Some((UNKNOWN, now.saturating_add(wait * request.attempt_count)));
            }
            self.enqueue(now, id, actions);
        }
    }
}
