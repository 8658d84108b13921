//! What the ends of attempts tell of servers.

use crate::balancer::{Actions, Balancer};
use crate::state::request::Attempt;
use crate::state::server_table::ServerSlot;
use crate::{Outcome, Timestamp};
use std::time::Duration;

pub(crate) const STRIKES: u32 = 2; // failures in a row, with no success between, that bar a server
/// A first bar lasts this long; each further one twice as long, up to the longest.
const BAR: Duration = Duration::from_secs(1);
const LONGEST_BAR: Duration = Duration::from_secs(8);
/// At most this part of the ready servers may be barred on evidence; past it the evidence is not believed.
const MOST_BARRED: f64 = 0.5;
/// Standing connections that a server drops within this time of each other broke by its doing.
const TOGETHER: Duration = Duration::from_secs(1);
/// Past this part of set-ups failing at one server after another something shared is at fault.
const SHARED: f64 = 0.5;
pub(crate) const FAILING_RATE: f64 = 0.2;

impl Balancer {
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        tried: &Attempt,
        outcome: Outcome,
        over: bool,
        actions: &mut Actions,
    ) {
        let (at, stood) = (tried.server, tried.is_established);
        match outcome {
            Outcome::ConnectFailed => {
                self.record_failure(now, at, STRIKES, false, actions);
                self.on_server_unreachable(now, at, actions);
            }
            // It tells of the way there, not of what is behind all servers or of how long a set-up takes.
            Outcome::TimedOut if !stood && self.on_server_silent(now, at, actions) => {}
            Outcome::TimedOut | Outcome::Error if !stood => {
                let Some(server) = self.fleet.servers.get(at) else {
                    return;
                };
                if std::mem::replace(&mut self.failing.1, server.hash) != server.hash {
                    self.failing.0 += FAILING_RATE * (1.0 - self.failing.0);
                }
                // One server after the other fails: what is behind them all is at fault, not this one.
                // Patience grows, for attempts given up just before they would have stood bury it deeper.
                if self.failing.0 > SHARED {
                    let took = now.saturating_duration_since(tried.sent_at).as_secs_f64();
                    self.setup_mean += FAILING_RATE * (took - self.setup_mean).max(0.0);
                    self.shrink_setup_window(now);
                } else {
                    self.record_failure(now, at, 1, outcome == Outcome::TimedOut, actions);
                }
            }
            Outcome::Rejected => self.record_overload(now, at, 0.9, false, actions),
            Outcome::Reset | Outcome::ClosedBeforeSend if !stood => {
                self.record_failure(now, at, 1, false, actions);
            }
            Outcome::Reset if over => {
                let Some(server) = self.fleet.servers.get_mut(at) else {
                    return;
                };
                // Networks break single connections. Several at once: it drops them to save the rest; or
                // every one broke, and it is gone though listed.
                let together = server
                    .connection_dropped_at
                    .replace(now)
                    .is_some_and(|last| now.saturating_duration_since(last) < TOGETHER);
                if together || server.connections.is_empty() {
                    let gone = server.connections.is_empty();
                    server.restart_suspected |= together && gone;
                    self.record_overload(now, at, 0.9, true, actions);
                    if gone {
                        self.on_server_unreachable(now, at, actions);
                    }
                }
            }
            _ => {}
        }
    }

    /// Guards against servers that died or answer nothing, long before the list tells. `silent`: it did not
    /// answer at all, so its standing connections earn nothing. One that errs may serve those; they stay.
    pub(crate) fn record_failure(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        weight: u32,
        silent: bool,
        actions: &mut Actions,
    ) {
        let jitter = self.jitter();
        let sums = &self.fleet.totals;
        let (ready, barred) = (
            sums.ready - sums.unreachable,
            sums.ejected - sums.unreachable,
        );
        let Some(server) = self.fleet.servers.get_mut(at) else {
            return;
        };
        let others = barred - f64::from(u8::from(server.ejected_until.is_some()));
        // A server that takes no connection is out of use however many others are.
        let believable = weight >= STRIKES || others + 1.0 <= ready * MOST_BARRED;
        server.consecutive_failures += weight;
        if server.consecutive_failures < STRIKES
            || server.ejected_until.is_some_and(|until| now < until)
            || !believable
        {
            return;
        }
        self.fleet.update(at, |server| {
            let span = BAR
                .mul_f64(f64::from(1u32 << server.ejection_count.min(3)))
                .min(LONGEST_BAR);
            server.ejected_until = Some(now.saturating_add(span.mul_f64(0.75 + 0.5 * jitter)));
            server.ejection_count += 1;
            server.restart_suspected |= server.connections.is_empty();
        });
        if silent {
            self.migrate_all(at, 0.0, actions);
        }
    }
}
