//! Redistribution of the keys of lost servers over the remaining ones.

use crate::recovery::key_fitting::{
    accepts_key_ratio, fit_to_capacity, preferred_server, RemainingServer, CAPACITY_RATIO,
};
use crate::state::decay::{decayed, SLOW_DECAY_PER_SECOND};
use crate::state::fleet::Fleet;
use crate::state::fleet_totals::FleetTotals;
use crate::state::load_estimates::DEFAULT_CONNECTIONS_PER_SERVER;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Health, Settings, Timestamp};

/// Above this number of known servers, nothing is redistributed: cost and memory grow with its square.
const MAX_SERVERS: usize = 200;
/// Fraction by which the usual weight of all servers approaches the present one each second.
const USUAL_WEIGHT_ADAPTATION: f64 = 0.02;
/// Redistribution of keys starts if more than this fraction of the usual weight is lost at once and without notice.
const MIN_LOST_RATIO: f64 = 0.2;
/// Keys are redistributed only while less than this fraction of the usual capacity remains.
const MAX_REMAINING_RATIO: f64 = 0.75;
/// The minimum capacity of a server, in connections of all nodes: a node that has just started, or one of a hundred,
/// cannot recognize an idle fleet.
const MIN_FLEET_CONNECTIONS: f64 = 15.0;

#[derive(Default)]
pub(crate) struct KeyRedistribution {
    /// The usual weight of all servers.
    usual_weight: f64,
    /// The largest recent number of connections at this node.
    recent_connections: f64,
    /// While too few servers remain, the hashes of all servers before the loss.
    all_servers: Vec<u32>,
}

impl KeyRedistribution {
    /// Returns true if the server accepts the key: every server does unless keys are redistributed, and a server
    /// keeps its own keys in any case.
    pub(crate) fn accepts_key(&self, server: &Server, key: u32) -> bool {
        self.all_servers.is_empty()
            || accepts_key_ratio(server.hash, key, server.redistribution_ratio)
            || preferred_server(&self.all_servers, key) == Some(server.hash)
    }

    /// Updates the usual weight and the recent connections, once a second.
    pub(crate) fn decay(&mut self, totals: &FleetTotals) {
        let change = totals.available_weight - self.usual_weight;
        self.usual_weight += USUAL_WEIGHT_ADAPTATION * change;
        let decayed = decayed(self.recent_connections, SLOW_DECAY_PER_SECOND);
        self.recent_connections = f64::max(decayed, totals.connections);
    }

    /// Starts, updates or ends the redistribution of keys. `lost_weight` is the weight that was just lost without
    /// notice; servers that drain hand over their load in an orderly way. Returns true if a loss began or widened the
    /// redistribution.
    pub(crate) fn redistribute(
        &mut self,
        fleet: &mut Fleet,
        now: Timestamp,
        settings: &Settings,
        lost_weight: f64,
    ) -> bool {
        self.usual_weight = self.usual_weight.max(fleet.totals.available_weight);
        let is_major_loss = lost_weight > MIN_LOST_RATIO * self.usual_weight;
        if !is_major_loss && self.all_servers.is_empty() {
            return false;
        }
        let slots = available_slots(fleet);
        let mut remaining = self.remaining_servers(fleet, &slots, now, settings);
        let capacity = remaining.iter().map(|server| server.capacity).sum::<f64>();
        let is_short =
            capacity < MAX_REMAINING_RATIO * CAPACITY_RATIO && fleet.servers.len() <= MAX_SERVERS;
        if is_short {
            self.all_servers = server_hashes(fleet);
            fit_to_capacity(&self.all_servers, &mut remaining);
        } else {
            self.all_servers.clear();
        }
        for (slot, remaining) in slots.into_iter().zip(remaining) {
            fleet.update(slot, |server| {
                server.redistribution_ratio = remaining.extra_ratio;
            });
        }
        is_short && is_major_loss
    }

    fn remaining_servers(
        &self,
        fleet: &Fleet,
        slots: &[ServerSlot],
        now: Timestamp,
        settings: &Settings,
    ) -> Vec<RemainingServer> {
        let node_count = f64::from(settings.node_count.max(1));
        let connections = self.recent_connections + DEFAULT_CONNECTIONS_PER_SERVER;
        let min_capacity = MIN_FLEET_CONNECTIONS / (node_count * connections);
        let servers = slots.iter().filter_map(|slot| fleet.servers.get(*slot));
        servers
            .map(|server| {
                let weight_ratio = CAPACITY_RATIO * server.weight / self.usual_weight.max(1e-9);
                let warm_up = warm_up_progress(server, now, settings);
                RemainingServer {
                    hash: server.hash,
                    capacity: f64::max(weight_ratio, min_capacity) * warm_up,
                    max_ratio: if server.slow_start.is_active {
                        server.slow_start.key_ratio
                    } else {
                        1.0
                    },
                    extra_ratio: 1.0,
                }
            })
            .collect()
    }
}

/// Returns the fraction of the server's warm-up that has passed. A server is filled evenly over its warm-up.
fn warm_up_progress(server: &Server, now: Timestamp, settings: &Settings) -> f64 {
    let Some(started_at) = server.started_at else {
        return 1.0;
    };
    let elapsed = now.saturating_duration_since(started_at).as_secs_f64();
    let duration = settings.slow_start_duration.as_secs_f64().max(1e-9);
    (elapsed / duration).min(1.0)
}

/// Returns the ready servers that are not ejected.
fn available_slots(fleet: &Fleet) -> Vec<ServerSlot> {
    let is_available =
        |server: &Server| server.health == Health::Ready && server.ejection.until.is_none();
    let slots = fleet.servers.slots().into_iter();
    slots
        .filter(|slot| fleet.servers.get(*slot).is_some_and(is_available))
        .collect()
}

fn server_hashes(fleet: &Fleet) -> Vec<u32> {
    let slots = fleet.servers.slots().into_iter();
    slots
        .filter_map(|slot| fleet.servers.get(slot))
        .map(|server| server.hash)
        .collect()
}
