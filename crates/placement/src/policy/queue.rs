//! The queue of requests that wait for a set-up, and the start of an attempt.

use crate::balancer::{Actions, Balancer};
use crate::hashing::random_fraction;
use crate::state::request::Attempt;
use crate::{Action, RequestId, Timer, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// How often waiting requests are looked at when nothing else happens; an answer to one is left twice this.
pub(crate) const QUEUE_TICK: Duration = Duration::from_millis(50);

impl Balancer {
    /// Sends the request, or lets it wait while too many set-ups are under way. Guards against a shared store
    /// (or any bottleneck behind all servers) that more attempts only bury deeper.
    pub(crate) fn enqueue(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_mid_flow && request.attempt_count == 0)
        {
            self.start_attempt(now, id, actions);
        } else {
            self.waiting.push_back(id);
        }
        self.dispatch_queued(now, actions);
    }

    /// Sends what waits and may go, oldest first, and ends what can no longer be answered in time.
    pub(crate) fn dispatch_queued(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.slow_start_budget.has_lease() {
            self.refresh_slow_start(now); // the window has moved on, or the lease is over
            self.slow_start_budget.note_demand();
        }
        let mut still = VecDeque::new();
        while let Some(id) = self.waiting.pop_front() {
            let Some(request) = self
                .requests
                .get(&id)
                .filter(|request| !request.is_finished)
            else {
                continue;
            };
            let ripe = request.deferral.is_none_or(|(_, until)| until <= now);
            let paused = self.window < 1.0 && now < self.pause_until;
            // What no server is left for, or no set-up would be in time for, is told so at once.
            let needs = QUEUE_TICK.max(Duration::from_secs_f64(self.setup_floor)) * 2;
            let spent = request.attempt_count >= request.max_attempts
                || request.deadline.saturating_duration_since(now) < needs;
            if spent || self.permitted_servers(now, request).next().is_none() {
                self.reject_or_fail(id, actions);
            } else if ripe && !paused && (self.in_setup as f64) < self.window {
                self.start_attempt(now, id, actions);
            } else {
                still.push_back(id);
            }
        }
        self.waiting = still;
        if !self.waiting.is_empty() && !self.queue_timer {
            self.queue_timer = true;
            actions.push(Action::SetTimer {
                after: QUEUE_TICK,
                timer: Timer::Queue,
            });
        }
    }

    /// Sends the request to the highest score that the gate lets it have, or ends it.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_go = request.deadline > now && request.attempt_count < request.max_attempts;
        let chosen = may_go.then(|| self.select_server(now, request)).flatten();
        // Where none takes it the best one is asked anew: it may have been full, or cold, a while ago.
        let best = || {
            self.ranked_servers(now, request, 0, 1)
                .first()
                .map(|(at, _)| *at)
                .filter(|_| may_go)
        };
        let asked = chosen.map(|(at, _)| at).or_else(best);
        let asked = asked.filter(|_| !(request.is_mid_flow && request.attempt_count == 0));
        if asked.is_some_and(|at| self.refresh_report(now, at, actions)) {
            let until = now.saturating_add(QUEUE_TICK);
            self.requests
                .entry(id)
                .and_modify(|taken| taken.deferral = asked.map(|at| (at, until)));
            return self.waiting.push_back(id);
        }
        let Some((at, gave_way)) = chosen else {
            return self.reject_or_fail(id, actions);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let timeout = request.attempt_timeout(now, self.setup_mean);
        if self
            .fleet
            .servers
            .get(at)
            .is_some_and(|server| server.is_warming_up)
        {
            self.slow_start_budget.record_send(now);
            self.slow_start_budget.mark = random_fraction(&mut self.chance);
        }
        self.fleet.update(at, |server| {
            server.slow_start_tokens -= 1.0;
            if gave_way {
                // Once a while only, or a full server would take everything between two reports.
                server.limit_raised_at = Some(now);
                server.concurrency_limit = server.concurrency_limit.max(server.load);
            }
            server.half_open = server.ejected_until.is_some();
        });
        self.refresh_slow_start(now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt_count += 1;
            request.deferral = None;
            request.tried_servers.push(at);
            let free = request.is_mid_flow && request.attempt_count == 1;
            self.in_setup += usize::from(!free);
            request.in_flight = Some(Attempt {
                server: at,
                skips_setup: free,
                sent_at: now,
                is_established: false,
            });
        }
        self.account_for(id, true);
        let named = self.fleet.servers.id(at).cloned();
        actions.extend(named.map(|server| Action::StartAttempt {
            request: id,
            server,
            timeout,
        }));
    }
}
