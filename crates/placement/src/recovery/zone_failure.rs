//! Zones that are out of reach.

use crate::balancer::{Actions, Balancer};
use crate::limits::setup_window::initial_setup_window;
use crate::state::server_table::ServerSlot;
use crate::Timestamp;
use std::time::Duration;

/// Servers of one zone out of reach within this time may tell that all of it is; so long it is left.
const ZONE_LOST: Duration = Duration::from_secs(2);
/// Servers that are probed at once to see whether a zone is out of reach.
const MOST_LOOKS: usize = 8;

impl Balancer {
    /// Guards against a zone that is lost and tried server by server.
    pub(crate) fn on_server_unreachable(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        actions: &mut Actions,
    ) {
        let until = now.saturating_add(ZONE_LOST.mul_f64(0.5 + 0.5 * self.jitter()));
        let (mut lost, mut new, cut) = (0.0, false, self.load_reports_available());
        for at in self.fleet.zone_failed(now, at, ZONE_LOST, cut) {
            self.fleet.update(at, |server| {
                new |= cut && !std::mem::replace(&mut server.zone_unreachable, cut);
                server.ejected_until = server.ejected_until.max(Some(until));
                lost += server.weight;
            });
        }
        if lost > 0.0 {
            self.redistribute_keys(now, lost, actions);
        }
        if new {
            // What failed on the way there says nothing of set-ups elsewhere.
            (self.failing.0, self.pause_until) = (0.0, now);
            self.window = self.window.max(initial_setup_window(&self.settings));
        }
    }

    /// An attempt or a probe got no answer there while another zone answers. Gives whether this one's zone is out of
    /// reach: then what is known not to answer there serves nobody. Guards against a zone that is cut off, whose
    /// servers are tried one by one, and whose time-outs pass for a fault behind all servers.
    pub(crate) fn on_server_silent(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        if !self.load_reports_available() {
            return false; // one slow to set up looks no different
        }
        self.check_around(now, at, actions);
        if !self.fleet.answered_outside_zone_of(now, at, ZONE_LOST) {
            return false;
        }
        self.on_server_unreachable(now, at, actions);
        let cut = self
            .fleet
            .servers
            .get(at)
            .is_some_and(|server| server.zone_unreachable);
        for at in self
            .fleet
            .unreachable_in_zone_of(at)
            .into_iter()
            .filter(|_| cut)
        {
            self.migrate_all(at, f64::INFINITY, actions);
        }
        cut
    }

    /// Probes the others of a zone in which one does not answer, and one elsewhere.
    pub(crate) fn check_around(&mut self, now: Timestamp, at: ServerSlot, actions: &mut Actions) {
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
            self.send_health_check(now, at, actions);
        }
    }

    /// Upkeep: one server of each zone that is out of reach is asked whether it still is.
    pub(crate) fn check_unreachable_zones(&mut self, now: Timestamp, actions: &mut Actions) {
        for zone in self.fleet.unreachable_zones() {
            let there = self.fleet.ready_in(|other| other == zone);
            let place = (self.jitter() * there.len() as f64) as usize;
            if let Some(at) = there.get(place) {
                self.send_health_check(now, *at, actions);
            }
        }
    }
}
