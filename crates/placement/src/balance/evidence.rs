//! What the ends of attempts and probes tell of servers and of zones: which of them are left alone, and for how long.

use super::{
    first_window, Actions, Attempt, Balancer, Outcome, Slot, Timestamp, BAR, FAILING_RATE,
    LONGEST_BAR, MOST_BARRED, SHARED, STRIKES, TOGETHER, ZONE_LOST,
};

/// Servers that are probed at once to see whether a zone is out of reach.
const MOST_LOOKS: usize = 8;

impl Balancer {
    pub(super) fn weigh_outcome(
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
    pub(super) fn strike(
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

    /// Guards against a zone that is lost and tried server by server.
    pub(super) fn zone_failed(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) {
        let until = now.saturating_add(ZONE_LOST.mul_f64(0.5 + 0.5 * self.jitter()));
        let (mut lost, mut new, cut) = (0.0, false, self.asks());
        for at in self.fleet.zone_failed(now, at, ZONE_LOST, cut) {
            self.fleet.change(at, |server| {
                new |= cut && !std::mem::replace(&mut server.cut, cut);
                server.barred_until = server.barred_until.max(Some(until));
                lost += server.weight;
            });
        }
        if lost > 0.0 {
            self.share_out(now, lost, actions);
        }
        if new {
            // What failed on the way there says nothing of set-ups elsewhere.
            (self.failing.0, self.pause_until) = (0.0, now);
            self.window = self.window.max(first_window(&self.settings));
        }
    }

    /// An attempt or a probe got no answer there while another zone answers. Gives whether this one's zone is out of
    /// reach: then what is known not to answer there serves nobody. Guards against a zone that is cut off, whose
    /// servers are tried one by one, and whose time-outs pass for a fault behind all servers.
    fn zone_silent(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) -> bool {
        if !self.asks() {
            return false; // one slow to set up looks no different
        }
        self.look_around(now, at, actions);
        if !self.fleet.answers_elsewhere(now, at, ZONE_LOST) {
            return false;
        }
        self.zone_failed(now, at, actions);
        let cut = self.fleet.servers.get(at).is_some_and(|server| server.cut);
        for at in self.fleet.failed_with(at).into_iter().filter(|_| cut) {
            self.empty(at, f64::INFINITY, actions);
        }
        cut
    }

    /// Probes the others of a zone in which one does not answer, and one elsewhere.
    fn look_around(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) {
        let Some(zone) = self.fleet.servers.get(at).map(|server| server.zone) else {
            return;
        };
        let near = self
            .fleet
            .ready_in(|other| other == zone)
            .into_iter()
            .take(MOST_LOOKS);
        let far = self
            .fleet
            .ready_in(|other| other != zone)
            .into_iter()
            .take(1);
        for at in near.chain(far).collect::<Vec<_>>() {
            self.ask(now, at, actions);
        }
    }

    /// Upkeep: one server of each zone that is out of reach is asked whether it still is.
    pub(super) fn look_at_cut_zones(&mut self, now: Timestamp, actions: &mut Actions) {
        for zone in self.fleet.cut_zones() {
            let there = self.fleet.ready_in(|other| other == zone);
            let place = (self.jitter() * there.len() as f64) as usize;
            if let Some(at) = there.get(place) {
                self.ask(now, *at, actions);
            }
        }
    }

    pub(super) fn probed(
        &mut self,
        now: Timestamp,
        server: Slot,
        report: Option<Vec<f64>>,
        actions: &mut Actions,
    ) {
        if let Some(probed) = self
            .fleet
            .servers
            .get_mut(server)
            .and_then(|server| server.probed.as_mut())
        {
            probed.1 = false;
        }
        for request in &self.waiting {
            self.requests
                .entry(*request)
                .and_modify(|r| r.asked = r.asked.filter(|(at, _)| *at != server));
        }
        match report {
            Some(values) => {
                self.fleet.zone_stands(now, server);
                self.reported(now, server, &values, actions);
            }
            None if self.zone_silent(now, server, actions) => {}
            None => self.strike(now, server, 1, true, actions),
        }
        self.pump(now, actions);
    }
}
