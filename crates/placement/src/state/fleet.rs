//! The known servers, with totals and indexes so that decisions need not iterate over all of them.
//!
//! [`Fleet::update`] also removes from the ranking index servers that drain, were removed or have no slow-start budget.
//! All other decisions are made in `policy`, `limits` and `recovery`.

use crate::recovery::zone_reachability::ZoneReachability;
use crate::state::departures::Departures;
use crate::state::fleet_totals::FleetTotals;
use crate::state::ranking_index::RankingIndex;
use crate::state::server::Server;
use crate::state::server_table::{ServerSlot, ServerTable};
use crate::{Health, Timestamp};
use std::time::Duration;

/// The known servers. Keeps the cost of decisions from growing with the fleet at a node that has few of its
/// connections.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) servers: ServerTable<Server>,
    pub(crate) totals: FleetTotals,
    /// Ready servers that may be selected. Does not contain draining and removed servers.
    pub(crate) ranking_index: RankingIndex,
    /// Servers that need upkeep: they have connections, warm up, have a concurrency limit, drain or were removed.
    pub(crate) upkeep_slots: Vec<ServerSlot>,
    /// Servers that recently stopped being ready.
    pub(crate) departures: Departures,
    /// Whether this node's budget for servers in slow start allows an attempt.
    admits_slow_start: bool,
    zones: ZoneReachability,
}

impl Fleet {
    /// Changes a server and updates the totals and indexes accordingly.
    pub(crate) fn update(&mut self, slot: ServerSlot, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(slot) else {
            return;
        };
        let was_ready = server.health == Health::Ready;
        self.totals.subtract(server);
        change(server);
        self.totals.add(server);
        let is_ready = server.health == Health::Ready;
        if was_ready && !is_ready {
            self.departures.record(server.draining_since, server.weight);
        }
        let needs_upkeep = !is_ready
            || !server.connections.is_empty()
            || server.slow_start.is_active
            || server.limit.max_load.is_finite();
        if needs_upkeep && !server.indexes.needs_upkeep {
            server.indexes.needs_upkeep = true;
            self.upkeep_slots.push(slot);
        }
        let has_budget = !server.slow_start.is_active || self.admits_slow_start;
        let is_ranked = is_ready && server.slow_start.has_token() && has_budget;
        let was_ranked = server.indexes.is_ranked;
        server.indexes.is_ranked = is_ranked;
        if is_ranked && !was_ranked {
            self.ranking_index.add(server.hash, slot);
        } else if was_ranked && !is_ranked {
            self.ranking_index.remove(slot);
        }
    }

    /// Adds servers in slow start to the ranking index or removes them.
    pub(crate) fn set_admits_slow_start(&mut self, admits: bool) {
        if self.admits_slow_start == admits {
            return;
        }
        self.admits_slow_start = admits;
        for slot in self.upkeep_slots.clone() {
            self.update(slot, |_| ());
        }
    }

    /// The ready servers in slow start.
    pub(crate) fn servers_in_slow_start(&self) -> impl Iterator<Item = &Server> + '_ {
        self.upkeep_slots
            .iter()
            .filter_map(|slot| self.servers.get(*slot))
            .filter(|server| server.slow_start.is_active && server.health == Health::Ready)
    }

    /// Removes a server from the table and the totals.
    pub(crate) fn remove(&mut self, slot: ServerSlot) {
        if let Some(server) = self.servers.get(slot) {
            self.totals.subtract(server);
        }
        self.servers.remove(slot);
    }

    /// The ready servers in zones for which `matches` returns true.
    pub(crate) fn ready_in_zones(&self, matches: impl Fn(u32) -> bool) -> Vec<ServerSlot> {
        let is_match = |slot: &ServerSlot| {
            self.servers
                .get(*slot)
                .is_some_and(|server| server.health == Health::Ready && matches(server.zone))
        };
        let slots = self.servers.slots();
        slots.into_iter().filter(is_match).collect()
    }

    pub(crate) fn zone_of(&self, slot: ServerSlot) -> Option<u32> {
        self.servers.get(slot).map(|server| server.zone)
    }

    /// Records that a server is unreachable. Returns the ready servers of its zone if the whole zone is considered
    /// unreachable, otherwise none. With `is_lasting`, the zone then counts as unreachable until a server in it
    /// answers.
    pub(crate) fn record_unreachable(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        window: Duration,
        is_lasting: bool,
    ) -> Vec<ServerSlot> {
        let Some(zone) = self.zone_of(slot) else {
            return Vec::new();
        };
        if !self.zones.record_unreachable(now, zone, slot, window) {
            return Vec::new();
        }
        let zone_slots = self.ready_in_zones(|other| other == zone);
        let has_connections = |slot: &ServerSlot| {
            self.servers
                .get(*slot)
                .is_some_and(|server| !server.connections.is_empty())
        };
        let failed = self.zones.unreachable_servers(zone);
        let others_have_connections = zone_slots
            .iter()
            .any(|slot| !failed.contains(slot) && has_connections(slot));
        if !self.zones.confirms_outage(zone, others_have_connections) {
            return Vec::new();
        }
        if is_lasting {
            self.zones.mark_unreachable(zone);
        }
        zone_slots
    }

    /// Records an answer from a server, which ends an outage of its zone.
    pub(crate) fn record_zone_answer(&mut self, now: Timestamp, slot: ServerSlot) {
        let Some(zone) = self.zone_of(slot) else {
            return;
        };
        if !self.zones.record_answer(now, zone) {
            return;
        }
        for slot in self.servers.slots() {
            let is_affected = self
                .servers
                .get(slot)
                .is_some_and(|server| server.zone == zone && server.ejection.is_zone_unreachable);
            if is_affected {
                self.update(slot, |server| server.ejection.end_zone_outage());
            }
        }
    }

    /// Returns true if a server outside this server's zone answered within `window`.
    pub(crate) fn answered_outside_zone_of(
        &self,
        now: Timestamp,
        slot: ServerSlot,
        window: Duration,
    ) -> bool {
        self.zone_of(slot)
            .is_some_and(|zone| self.zones.answered_outside(now, zone, window))
    }

    /// The servers of this server's zone that were recently unreachable.
    pub(crate) fn unreachable_in_zone_of(&self, slot: ServerSlot) -> Vec<ServerSlot> {
        self.zone_of(slot)
            .map_or(Vec::new(), |zone| self.zones.unreachable_servers(zone))
    }

    /// The zones that count as unreachable.
    pub(crate) fn unreachable_zones(&self) -> Vec<u32> {
        self.zones.unreachable_zones()
    }
}
