//! Graceful shutdown: established connections are migrated in steps, and requests that still wait are answered at the
//! end.

use super::request::RequestPhase;
use super::PlacementDriver;
use lupincrank_placement::{Action, Event, Outcome, RequestId};

impl PlacementDriver {
    /// Rejects all further requests: a new connection would be closed at once.
    pub(crate) fn reject_new_requests(&mut self) {
        self.is_shutting_down = true;
    }

    /// Executes one step of the shutdown: migrates enough established connections that none is left after
    /// `remaining_steps` calls, including this one. The last step also answers the requests that still wait.
    pub(crate) fn shutdown_step(&mut self, remaining_steps: usize) {
        let established = self.established_requests();
        let count = established.len().div_ceil(remaining_steps.max(1));
        for request in established.into_iter().take(count) {
            self.execute(Action::Migrate(request));
        }
        if remaining_steps <= 1 {
            self.answer_waiting_requests();
        }
    }

    fn answer_waiting_requests(&mut self) {
        for request in self.waiting_requests() {
            self.end_waiting_request(request);
        }
    }

    fn established_requests(&self) -> Vec<RequestId> {
        let established = self
            .requests
            .iter()
            .filter(|(_, active)| active.phase == RequestPhase::Established);
        let mut requests: Vec<RequestId> = established.map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests
    }

    fn waiting_requests(&self) -> Vec<RequestId> {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, active)| active.phase == RequestPhase::Waiting);
        waiting.map(|(request, _)| *request).collect()
    }

    /// Gives the request its final answer and closes its attempt, if one is in flight. The balancer chooses between a
    /// rejection and a failure: a request that may have been executed must not be reported as rejected.
    fn end_waiting_request(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let is_in_flight = active.server.is_some();
        let attempt = active.attempt_number();
        self.feed(Event::ShutdownDeadline {
            request,
            sent: active.was_sent,
        });
        if is_in_flight {
            self.feed(Event::AttemptEnded {
                request,
                attempt,
                outcome: Outcome::Cancelled,
                done: true,
                report: None,
            });
        }
    }
}
