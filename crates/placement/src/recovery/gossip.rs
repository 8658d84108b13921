//! Gossip between nodes about slow servers.

use crate::balancer::{Actions, Balancer};
use crate::hashing::short_name;
use crate::state::elapsed::is_longer_ago;
use crate::state::server_table::ServerSlot;
use crate::{Action, Timestamp};
use std::time::Duration;

/// A hint about a server is not repeated within this time.
const HINT_INTERVAL: Duration = Duration::from_secs(3);
/// For this long after a hint, the server receives no new groups, or nothing at all if it is stalled.
pub(crate) const AVOID_SLOW_DURATION: Duration = Duration::from_millis(4500);
/// The suffix of a hint about a server that does not answer at all.
const STALLED_MARK: &str = "!";
/// Detections of a slow server for each hint: each of N nodes that hold connections there sends a hint with the
/// probability 1 / (`DETECTIONS_PER_HINT` * N).
const DETECTIONS_PER_HINT: f64 = 4.0;

/// The condition of a server that a hint reports.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlowHint {
    Slow,
    Stalled,
}

impl Balancer {
    /// Sends a hint about a slow server to the other nodes, if this node is chosen among those that hold connections
    /// there. A node without connections there would otherwise send its next connection to it.
    pub(crate) fn send_slow_hint(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        hint: SlowHint,
        actions: &mut Actions,
    ) {
        let server_count = self.fleet.servers.len().max(1) as f64;
        let node_count = f64::from(self.settings.node_count);
        let holders = self.fleet.totals.connections * node_count / server_count;
        let is_chosen = self.jitter() * DETECTIONS_PER_HINT * holders.min(node_count) < 1.0;
        if !is_chosen || !self.settings.gossip_allowed {
            return;
        }
        let Some(server) = self.fleet.servers.get_mut(slot) else {
            return;
        };
        if !is_longer_ago(now, server.slow_hint_at, HINT_INTERVAL) {
            return;
        }
        server.slow_hint_at = Some(now);
        let mut message: String = short_name(server.hash).map(char::from).iter().collect();
        if hint == SlowHint::Stalled {
            message.push_str(STALLED_MARK);
        }
        actions.push(Action::Gossip(message));
    }

    /// Applies another node's hint about a slow server.
    pub(crate) fn on_gossip(&mut self, now: Timestamp, message: &str) {
        let (name, hint) = match message.strip_suffix(STALLED_MARK) {
            Some(name) => (name, SlowHint::Stalled),
            None => (message, SlowHint::Slow),
        };
        let named: Vec<ServerSlot> = self
            .fleet
            .ranking_index
            .iter()
            .filter(|indexed| short_name(indexed.hash) == name.as_bytes())
            .map(|indexed| indexed.slot)
            .collect();
        for slot in named {
            self.fleet.update(slot, |server| {
                server.slow_hint_at = Some(now);
                if hint == SlowHint::Stalled {
                    server
                        .ejection
                        .extend_until(now.saturating_add(AVOID_SLOW_DURATION));
                }
            });
        }
    }
}
