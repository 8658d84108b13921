//! Hints about late servers between gateways.

use crate::balancer::{Actions, Balancer};
use crate::hashing::short_name;
use crate::state::server_table::ServerSlot;
use crate::{Action, Timestamp};
use std::time::Duration;

/// What one gateway tells of a late server keeps the others away for this long; none repeats it before. The
/// mark is for one that does not answer at all, as one whose messages take `SILENT_FOR` does not.
pub(crate) const HEARD: Duration = Duration::from_secs(3);
const SILENT: &str = "!";

impl Balancer {
    /// Tells the other gateways of a late server, one of all that hold connections there at a time. They are
    /// hints: a gateway that holds nothing there would send the next connection to it all the same.
    pub(crate) fn send_slow_hint(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        silent: bool,
        actions: &mut Actions,
    ) {
        let known = self.fleet.servers.len().max(1) as f64;
        let holders = self.fleet.totals.connections * f64::from(self.settings.node_count) / known;
        let chosen = self.jitter() * 4.0 * holders.min(f64::from(self.settings.node_count)) < 1.0;
        let may = self.settings.gossip_allowed && chosen;
        let Some(server) = self.fleet.servers.get_mut(at).filter(|_| may) else {
            return;
        };
        if server
            .slow_hint_at
            .is_none_or(|at| now.saturating_duration_since(at) > HEARD)
        {
            server.slow_hint_at = Some(now);
            let mark = if silent { SILENT } else { "" };
            let name: String = short_name(server.hash)
                .iter()
                .copied()
                .map(char::from)
                .collect();
            actions.push(Action::Gossip(name + mark));
        }
    }

    pub(crate) fn on_gossip(&mut self, now: Timestamp, message: &str) {
        let name = message.strip_suffix(SILENT).unwrap_or(message);
        let named = self
            .fleet
            .ranking_index
            .iter()
            .filter(|(hash, _)| short_name(*hash) == name.as_bytes());
        for at in named.map(|(_, at)| at).collect::<Vec<_>>() {
            self.fleet.update(at, |server| {
                server.slow_hint_at = Some(now);
                if name != message {
                    server.ejected_until = server
                        .ejected_until
                        .max(Some(now.saturating_add(HEARD * 3 / 2)));
                }
            });
        }
    }
}
