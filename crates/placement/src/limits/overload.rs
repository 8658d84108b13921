//! Concurrency limits of servers, from reports and delays.

use crate::balancer::{Actions, Balancer};
use crate::recovery::outlier_detection::STRIKES;
use crate::recovery::upkeep::TICK;
use crate::state::server_table::ServerSlot;
use crate::{RequestId, Timestamp};
use std::time::Duration;

/// A server's cap falls to this part of the fair load at the least, and rises by this part of it a second
/// while the server is not crowded, faster once it has not been for long.
const LEAST_CAP: f64 = 0.1;
pub(crate) const CALM: Duration = Duration::from_secs(4);
/// Over this part of the shortest message aim a server may hold only that part of what it holds, and what is
/// over it moves off.
const LATE: [(f64, f64); 5] = [(5.0, 0.5), (1.5, 0.75), (0.8, 0.9), (0.5, 0.96), (0.3, 1.0)];
const LATE_SHEDS: f64 = 0.5;
/// Utilisation to which servers may be filled, where they report it, and from which they shed.
pub(crate) const FULL: f64 = 0.85;
const CROWDED: f64 = 0.93;
const SILENT_FOR: Duration = Duration::from_secs(4);

impl Balancer {
    pub(crate) fn on_delay_observed(
        &mut self,
        now: Timestamp,
        id: RequestId,
        delay: Duration,
        actions: &mut Actions,
    ) {
        let Some(out) = self
            .requests
            .get(&id)
            .and_then(|request| request.in_flight.as_ref())
        else {
            return;
        };
        let server = out.server;
        let part = delay.as_secs_f64() / self.min_message_objective.as_secs_f64().max(1e-9);
        if part > LATE_SHEDS {
            self.refresh_report(now, server, actions); // a report that has grown old keeps it from being relieved
        }
        if part > 1.5 {
            self.send_slow_hint(now, server, delay >= SILENT_FOR, actions);
        }
        if delay >= SILENT_FOR {
            // No queue is that long: it answers nothing, and its connections had best leave.
            self.record_failure(now, server, STRIKES, true, actions);
        } else if let Some((_, keep)) = LATE.iter().find(|(over, _)| part > *over) {
            self.record_overload(now, server, *keep, part > LATE_SHEDS, actions);
        }
    }

    /// A report of utilisation counts everybody's load, so it goes before what this gateway's own load tells.
    pub(crate) fn on_load_report(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        values: &[f64],
        actions: &mut Actions,
    ) {
        let Some(used) = self
            .settings
            .utilization_field
            .and_then(|place| values.get(place))
        else {
            return;
        };
        // With connections on it that load it, none at all tells of a time before they came.
        if *used <= 0.0
            && self
                .fleet
                .servers
                .get(at)
                .is_some_and(|server| !server.connections.is_empty())
        {
            return;
        }
        self.fleet.update(at, |server| {
            server.utilization = Some((now, *used));
            (server.load_since_report, server.connections_at_report) =
                (0.0, server.connections.len());
            server.concurrency_limit = if *used > FULL {
                server.load * FULL / *used
            } else {
                f64::INFINITY
            };
            if *used > FULL {
                server.overloaded_at = Some(now);
            }
        });
        if *used > CROWDED {
            self.shed_load(now, at, actions);
        }
    }

    /// The server is crowded: from now on it may hold only `keep` of what it holds, and where `sheds` is set
    /// what is over that moves off. Guards against servers that are slower or more loaded than their share of
    /// keys assumes, and, where all are, against a fleet that answers all late instead of most in time.
    pub(crate) fn record_overload(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        keep: f64,
        sheds: bool,
        actions: &mut Actions,
    ) {
        let fair = self.fair_unit();
        let Some(server) = self.fleet.servers.get(at) else {
            return;
        };
        let reported = server
            .utilization
            .is_some_and(|(at, _)| now.saturating_duration_since(at) < CALM);
        if reported
            || server
                .overloaded_at
                .is_some_and(|at| now.saturating_duration_since(at) < TICK.mul_f64(0.9))
        {
            return;
        }
        self.fleet.update(at, |server| {
            server.overloaded_at = Some(now);
            server.concurrency_limit = server
                .concurrency_limit
                .min((server.load * keep).max(fair * LEAST_CAP));
        });
        if sheds {
            self.shed_load(now, at, actions);
        }
    }
}
