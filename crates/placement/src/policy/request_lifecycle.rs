//! How a request is taken in, and what follows when its connection stands.

use crate::balancer::{Actions, Balancer};
use crate::hashing::{key_hash, murmur, unit_interval, KEY_SEED};
use crate::recovery::migration::MOVES_SAVED;
use crate::recovery::outlier_detection::FAILING_RATE;
use crate::state::request::RequestState;
use crate::{RequestId, RequestInfo, Timestamp};
use std::time::Duration;

const SLOW_SETUP: f64 = 3.0;
/// What may be spent on probes, in points of the result for each request taken, and how old a report may be
/// before the server is asked anew ahead of a placement.
const PROBE_SPEND: f64 = 0.0025;

impl Balancer {
    pub(crate) fn new_request_state(&mut self, incoming: RequestInfo) -> RequestState {
        self.demand += 1.0;
        let group = incoming.group.as_deref().map(key_hash);
        let client = incoming.key.as_deref().map(key_hash);
        let client = client.unwrap_or_else(|| murmur(&incoming.request.0.to_le_bytes(), KEY_SEED));
        if let Some(group) = group {
            self.seen += 1.0;
            *self.seen_groups.entry(group).or_default() += 1.0;
        }
        self.probe_tokens += PROBE_SPEND / self.settings.health_check_cost.max(1e-9);
        let place = if incoming.is_reconnect {
            self.jitter()
        } else {
            unit_interval(client)
        };
        RequestState {
            class: incoming.class,
            class_rules: self.settings.classes.get(incoming.class).copied(),
            max_attempts: self.settings.max_attempts,
            tenant: incoming.tenant,
            is_reconnect: incoming.is_reconnect,
            group,
            key: group.unwrap_or(client),
            split_position: place,
            load: incoming
                .load
                .map(|load| load.as_secs_f64())
                .filter(|load| *load > 0.0),
            deadline: incoming.deadline,
            is_mid_flow: incoming.is_mid_flow,
            ..RequestState::default()
        }
    }

    pub(crate) fn on_established(
        &mut self,
        now: Timestamp,
        id: RequestId,
        took: Duration,
        actions: &mut Actions,
    ) {
        let Some(attempt) = self
            .requests
            .get_mut(&id)
            .and_then(|taken| taken.in_flight.as_mut())
        else {
            return;
        };
        let new = !std::mem::replace(&mut attempt.is_established, true);
        let at = attempt.server;
        // What stood before may be moved at once, and brings its part of the moves allowed.
        attempt.sent_at = now;
        if attempt.skips_setup {
            self.move_tokens += MOVES_SAVED;
        } else if new {
            self.in_setup = self.in_setup.saturating_sub(1);
            let took = took.as_secs_f64();
            self.setup_mean += 0.05 * (took - self.setup_mean);
            self.failing.0 -= FAILING_RATE * self.failing.0;
            // The usual quick set-up: falls quickly to a quicker one, rises slowly.
            self.setup_floor +=
                (took - self.setup_floor) * if took < self.setup_floor { 0.3 } else { 0.01 };
            if took > SLOW_SETUP * self.setup_floor {
                self.shrink_setup_window(now);
            } else if self.window < 1.0 || (self.in_setup as f64) > self.window / 2.0 {
                self.window += 0.5;
            }
        }
        self.fleet.record_zone_answer(now, at);
        let settings = &self.settings;
        self.fleet.update(at, |server| {
            (
                server.consecutive_failures,
                server.ejected_until,
                server.half_open,
            ) = (0, None, false);
            if server.restart_suspected {
                // The list may not tell for seconds that the process is a new one; it is cold all the same.
                server.restart_suspected = false;
                server.started_at = server.started_at.max(Some(now));
                (
                    server.slow_start_tokens,
                    server.slow_start_refilled_at,
                    server.utilization,
                ) = (0.0, now, None);
                server.is_warming_up = server.is_in_slow_start(settings, now);
            }
        });
        self.dispatch_queued(now, actions);
    }
}
