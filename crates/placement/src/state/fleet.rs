//! The servers that a gateway knows, with what it holds and has learnt of each, and the sums that decisions need over
//! all of them. It is bookkeeping: what follows from it is decided in `balance.rs`.

use crate::state::ranking_index::RankingIndex;
use crate::state::server_table::{ServerSlot, ServerTable};
use crate::{Health, RequestId, Settings, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// So many servers of a zone out of reach tell that the zone is, where nothing is held at others there; and so
/// many in any case, for connections may stand that nobody answers on.
const FAILED: usize = 2;
const FAILED_ANYWAY: usize = 3;
/// A report tells how many connections fill a server from this utilisation and so many connections on.
const LEAST_USED: f64 = 0.1;
const LEAST_HELD_THEN: usize = 2;

#[derive(Default)]
pub struct Server {
    pub hash: u32,
    /// Whether it is among the open servers, and among those that upkeep looks at.
    pub is_ranked: bool,
    pub needs_upkeep: bool,
    pub health: Health,
    pub weight: f64,
    pub zone: u32,
    pub cell: u32,
    pub machine_kind: u32,
    /// When it last started, as listed or as inferred from its coming back after a crash.
    pub started_at: Option<Timestamp>,
    /// Started lately, as of the last upkeep or list.
    pub is_warming_up: bool,
    /// When this gateway was told that it drains or is gone.
    pub draining_since: Timestamp,
    /// This gateway's connections there: standing ones and attempts under way.
    pub connections: BTreeSet<RequestId>,
    pub load: f64,
    pub group_connections: HashMap<u32, u32>,
    /// The most load of this gateway's that it may hold; unbounded until it was crowded once.
    pub concurrency_limit: f64,
    pub overloaded_at: Option<Timestamp>,
    /// When its cap last gave way to one connection more, and when it last dropped a standing connection.
    pub limit_raised_at: Option<Timestamp>,
    pub connection_dropped_at: Option<Timestamp>,
    /// Its utilisation as last reported, and the load sent there since.
    pub load_since_report: f64,
    pub utilization: Option<(Timestamp, f64)>,
    /// What was held there when that report came.
    pub connections_at_report: usize,
    /// When another gateway, or this one, last told that messages take long there.
    pub slow_hint_at: Option<Timestamp>,
    /// When it was last probed, and whether that probe is still out.
    pub health_check: Option<(Timestamp, bool)>,
    pub consecutive_failures: u32,
    pub ejection_count: u32,
    pub ejected_until: Option<Timestamp>,
    /// After a bar one attempt at a time tries it out.
    pub half_open: bool,
    /// It is barred with its whole zone, which is out of reach from here.
    pub zone_unreachable: bool,
    /// Its standing connections broke together or it refused connections: it will come back cold.
    pub restart_suspected: bool,
    /// The part of the keys that it gets while it is cold: about the same ones at every gateway.
    pub slow_start_ratio: f64,
    /// The part of other servers' keys that it takes while many of those are lost.
    pub redistribution_ratio: f64,
    /// Budget of sends while it is cold.
    pub slow_start_tokens: f64,
    pub slow_start_refilled_at: Timestamp,
}

/// What all known servers add up to.
#[derive(Default)]
pub struct FleetTotals {
    pub connections: f64,
    pub ejected: f64,
    /// Of those, the ones whose zone is out of reach.
    pub unreachable: f64,
    /// Ready servers, the warm ones and their connections, the load on all, the weight of those not barred.
    pub ready: f64,
    pub warm: f64,
    pub warm_connections: f64,
    pub load: f64,
    pub available_weight: f64,
    /// Servers whose utilisation was reported, that and their load.
    pub reporting: f64,
    pub utilization: f64,
    pub reported_load: f64,
}

impl FleetTotals {
    pub fn add(&mut self, server: &Server, sign: f64) {
        let held = server.connections.len() as f64;
        let warm = f64::from(u8::from(!server.is_warming_up));
        let barred = f64::from(u8::from(server.ejected_until.is_some()));
        self.connections += sign * held;
        self.ejected += sign * barred;
        self.unreachable += sign
            * f64::from(u8::from(
                server.zone_unreachable && server.ejected_until.is_some(),
            ));
        if server.health == Health::Ready {
            self.ready += sign;
            self.warm += sign * warm;
            self.warm_connections += sign * warm * held;
            self.load += sign * server.load;
            self.available_weight += sign * server.weight * (1.0 - barred);
        }
        if let Some((_, used)) = server.utilization {
            self.reporting += sign;
            self.utilization += sign * used;
            self.reported_load += sign * server.load;
        }
    }
}

/// The known servers. What decisions need of all of them is kept up with each change: guards against a cost
/// that grows with the fleet at a gateway that holds little of it.
#[derive(Default)]
pub struct Fleet {
    pub servers: ServerTable<Server>,
    pub totals: FleetTotals,
    /// Ready servers that, if they are cold, may be sent something: all that ranking reads.
    pub ranking_index: RankingIndex,
    /// Whether the budget that this gateway has for cold servers together has a send left.
    pub slow_start_is_open: bool,
    /// Servers that hold something, are cold, capped or leaving.
    pub upkeep_slots: Vec<ServerSlot>,
    /// The servers of each zone that were found to be out of reach lately, and when.
    failed: BTreeMap<u32, Vec<(ServerSlot, Timestamp)>>,
    /// When something of each zone last answered, and the zones that are out of reach.
    answered: BTreeMap<u32, Timestamp>,
    cut: BTreeSet<u32>,
}

impl Fleet {
    /// A server is out of reach. Gives the servers of its zone if that makes `FAILED` of them within `within` and
    /// none of the others there is known to stand: a zone is lost as a whole, long before the list tells, and a
    /// gateway that holds little would have to find out about each server of it by an attempt of its own. With `cut` that
    /// lasts until something there answers.
    pub fn zone_failed(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        within: Duration,
        cut: bool,
    ) -> Vec<ServerSlot> {
        let Some(zone) = self.servers.get(at).map(|server| server.zone) else {
            return Vec::new();
        };
        let failed = self.failed.entry(zone).or_default();
        failed.retain(|(slot, when)| *slot != at && now.saturating_duration_since(*when) < within);
        failed.push((at, now));
        if failed.len() < FAILED && !self.cut.contains(&zone) {
            return Vec::new();
        }
        let failed = failed.iter().map(|(slot, _)| *slot).collect::<Vec<_>>();
        let of_zone = self.ready_in(|other| other == zone);
        let stands = |at: &ServerSlot| {
            !failed.contains(at)
                && self
                    .servers
                    .get(*at)
                    .is_some_and(|server| !server.connections.is_empty())
        };
        let doubtful = failed.len() < FAILED_ANYWAY && of_zone.iter().any(stands);
        if doubtful && !self.cut.contains(&zone) {
            return Vec::new();
        }
        if cut {
            self.cut.insert(zone);
        }
        of_zone
    }

    /// The ready servers of the zones that are meant.
    pub fn ready_in(&self, meant: impl Fn(u32) -> bool) -> Vec<ServerSlot> {
        let ready = |server: &Server| server.health == Health::Ready && meant(server.zone);
        let slots = self.servers.slots().into_iter();
        slots
            .filter(|at| self.servers.get(*at).is_some_and(ready))
            .collect()
    }

    /// A server of the zone answers: the whole zone is within reach again.
    pub fn record_zone_answer(&mut self, now: Timestamp, at: ServerSlot) {
        let Some(zone) = self.servers.get(at).map(|server| server.zone) else {
            return;
        };
        self.failed.remove(&zone);
        self.answered.insert(zone, now);
        if self.cut.remove(&zone) {
            for at in self.servers.slots() {
                if self
                    .servers
                    .get(at)
                    .is_some_and(|server| server.zone == zone && server.zone_unreachable)
                {
                    self.update(at, |server| {
                        (server.zone_unreachable, server.ejected_until) = (false, None);
                    });
                }
            }
        }
    }

    /// Whether something outside this server's zone has answered within this time.
    pub fn answered_outside_zone_of(
        &self,
        now: Timestamp,
        at: ServerSlot,
        within: Duration,
    ) -> bool {
        let Some(zone) = self.servers.get(at).map(|server| server.zone) else {
            return false;
        };
        self.answered
            .iter()
            .any(|(other, when)| *other != zone && now.saturating_duration_since(*when) < within)
    }

    /// The servers of this zone that failed lately.
    pub fn unreachable_in_zone_of(&self, at: ServerSlot) -> Vec<ServerSlot> {
        let failed = self
            .servers
            .get(at)
            .and_then(|server| self.failed.get(&server.zone));
        failed.map_or(Vec::new(), |failed| {
            failed.iter().map(|(slot, _)| *slot).collect()
        })
    }

    /// The zones that are out of reach.
    pub fn unreachable_zones(&self) -> Vec<u32> {
        self.cut.iter().copied().collect()
    }

    pub fn update(&mut self, at: ServerSlot, with: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(at) else {
            return;
        };
        self.totals.add(server, -1.0);
        with(server);
        self.totals.add(server, 1.0);
        let ready = server.health == Health::Ready;
        let needs = !server.connections.is_empty()
            || server.is_warming_up
            || server.concurrency_limit.is_finite()
            || !ready;
        if needs && !std::mem::replace(&mut server.needs_upkeep, needs) {
            self.upkeep_slots.push(at);
        }
        let opens = ready
            && !(server.is_warming_up
                && (server.slow_start_tokens < 1.0 || !self.slow_start_is_open));
        let was_open = std::mem::replace(&mut server.is_ranked, opens);
        if opens && !was_open {
            self.ranking_index.add(server.hash, at);
        } else if was_open && !opens {
            self.ranking_index.remove(at);
        }
    }
}

impl Server {
    /// Whether it started lately.
    pub fn is_in_slow_start(&self, settings: &Settings, now: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| now < started.saturating_add(settings.slow_start_duration))
    }

    /// Whether it takes one more though it is full: nothing has shown it crowded for `calm`, so its cap may be stale, and
    /// it has not given way for `pace`. Only connections of groups that are there already are let in so: guards against a
    /// fleet that is refused to and fills up with shared work, one more group at a time at every server.
    pub fn may_exceed_limit(&self, now: Timestamp, calm: Duration, pace: Duration) -> bool {
        let before = |at: Option<Timestamp>, span: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) > span)
        };
        self.ejected_until.is_none()
            && before(self.overloaded_at, calm)
            && before(self.limit_raised_at, pace)
    }

    /// The connections of this gateway that would fill it as it is now, where its report is no older than `fresh`: the others
    /// are taken to hold there what this one does. The shared work of groups is in the report, so that this errs to less.
    pub fn connections_at_capacity(&self, now: Timestamp, fresh: Duration) -> Option<f64> {
        let (_, used) = self.utilization.filter(|(at, used)| {
            now.saturating_duration_since(*at) < fresh && *used >= LEAST_USED
        })?;
        (self.connections_at_report >= LEAST_HELD_THEN)
            .then(|| self.connections_at_report as f64 / used)
    }

    /// The share of its capacity that it has at the least.
    pub fn capacity_ratio(&self, settings: &Settings, now: Timestamp) -> f64 {
        let Some(started) = self.started_at else {
            return 1.0;
        };
        let part = now.saturating_duration_since(started).as_secs_f64()
            / settings.slow_start_duration.as_secs_f64().max(1e-9);
        (settings.initial_capacity_ratio + (1.0 - settings.initial_capacity_ratio) * part).min(1.0)
    }

    /// Takes in its state as listed. Gives its weight if it is lost: gone without having drained.
    pub fn set_health(&mut self, now: Timestamp, health: Health) -> f64 {
        let lost = self.health == Health::Ready && health == Health::Removed;
        if self.health == Health::Ready && health != Health::Ready {
            self.draining_since = now;
        }
        self.health = health;
        if lost {
            self.weight
        } else {
            0.0
        }
    }
}
