//! Moving connections off a server that holds more than it may.

use crate::balancer::{Actions, Balancer};
use crate::state::load_accounting::GROUP_COST;
use crate::state::request::Attempt;
use crate::state::server_table::ServerSlot;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// A connection placed less than this ago is not moved; longer if it had come back from a break or a move.
const REST: Duration = Duration::from_secs(2);
const RETURNED_REST: Duration = Duration::from_secs(8);

impl Balancer {
    /// Moves connections off a server until it holds no more than it may: those of tenants over their share
    /// first, then whole groups with their shared work, small ones first since each frees as much of that,
    /// equal ones by a hash, so that other gateways let go of the same. Only where none fits is one split,
    /// heaviest connections first.
    pub(crate) fn shed_load(&mut self, now: Timestamp, at: ServerSlot, actions: &mut Actions) {
        let round = self.jitter();
        let Some(server) = self.fleet.servers.get(at) else {
            return;
        };
        let mut excess = server.load - server.concurrency_limit;
        let group_cost = GROUP_COST * self.mean_load();
        type Part = (f64, Vec<(f64, RequestId)>);
        let mut parts: BTreeMap<(bool, u32), Part> = BTreeMap::new();
        for held in &server.connections {
            let Some(request) = self.requests.get(held) else {
                continue;
            };
            let rest = if request.is_reconnect {
                RETURNED_REST
            } else {
                REST
            };
            let rested = |out: &Attempt| {
                out.is_established
                    && (out.skips_setup || now.saturating_duration_since(out.sent_at) > rest)
            };
            if request.is_finished || !request.in_flight.as_ref().is_some_and(rested) {
                continue;
            }
            let cost = if request.group.is_some() {
                group_cost
            } else {
                0.0
            };
            let order = (!self.over_share(request), request.key.rotate_left(16));
            let part = parts.entry(order).or_insert((cost, Vec::new()));
            part.0 += request.accounted_load;
            part.1.push((request.accounted_load, *held));
        }
        let mut parts: Vec<((bool, u32), Part)> = parts.into_iter().collect();
        parts.sort_by_key(|((within_share, _), part)| (*within_share, part.1.len()));
        let fits = |whole: f64, excess: f64| whole <= excess * 1.5;
        let (whole, rest): (Vec<Part>, Vec<Part>) =
            parts.into_iter().map(|(_, part)| part).partition(|part| {
                // A single connection cannot go in part: it goes as often as its part would be due, or every
                // gateway that holds one would let go of all at once.
                let by_chance = part.1.len() == 1 && part.0 * round <= excess;
                let goes = excess > 0.0 && (fits(part.0, excess) || by_chance);
                excess -= if goes { part.0 } else { 0.0 };
                goes
            });
        for (_, request) in whole.into_iter().flat_map(|part| part.1) {
            self.migrate(request, actions);
        }
        for mut part in rest.into_iter().filter(|part| part.1.len() > 1) {
            part.1
                .sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            for (load, request) in part.1 {
                if excess > 0.0 && fits(load, excess) {
                    excess -= load;
                    self.migrate(request, actions);
                }
            }
        }
    }
}
