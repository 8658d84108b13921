//! The queue of requests that wait for a set-up, and the start of an attempt.

use crate::balancer::{Actions, Balancer};
use crate::hashing::fraction;
use crate::state::request::Attempt;
use crate::{Action, RequestId, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

pub(crate) const QUEUE_HANDLE: u64 = 3;
/// How often waiting requests are looked at when nothing else happens; an answer to one is left twice this.
pub(crate) const QUEUE_TICK: Duration = Duration::from_millis(50);

impl Balancer {
    /// Sends the request, or lets it wait while too many set-ups are under way. Guards against a shared store
    /// (or any bottleneck behind all servers) that more attempts only bury deeper.
    pub(crate) fn place(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.mid_flow && request.attempts == 0)
        {
            self.send(now, id, actions);
        } else {
            self.waiting.push_back(id);
        }
        self.pump(now, actions);
    }

    /// Sends what waits and may go, oldest first, and ends what can no longer be answered in time.
    pub(crate) fn pump(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.cold.sliced() {
            self.open_cold(now); // the window has moved on, or the lease is over
            self.cold.sought();
        }
        let mut still = VecDeque::new();
        while let Some(id) = self.waiting.pop_front() {
            let Some(request) = self.requests.get(&id).filter(|request| !request.over) else {
                continue;
            };
            let ripe = request.asked.is_none_or(|(_, until)| until <= now);
            let paused = self.window < 1.0 && now < self.pause_until;
            // What no server is left for, or no set-up would be in time for, is told so at once.
            let needs = QUEUE_TICK.max(Duration::from_secs_f64(self.setup_floor)) * 2;
            let spent = request.attempts >= request.attempt_cap
                || request.expires.saturating_duration_since(now) < needs;
            if spent || self.permitted(now, request).next().is_none() {
                self.end_unserved(id, actions);
            } else if ripe && !paused && (self.in_setup as f64) < self.window {
                self.send(now, id, actions);
            } else {
                still.push_back(id);
            }
        }
        self.waiting = still;
        if !self.waiting.is_empty() && !self.queue_timer {
            self.queue_timer = true;
            actions.push(Action::SetTimer {
                after: QUEUE_TICK,
                handle: QUEUE_HANDLE,
            });
        }
    }

    /// Sends the request to the highest score that the gate lets it have, or ends it.
    pub(crate) fn send(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_go = request.expires > now && request.attempts < request.attempt_cap;
        let chosen = may_go.then(|| self.choose(now, request)).flatten();
        // Where none takes it the best one is asked anew: it may have been full, or cold, a while ago.
        let best = || {
            self.ranked(now, request, 0, 1)
                .first()
                .map(|(at, _)| *at)
                .filter(|_| may_go)
        };
        let asked = chosen.map(|(at, _)| at).or_else(best);
        let asked = asked.filter(|_| !(request.mid_flow && request.attempts == 0));
        if asked.is_some_and(|at| self.probe(now, at, actions)) {
            let until = now.saturating_add(QUEUE_TICK);
            self.requests
                .entry(id)
                .and_modify(|taken| taken.asked = asked.map(|at| (at, until)));
            return self.waiting.push_back(id);
        }
        let Some((at, gave_way)) = chosen else {
            return self.end_unserved(id, actions);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let patience = request.patience(now, self.setup_mean);
        if self.fleet.servers.get(at).is_some_and(|server| server.cold) {
            self.cold.send(now);
            self.cold.mark = fraction(&mut self.chance);
        }
        self.fleet.change(at, |server| {
            server.tokens -= 1.0;
            if gave_way {
                // Once a while only, or a full server would take everything between two reports.
                server.raised_at = Some(now);
                server.cap = server.cap.max(server.load);
            }
            server.trial = server.barred_until.is_some();
        });
        self.open_cold(now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.asked = None;
            request.tried.push(at);
            let free = request.mid_flow && request.attempts == 1;
            self.in_setup += usize::from(!free);
            request.out = Some(Attempt {
                server: at,
                free,
                sent: now,
                stands: false,
            });
        }
        self.count(id, true);
        let named = self.fleet.servers.id(at).cloned();
        actions.extend(named.map(|server| Action::StartAttempt {
            request: id,
            server,
            patience,
        }));
    }
}
