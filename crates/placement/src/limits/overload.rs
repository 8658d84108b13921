//! Lowers the concurrency limit of overloaded servers.

use crate::balancer::{Actions, Balancer};
use crate::limits::concurrency_limit::OVERLOAD_MEMORY;
use crate::state::elapsed::happened_within;
use crate::state::server_table::ServerSlot;
use crate::timer::UPKEEP_INTERVAL;
use crate::Timestamp;

/// Minimum time between two recorded overloads of a server, as a fraction of the upkeep interval.
const OVERLOAD_INTERVAL_RATIO: f64 = 0.9;

/// Whether load beyond a limit stays or is immediately moved to other servers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExcessLoad {
    Keep,
    Shed,
}

impl Balancer {
    /// Limits an overloaded server to `retained_ratio` of its present load. Guards against servers that are slower or
    /// more loaded than their share of the keys assumes and, if all are overloaded, against a fleet that answers every
    /// request late instead of most of them in time. Does nothing if the server has a recent utilization report, which
    /// is more accurate.
    pub(crate) fn record_overload(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        retained_ratio: f64,
        excess_load: ExcessLoad,
        actions: &mut Actions,
    ) {
        let fair_load = self.fair_load_per_weight();
        let Some(server) = self.fleet.servers.get(slot) else {
            return;
        };
        let min_interval = UPKEEP_INTERVAL.mul_f64(OVERLOAD_INTERVAL_RATIO);
        if server.recent_report(now, OVERLOAD_MEMORY).is_some()
            || happened_within(now, server.limit.overloaded_at, min_interval)
        {
            return;
        }
        self.fleet.update(slot, |server| {
            let load = server.load;
            server
                .limit
                .apply_overload(now, load, retained_ratio, fair_load);
        });
        if excess_load == ExcessLoad::Shed {
            self.shed_load(now, slot, actions);
        }
    }
}
