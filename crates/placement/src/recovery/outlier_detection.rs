//! Outlier detection: what the ends of attempts and health checks tell of servers, and which are ejected for it.

use crate::balancer::{Actions, Balancer};
use crate::limits::overload::ExcessLoad;
use crate::recovery::ejection::EJECTION_FAILURES;
use crate::recovery::migration::MigrationAllowance;
use crate::state::elapsed::happened_within;
use crate::state::request::Attempt;
use crate::state::server_table::ServerSlot;
use crate::{Outcome, ServerId, Timestamp};
use std::time::Duration;

/// At most this part of the ready servers may be ejected on evidence; past it the evidence is not believed.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// Established connections that a server drops within this time of each other broke by its doing.
const DROPPED_TOGETHER_WINDOW: Duration = Duration::from_secs(1);
/// A server that rejects attempts or drops connections retains this part of what it holds.
const OVERLOAD_RETAINED_RATIO: f64 = 0.9;

/// Evidence against a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It erred. It may still serve its established connections.
    Error,
    /// It did not answer once.
    NoAnswer,
    /// It takes no connection.
    Unavailable,
    /// It has not answered for so long that nobody is served there.
    Stalled,
}

impl Failure {
    /// The number of failures that it counts for.
    fn weight(self) -> u32 {
        match self {
            Failure::Error | Failure::NoAnswer => 1,
            Failure::Unavailable | Failure::Stalled => EJECTION_FAILURES,
        }
    }

    /// Whether it is believed however many servers are ejected.
    fn is_conclusive(self) -> bool {
        self.weight() >= EJECTION_FAILURES
    }

    /// Whether the server does not answer at all, so that nobody is served on its established connections.
    fn is_unresponsive(self) -> bool {
        matches!(self, Failure::NoAnswer | Failure::Stalled)
    }
}

impl Balancer {
    /// An attempt ended. `is_finished`: its request needs no other one.
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        outcome: Outcome,
        is_finished: bool,
        actions: &mut Actions,
    ) {
        let slot = attempt.server;
        let was_established = attempt.is_established;
        match outcome {
            Outcome::ConnectFailed => {
                self.record_failure(now, slot, Failure::Unavailable, actions);
                self.on_server_unreachable(now, slot, actions);
            }
            Outcome::TimedOut | Outcome::Error if !was_established => {
                self.on_setup_failed(now, attempt, outcome, actions);
            }
            Outcome::Rejected => {
                let retained_ratio = OVERLOAD_RETAINED_RATIO;
                self.record_overload(now, slot, retained_ratio, ExcessLoad::Keep, actions);
            }
            Outcome::Reset | Outcome::ClosedBeforeSend if !was_established => {
                self.record_failure(now, slot, Failure::Error, actions);
            }
            Outcome::Reset if is_finished => self.on_connection_dropped(now, slot, actions),
            _ => {}
        }
    }

    /// No connection came up: the fault is the server's, its zone's, or that of something behind all servers.
    fn on_setup_failed(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let slot = attempt.server;
        let timed_out = outcome == Outcome::TimedOut;
        // An unreachable zone says nothing of what is behind all servers or of how long a setup takes.
        if timed_out && self.on_no_answer(now, slot, actions) {
            return;
        }
        let Some(server) = self.fleet.servers.get(slot) else {
            return;
        };
        self.shared_failures.record_failure(server.hash);
        if self.shared_failures.is_detected() {
            let duration = now.saturating_duration_since(attempt.sent_at);
            self.setup_window
                .record_shared_failure(now, duration, &mut self.jitter_random);
            return;
        }
        let failure = if timed_out {
            Failure::NoAnswer
        } else {
            Failure::Error
        };
        self.record_failure(now, slot, failure, actions);
    }

    /// Networks break single connections. Where several break at once the server drops them to save the rest, or every
    /// one broke and it is gone though listed.
    fn on_connection_dropped(&mut self, now: Timestamp, slot: ServerSlot, actions: &mut Actions) {
        let Some(server) = self.fleet.servers.get_mut(slot) else {
            return;
        };
        let last_dropped_at = server.connection_dropped_at.replace(now);
        let dropped_together = happened_within(now, last_dropped_at, DROPPED_TOGETHER_WINDOW);
        let is_empty = server.connections.is_empty();
        if !dropped_together && !is_empty {
            return;
        }
        server.restart_suspected |= dropped_together && is_empty;
        let retained_ratio = OVERLOAD_RETAINED_RATIO;
        self.record_overload(now, slot, retained_ratio, ExcessLoad::Shed, actions);
        if is_empty {
            self.on_server_unreachable(now, slot, actions);
        }
    }

    /// Counts a failure and ejects the server once it is due. Guards against servers that died or answer nothing, long
    /// before the endpoint list tells.
    pub(crate) fn record_failure(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        failure: Failure,
        actions: &mut Actions,
    ) {
        let jitter = self.jitter();
        let totals = &self.fleet.totals;
        let reachable = totals.ready - totals.unreachable;
        let ejected = totals.ejected - totals.unreachable;
        let Some(server) = self.fleet.servers.get_mut(slot) else {
            return;
        };
        server.ejection.consecutive_failures += failure.weight();
        let is_ejected = server.ejection.until.is_some();
        let ejected_others = ejected - f64::from(u8::from(is_ejected));
        let is_believed =
            failure.is_conclusive() || ejected_others + 1.0 <= reachable * MAX_EJECTED_RATIO;
        if !is_believed || !server.ejection.is_due(now) {
            return;
        }
        self.fleet.update(slot, |server| {
            server.ejection.eject(now, jitter);
            server.restart_suspected |= server.connections.is_empty();
        });
        if failure.is_unresponsive() {
            self.migrate_all(slot, MigrationAllowance::Budget, actions);
        }
    }

    /// None of the server's established connections is answered. Whether it died or was cut off, it may come back
    /// warming up.
    pub(crate) fn on_server_unresponsive(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        actions: &mut Actions,
    ) {
        let slot = self.fleet.servers.slot(server);
        self.record_failure(now, slot, Failure::Unavailable, actions);
        self.migrate_all(slot, MigrationAllowance::Unlimited, actions);
        self.fleet
            .update(slot, |server| server.restart_suspected = true);
    }
}
