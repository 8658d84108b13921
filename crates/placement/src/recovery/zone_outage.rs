//! Zone outages: detection of unreachable zones, and ejection of their servers.

use crate::balancer::{Actions, Balancer};
use crate::recovery::migration::MigrationAllowance;
use crate::state::server_table::ServerSlot;
use crate::Timestamp;
use std::time::Duration;

/// Servers of one zone that are unreachable within this window may indicate an outage of the whole zone. The window
/// also bounds the ejection of the zone's servers.
const ZONE_OUTAGE_WINDOW: Duration = Duration::from_secs(2);
/// The minimum duration of an ejection with the zone, as a fraction of the window; the rest is random.
const MIN_OUTAGE_RATIO: f64 = 0.5;
/// Servers that are checked at once to find out whether their zone is reachable.
const MAX_ZONE_CHECKS: usize = 8;

impl Balancer {
    /// Records an unreachable server, and ejects its whole zone if that may be unreachable. Guards against a lost
    /// zone whose servers are tried one by one.
    pub(crate) fn on_server_unreachable(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        actions: &mut Actions,
    ) {
        let duration_ratio = MIN_OUTAGE_RATIO + (1.0 - MIN_OUTAGE_RATIO) * self.jitter();
        let until = now.saturating_add(ZONE_OUTAGE_WINDOW.mul_f64(duration_ratio));
        // Without health checks, only the next attempt in the zone could show that it is reachable again, so the zone
        // would stay without attempts if it counted as unreachable until one of its servers answers.
        let is_lasting = self.reports_utilization();
        let zone_slots = self
            .fleet
            .record_unreachable(now, slot, ZONE_OUTAGE_WINDOW, is_lasting);
        let mut lost_weight = 0.0;
        let mut is_new_outage = false;
        for slot in zone_slots {
            self.fleet.update(slot, |server| {
                is_new_outage |= is_lasting && !server.ejection.is_zone_unreachable;
                server.ejection.is_zone_unreachable |= is_lasting;
                server.ejection.extend_until(until);
                lost_weight += server.weight;
            });
        }
        if lost_weight > 0.0 {
            self.redistribute_keys(now, lost_weight, actions);
        }
        if is_new_outage {
            // Failures to reach the zone say nothing about setups elsewhere.
            self.shared_failures.reset();
            self.setup_window.reopen(now);
        }
    }

    /// Records an unanswered attempt or health check, and returns true if the server's zone is unreachable, which is
    /// assumed only while another zone answers. Connections on its servers that are known not to answer are then
    /// migrated. Guards against an unreachable zone whose servers are tried one by one, and whose timeouts look like
    /// a fault behind all servers.
    pub(crate) fn on_no_answer(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        if !self.reports_utilization() {
            return false; // a server with slow setups would look the same
        }
        self.check_zones_around(now, slot, actions);
        let others_answer = self
            .fleet
            .answered_outside_zone_of(now, slot, ZONE_OUTAGE_WINDOW);
        if !others_answer {
            return false;
        }
        self.on_server_unreachable(now, slot, actions);
        let server = self.fleet.servers.get(slot);
        let is_unreachable = server.is_some_and(|server| server.ejection.is_zone_unreachable);
        if is_unreachable {
            for slot in self.fleet.unreachable_in_zone_of(slot) {
                self.migrate_all(slot, MigrationAllowance::Unlimited, actions);
            }
        }
        is_unreachable
    }

    /// Checks other servers of the zone, and one server elsewhere, after one server did not answer.
    fn check_zones_around(&mut self, now: Timestamp, slot: ServerSlot, actions: &mut Actions) {
        let Some(zone) = self.fleet.zone_of(slot) else {
            return;
        };
        let same_zone = self.fleet.ready_in_zones(|other| other == zone);
        let other_zones = self.fleet.ready_in_zones(|other| other != zone);
        let same_zone = same_zone.into_iter().take(MAX_ZONE_CHECKS);
        for slot in same_zone.chain(other_zones.into_iter().take(1)) {
            self.send_health_check(now, slot, actions);
        }
    }

    /// Checks one server of each unreachable zone.
    pub(crate) fn check_unreachable_zones(&mut self, now: Timestamp, actions: &mut Actions) {
        for zone in self.fleet.unreachable_zones() {
            let slots = self.fleet.ready_in_zones(|other| other == zone);
            let index = (self.jitter() * slots.len() as f64) as usize;
            if let Some(slot) = slots.get(index) {
                self.send_health_check(now, *slot, actions);
            }
        }
    }
}
