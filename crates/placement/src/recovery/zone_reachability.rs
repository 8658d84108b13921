//! Which zones can be reached from this node, as far as its servers' answers tell.

use crate::state::server_table::ServerSlot;
use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// So many unreachable servers tell that their zone is unreachable, where none of the others holds connections.
const MIN_UNREACHABLE: usize = 2;
/// So many tell it in any case, for connections may be established that nobody answers on.
const MIN_UNREACHABLE_WITH_CONNECTIONS: usize = 3;

struct UnreachableServer {
    slot: ServerSlot,
    detected_at: Timestamp,
}

#[derive(Default)]
pub(crate) struct ZoneReachability {
    /// The servers of each zone that could not be reached lately.
    unreachable_servers: BTreeMap<u32, Vec<UnreachableServer>>,
    /// When something in each zone last answered.
    answered_at: BTreeMap<u32, Timestamp>,
    unreachable_zones: BTreeSet<u32>,
}

impl ZoneReachability {
    /// A server could not be reached; earlier ones count for `window`. Gives whether its zone may be unreachable.
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

    /// Whether the zone is taken to be unreachable as a whole. A zone is lost long before the endpoint list tells, and a
    /// node that holds little would have to find out about each of its servers by an attempt.
    pub(crate) fn confirms_outage(&self, zone: u32, others_have_connections: bool) -> bool {
        let server_count = self.unreachable_servers.get(&zone).map_or(0, Vec::len);
        self.unreachable_zones.contains(&zone)
            || server_count >= MIN_UNREACHABLE_WITH_CONNECTIONS
            || !others_have_connections
    }

    /// The zone counts as unreachable until something in it answers.
    pub(crate) fn mark_unreachable(&mut self, zone: u32) {
        self.unreachable_zones.insert(zone);
    }

    /// Something in the zone answers. Gives whether the zone was unreachable before.
    pub(crate) fn record_answer(&mut self, now: Timestamp, zone: u32) -> bool {
        self.unreachable_servers.remove(&zone);
        self.answered_at.insert(zone, now);
        self.unreachable_zones.remove(&zone)
    }

    /// Whether something outside the zone has answered within `window`.
    pub(crate) fn answered_outside(&self, now: Timestamp, zone: u32, window: Duration) -> bool {
        self.answered_at.iter().any(|(other, answered_at)| {
            *other != zone && now.saturating_duration_since(*answered_at) < window
        })
    }

    /// The zone's servers that could not be reached lately.
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
