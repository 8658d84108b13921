//! The servers that a node knows, with the totals and indexes that spare decisions a walk over all of them.
//!
//! [`Fleet::update`] also takes servers out of the ranking index that drain, were removed or have no slow-start budget; all
//! other decisions are made in `policy`, `limits` and `recovery`.

use crate::recovery::zone_reachability::ZoneReachability;
use crate::state::departures::Departures;
use crate::state::fleet_totals::FleetTotals;
use crate::state::ranking_index::RankingIndex;
use crate::state::server::Server;
use crate::state::server_table::{ServerSlot, ServerTable};
use crate::{Health, Timestamp};
use std::time::Duration;

/// The known servers. Guards against decisions whose cost grows with the fleet at a node that holds little of it.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) servers: ServerTable<Server>,
    pub(crate) totals: FleetTotals,
    /// Ready servers that may be selected; draining and removed ones are not in it.
    pub(crate) ranking_index: RankingIndex,
    /// Servers that hold connections, warm up, have a concurrency limit, drain or were removed.
    pub(crate) upkeep_slots: Vec<ServerSlot>,
    /// Servers that stopped being ready lately.
    pub(crate) departures: Departures,
    /// Whether this node's budget for servers in slow start allows an attempt.
    admits_slow_start: bool,
    zones: ZoneReachability,
}

impl Fleet {
    /// Changes a server, and with it the totals and indexes.
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

    /// Adds servers in slow start to the ranking index, or takes them out.
    pub(crate) fn set_admits_slow_start(&mut self, admits: bool) {
        if self.admits_slow_start == admits {
            return;
        }
        self.admits_slow_start = admits;
        for slot in self.upkeep_slots.clone() {
            self.update(slot, |_| ());
        }
    }

    /// The ready servers that started lately.
    pub(crate) fn servers_in_slow_start(&self) -> impl Iterator<Item = &Server> + '_ {
        self.upkeep_slots
            .iter()
            .filter_map(|slot| self.servers.get(*slot))
            .filter(|server| server.slow_start.is_active && server.health == Health::Ready)
    }

    /// Forgets a server that is gone.
    pub(crate) fn remove(&mut self, slot: ServerSlot) {
        if let Some(server) = self.servers.get(slot) {
            self.totals.subtract(server);
        }
        self.servers.remove(slot);
    }

    /// The ready servers of the zones for which `matches` holds.
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

    /// A server cannot be reached. Gives the servers of its zone if that tells that the whole zone cannot be. With
    /// `is_lasting` the zone then counts as unreachable until something in it answers.
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
        let others_stand = zone_slots
            .iter()
            .any(|slot| !failed.contains(slot) && has_connections(slot));
        if !self.zones.confirms_outage(zone, others_stand) {
            return Vec::new();
        }
        if is_lasting {
            self.zones.mark_unreachable(zone);
        }
        zone_slots
    }

    /// A server answers: its whole zone can be reached again.
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

    /// Whether something outside this server's zone has answered within this time.
    pub(crate) fn answered_outside_zone_of(
        &self,
        now: Timestamp,
        slot: ServerSlot,
        window: Duration,
    ) -> bool {
        self.zone_of(slot)
            .is_some_and(|zone| self.zones.answered_outside(now, zone, window))
    }

    /// The servers of this server's zone that could not be reached lately.
    pub(crate) fn unreachable_in_zone_of(&self, slot: ServerSlot) -> Vec<ServerSlot> {
        self.zone_of(slot)
            .map_or(Vec::new(), |zone| self.zones.unreachable_servers(zone))
    }

    /// The zones that cannot be reached.
    pub(crate) fn unreachable_zones(&self) -> Vec<u32> {
        self.zones.unreachable_zones()
    }
}
