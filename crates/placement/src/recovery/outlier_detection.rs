//! Outlier detection: counts the failures of servers in attempts and health checks, and ejects servers for them.

use crate::balancer::{Actions, Balancer};
use crate::limits::overload::ExcessLoad;
use crate::recovery::ejection::EJECTION_FAILURES;
use crate::recovery::migration::MigrationAllowance;
use crate::state::elapsed::happened_within;
use crate::state::request::Attempt;
use crate::state::server_table::ServerSlot;
use crate::{Outcome, ServerId, Timestamp};
use std::time::Duration;

/// At most this fraction of the reachable servers may be ejected on inconclusive failures, which are ignored beyond
/// it.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// Established connections that break at a server within this time of each other were dropped by the server.
const DROPPED_TOGETHER_WINDOW: Duration = Duration::from_secs(1);
/// The fraction of its present load to which a server is limited after it rejected an attempt or dropped connections.
const OVERLOAD_RETAINED_RATIO: f64 = 0.9;

/// A kind of failure of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The server returned an error. It may still serve its established connections.
    Error,
    /// The server did not answer once.
    NoAnswer,
    /// The server accepts no connection.
    Unavailable,
    /// The server has not answered for so long that its clients are not served.
    Stalled,
}

impl Failure {
    /// The number of failures that this one counts for.
    fn weight(self) -> u32 {
        match self {
            Failure::Error | Failure::NoAnswer => 1,
            Failure::Unavailable | Failure::Stalled => EJECTION_FAILURES,
        }
    }

    /// Returns true if the failure counts however many servers are ejected.
    fn is_conclusive(self) -> bool {
        self.weight() >= EJECTION_FAILURES
    }

    /// Returns true if the server does not answer at all, so that the clients of its established connections are not
    /// served.
    fn is_unresponsive(self) -> bool {
        matches!(self, Failure::NoAnswer | Failure::Stalled)
    }
}

impl Balancer {
    /// Evaluates the end of an attempt. `is_finished`: its request needs no further attempt.
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

    /// Handles a failed setup: the fault is the server's, its zone's, or behind all servers.
    fn on_setup_failed(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let slot = attempt.server;
        let timed_out = outcome == Outcome::TimedOut;
        // An unreachable zone says nothing about a fault behind all servers or about the time that a setup takes.
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
                .record_shared_failure(now, duration, &mut self.jitter_rng);
            return;
        }
        let failure = if timed_out {
            Failure::NoAnswer
        } else {
            Failure::Error
        };
        self.record_failure(now, slot, failure, actions);
    }

    /// Handles a dropped connection. A single drop may be a network fault and is ignored if other connections remain.
    /// If several are dropped at once, the server is overloaded and sheds load. If none remains, the server has failed
    /// although the endpoint list still contains it.
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

    /// Counts a failure and ejects the server once it is due. Guards against servers that failed or do not answer,
    /// long before the endpoint list reports it.
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
        let is_credible =
            failure.is_conclusive() || ejected_others + 1.0 <= reachable * MAX_EJECTED_RATIO;
        if !is_credible || !server.ejection.is_due(now) {
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

    /// Ejects a server that answers on none of its established connections. Whether it failed or was unreachable, it
    /// may be warming up when it returns.
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
