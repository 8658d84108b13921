//! Attempts: starting one, and handling its established connection.

use crate::balancer::{Actions, Balancer};
use crate::hashing::random_fraction;
use crate::policy::selection::Selection;
use crate::state::request::{Attempt, Deferral, RequestState};
use crate::state::server_table::ServerSlot;
use crate::timer::QUEUE_INTERVAL;
use crate::{Action, RequestId, Timestamp};
use std::time::Duration;

impl Balancer {
    /// Sends the request to the selected server, defers it until a load report of that server arrives, or ends it.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_start = request.deadline > now && request.has_attempts_left();
        let selection = may_start
            .then(|| self.select_server(now, request))
            .flatten();
        let checked = may_start
            .then(|| self.server_to_check(now, request, selection))
            .flatten();
        if let Some(slot) = checked {
            if self.refresh_report(now, slot, actions) {
                self.defer_for_report(now, id, slot);
                return;
            }
        }
        match selection {
            Some(selection) => self.send_attempt(now, id, selection, actions),
            None => self.reject_or_fail(id, actions),
        }
    }

    /// Returns the server whose load report is refreshed before the attempt. If no server admits the request, this is
    /// the top-ranked one: its last report may date from when it was full or warming up.
    fn server_to_check(
        &self,
        now: Timestamp,
        request: &RequestState,
        selection: Option<Selection>,
    ) -> Option<ServerSlot> {
        if request.is_first_mid_flow_attempt() {
            return None;
        }
        let selected = selection.map(|selection| selection.slot);
        selected.or_else(|| {
            let best = self.ranked_servers(now, request, 0, 1);
            best.first().map(|candidate| candidate.slot)
        })
    }

    fn defer_for_report(&mut self, now: Timestamp, id: RequestId, slot: ServerSlot) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deferral = Some(Deferral {
                awaited_server: slot,
                until: now.saturating_add(QUEUE_INTERVAL),
            });
        }
        self.queue.push_back(id);
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        selection: Selection,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let timeout = request.attempt_timeout(now, self.setup_window.mean_setup_seconds());
        self.charge_attempt(now, selection);
        self.refresh_slow_start(now);
        if let Some(request) = self.requests.get_mut(&id) {
            let skips_setup = request.is_first_mid_flow_attempt();
            if !skips_setup {
                self.setup_window.begin_setup();
            }
            request.begin_attempt(Attempt {
                server: selection.slot,
                skips_setup,
                sent_at: now,
                is_established: false,
                is_migrated: false,
            });
        }
        self.account_for(id);
        if let Some(server) = self.fleet.servers.id(selection.slot) {
            actions.push(Action::StartAttempt {
                request: id,
                server: server.clone(),
                timeout,
            });
        }
    }

    /// Charges the attempt to the slow-start budget and the server's tokens, and marks an ejected server as
    /// half-open.
    fn charge_attempt(&mut self, now: Timestamp, selection: Selection) {
        let server = self.fleet.servers.get(selection.slot);
        if server.is_some_and(|server| server.slow_start.is_active) {
            let next_threshold = random_fraction(&mut self.fleet_rng);
            self.slow_start_budget.spend(now, next_threshold);
        }
        self.fleet.update(selection.slot, |server| {
            // Only servers in slow start are limited by their tokens.
            server.slow_start.tokens -= 1.0;
            if selection.exceeds_limit {
                // Records the time, because a limit is raised only once per interval; otherwise a full server would
                // accept every request between two reports.
                server.limit.raise_to(now, server.load);
            }
            server.ejection.is_half_open = server.ejection.until.is_some();
        });
    }

    pub(crate) fn on_established(
        &mut self,
        now: Timestamp,
        id: RequestId,
        setup_duration: Duration,
        actions: &mut Actions,
    ) {
        let in_flight = self
            .requests
            .get_mut(&id)
            .and_then(|request| request.in_flight.as_mut());
        let Some(attempt) = in_flight else {
            return;
        };
        let was_established = attempt.is_established;
        let skips_setup = attempt.skips_setup;
        let slot = attempt.server;
        attempt.is_established = true;
        attempt.sent_at = now;
        if skips_setup {
            self.migration_budget.credit_inherited();
        } else if !was_established {
            self.shared_failures.record_success();
            self.setup_window
                .record_success(now, setup_duration, &mut self.jitter_rng);
        }
        self.fleet.record_zone_answer(now, slot);
        let settings = &self.settings;
        self.fleet
            .update(slot, |server| server.record_success(settings, now));
        self.dispatch_queued(now, actions);
    }
}
