//! Reachability of zones from this node, inferred from the answers of their servers.

use crate::state::server_table::ServerSlot;
use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of unreachable servers that indicates a zone outage if no other server of the zone holds connections.
const MIN_UNREACHABLE: usize = 2;
/// The number that indicates an outage in any case, since established connections may be unanswered.
const MIN_UNREACHABLE_WITH_CONNECTIONS: usize = 3;

struct UnreachableServer {
    slot: ServerSlot,
    detected_at: Timestamp,
}

#[derive(Default)]
pub(crate) struct ZoneReachability {
    /// The recently unreachable servers of each zone.
    unreachable_servers: BTreeMap<u32, Vec<UnreachableServer>>,
    /// The time of the last answer from each zone.
    answered_at: BTreeMap<u32, Timestamp>,
    unreachable_zones: BTreeSet<u32>,
}

impl ZoneReachability {
    /// Records an unreachable server; earlier ones count for `window`. Returns true if its zone may be unreachable.
    pub(crate) fn record_unreachable(
        &mut self,
        now: Timestamp,
        zone: u32,
        slot: ServerSlot,
        window: Duration,
    ) -> bool {
        let servers = self.unreachable_servers.entry(zone).or_default();
        servers.retain(|server| {
            server.slot != slot && now.saturating_duration_since(server.detected_at) < window
        });
        servers.push(UnreachableServer {
            slot,
            detected_at: now,
        });
        servers.len() >= MIN_UNREACHABLE || self.unreachable_zones.contains(&zone)
    }

    /// Returns true if the whole zone is assumed to be unreachable. A zone is lost long before the endpoint list
    /// reports it, and a node with few connections would have to discover each failed server by an attempt.
    pub(crate) fn confirms_outage(&self, zone: u32, others_have_connections: bool) -> bool {
        let server_count = self.unreachable_servers.get(&zone).map_or(0, Vec::len);
        self.unreachable_zones.contains(&zone)
            || server_count >= MIN_UNREACHABLE_WITH_CONNECTIONS
            || !others_have_connections
    }

    /// Marks the zone as unreachable until any of its servers answers.
    pub(crate) fn mark_unreachable(&mut self, zone: u32) {
        self.unreachable_zones.insert(zone);
    }

    /// Records an answer from the zone. Returns true if the zone was unreachable before.
    pub(crate) fn record_answer(&mut self, now: Timestamp, zone: u32) -> bool {
        self.unreachable_servers.remove(&zone);
        self.answered_at.insert(zone, now);
        self.unreachable_zones.remove(&zone)
    }

    /// Returns true if any other zone has answered within `window`.
    pub(crate) fn answered_outside(&self, now: Timestamp, zone: u32, window: Duration) -> bool {
        self.answered_at.iter().any(|(other, answered_at)| {
            *other != zone && now.saturating_duration_since(*answered_at) < window
        })
    }

    /// Returns the recently unreachable servers of the zone.
    pub(crate) fn unreachable_servers(&self, zone: u32) -> Vec<ServerSlot> {
        let servers = self.unreachable_servers.get(&zone);
        servers
            .into_iter()
            .flatten()
            .map(|server| server.slot)
            .collect()
    }

    pub(crate) fn unreachable_zones(&self) -> Vec<u32> {
        self.unreachable_zones.iter().copied().collect()
    }
}

#[cfg(test)]
mod tests;
