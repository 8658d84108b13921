//! The queue of requests that wait until the setup window allows another connection setup.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::timer::QUEUE_INTERVAL;
use crate::{RequestId, Timestamp};
use std::collections::VecDeque;

/// The decision on a queued request.
enum QueueDecision {
    End,
    Start,
    Wait,
}

impl Balancer {
    /// Starts an attempt for the request, or queues it while too many setups are in progress. Guards against a
    /// bottleneck behind all servers, such as a shared store, which further attempts would only overload more.
    pub(crate) fn enqueue(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        let starts_at_once = self
            .requests
            .get(&id)
            .is_some_and(RequestState::is_first_mid_flow_attempt);
        if starts_at_once {
            self.start_attempt(now, id, actions);
        } else {
            self.queue.push_back(id);
        }
        self.dispatch_queued(now, actions);
    }

    pub(crate) fn on_queue_timer(&mut self, now: Timestamp, actions: &mut Actions) {
        self.queue_timer.on_fired();
        self.dispatch_queued(now, actions);
    }

    /// Starts the requests that may start, oldest first, and ends those that can no longer be answered in time.
    pub(crate) fn dispatch_queued(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.slow_start_budget.has_lease() {
            self.refresh_slow_start(now); // the lease's window may have moved on, or the lease may have expired
            self.slow_start_budget.record_demand();
        }
        let mut still_waiting = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if request.is_finished {
                continue;
            }
            match self.queue_decision(now, request) {
                QueueDecision::End => self.reject_or_fail(id, actions),
                QueueDecision::Start => self.start_attempt(now, id, actions),
                QueueDecision::Wait => still_waiting.push_back(id),
            }
        }
        self.queue = still_waiting;
        self.set_queue_timer(actions);
    }

    fn queue_decision(&self, now: Timestamp, request: &RequestState) -> QueueDecision {
        let remaining = request.deadline.saturating_duration_since(now);
        let is_too_late = remaining < self.setup_window.min_setup_duration();
        let has_server = || self.permitted_servers(now, request).next().is_some();
        if !request.has_attempts_left() || is_too_late || !has_server() {
            return QueueDecision::End;
        }
        let is_deferred = request
            .deferral
            .is_some_and(|deferral| deferral.until > now);
        if is_deferred || !self.setup_window.is_open(now) {
            QueueDecision::Wait
        } else {
            QueueDecision::Start
        }
    }

    fn set_queue_timer(&mut self, actions: &mut Actions) {
        if !self.queue.is_empty() {
            actions.extend(self.queue_timer.set_after(QUEUE_INTERVAL));
        }
    }
}
