//! What the ends of attempts tell of servers.

use crate::balancer::{Actions, Balancer};
use crate::state::request::Attempt;
use crate::state::server_table::Slot;
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
    pub(crate) fn weigh_outcome(
        &mut self,
        now: Timestamp,
        tried: &Attempt,
        outcome: Outcome,
        over: bool,
        actions: &mut Actions,
    ) {
        let (at, stood) = (tried.server, tried.stands);
        match outcome {
            Outcome::ConnectFailed => {
                self.strike(now, at, STRIKES, false, actions);
                self.zone_failed(now, at, actions);
            }
            // It tells of the way there, not of what is behind all servers or of how long a set-up takes.
            Outcome::TimedOut if !stood && self.zone_silent(now, at, actions) => {}
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
                    let took = now.saturating_duration_since(tried.sent).as_secs_f64();
                    self.setup_mean += FAILING_RATE * (took - self.setup_mean).max(0.0);
                    self.cut_window(now);
                } else {
                    self.strike(now, at, 1, outcome == Outcome::TimedOut, actions);
                }
            }
            Outcome::Rejected => self.crowd(now, at, 0.9, false, actions),
            Outcome::Reset | Outcome::ClosedBeforeSend if !stood => {
                self.strike(now, at, 1, false, actions);
            }
            Outcome::Reset if over => {
                let Some(server) = self.fleet.servers.get_mut(at) else {
                    return;
                };
                // Networks break single connections. Several at once: it drops them to save the rest; or
                // every one broke, and it is gone though listed.
                let together = server
                    .dropped
                    .replace(now)
                    .is_some_and(|last| now.saturating_duration_since(last) < TOGETHER);
                if together || server.held.is_empty() {
                    let gone = server.held.is_empty();
                    server.crashed |= together && gone;
                    self.crowd(now, at, 0.9, true, actions);
                    if gone {
                        self.zone_failed(now, at, actions);
                    }
                }
            }
            _ => {}
        }
    }

    /// Guards against servers that died or answer nothing, long before the list tells. `silent`: it did not
    /// answer at all, so its standing connections earn nothing. One that errs may serve those; they stay.
    pub(crate) fn strike(
        &mut self,
        now: Timestamp,
        at: Slot,
        weight: u32,
        silent: bool,
        actions: &mut Actions,
    ) {
        let jitter = self.jitter();
        let sums = &self.fleet.sums;
        let (ready, barred) = (sums.ready - sums.cut, sums.barred - sums.cut);
        let Some(server) = self.fleet.servers.get_mut(at) else {
            return;
        };
        let others = barred - f64::from(u8::from(server.barred_until.is_some()));
        // A server that takes no connection is out of use however many others are.
        let believable = weight >= STRIKES || others + 1.0 <= ready * MOST_BARRED;
        server.strikes += weight;
        if server.strikes < STRIKES
            || server.barred_until.is_some_and(|until| now < until)
            || !believable
        {
            return;
        }
        self.fleet.change(at, |server| {
            let span = BAR
                .mul_f64(f64::from(1u32 << server.bars.min(3)))
                .min(LONGEST_BAR);
            server.barred_until = Some(now.saturating_add(span.mul_f64(0.75 + 0.5 * jitter)));
            server.bars += 1;
            server.crashed |= server.held.is_empty();
        });
        if silent {
            self.empty(at, 0.0, actions);
        }
    }
}
