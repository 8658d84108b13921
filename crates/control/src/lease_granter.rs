//! What a node does while it leads: who takes part, and which slices are granted.

use crate::entry::{Entry, Grant};
use crate::lease::{LeaseRequest, LeaseTerms};
use crate::log::Log;
use crate::member::Member;
use crate::voters::{self, Change, Liveness};
use lupincrank_budgets::divide::{divide, Claim};
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests are granted together, one entry in so many ticks.
const BATCH: u64 = 2;
/// A member that a snapshot was sent to and that has said nothing gets it again after so many ticks.
const SNAPSHOT_AGAIN: u64 = 10;
/// Whose turn it is for what a division leaves over changes this often.
const TURN: Duration = Duration::from_secs(5);

/// How things stand at one tick.
pub(crate) struct View<'a> {
    pub me: u64,
    pub leaving: bool,
    pub now: Timestamp,
    pub ticks: u64,
    pub alive: &'a BTreeMap<u64, Member>,
    pub terms: &'a LeaseTerms,
    pub removal_after: Duration,
}

/// What a leader keeps in mind.
#[derive(Default)]
pub(crate) struct Leader {
    asks: BTreeMap<u64, LeaseRequest>,
    /// What each said last that it demands.
    demands: BTreeMap<u64, u32>,
    dead: BTreeMap<u64, Timestamp>,
    left: BTreeMap<u64, Left>,
}

/// One that ends in good order.
struct Left {
    /// It uses nothing since then, by this node's clock.
    since: Timestamp,
    /// Membership lost it meanwhile: should the id come back it is a process that goes on with it.
    away: bool,
}

impl Leader {
    /// A member has asked for a slice. Only members have a place here: the table stays as small as the fleet.
    pub fn asked(&mut self, log: &Log, from: u64, ask: LeaseRequest) {
        if log.leads.is_some() && log.state.members.contains_key(&from) {
            self.asks.insert(from, ask);
            self.demands.insert(from, ask.demand);
        }
    }

    /// A member ends in good order and uses nothing from now on. Every node keeps it in mind, for any may lead next.
    pub fn leaves(&mut self, now: Timestamp, from: u64) {
        self.left.entry(from).or_insert(Left {
            since: now,
            away: false,
        });
    }

    /// Whether it ends.
    pub fn is_leaving(&self, id: u64) -> bool {
        self.left.contains_key(&id)
    }

    /// Follows who lives.
    pub fn follow(&mut self, alive: &BTreeMap<u64, Member>, members: &BTreeMap<u64, Member>) {
        self.demands.retain(|id, _| members.contains_key(id));
        self.left.retain(|id, left| {
            let back = left.away && alive.contains_key(id);
            left.away |= !alive.contains_key(id);
            !back && (alive.contains_key(id) || members.contains_key(id))
        });
    }

    /// Another leadership, or none.
    pub fn forget_asks(&mut self) {
        self.asks.clear();
        self.demands.clear();
    }

    /// One tick; the change of who takes part that is under way now.
    pub fn tick(&mut self, log: &mut Log, view: &View) -> Option<Change> {
        let since = log.leads?;
        if view.ticks.is_multiple_of(SNAPSHOT_AGAIN) {
            log.send_snapshots_again();
        }
        let change = self.change(log, view);
        // A council that has granted nothing yet can't know what an earlier one granted: that runs out first.
        let waits = log.state.grant_count == 0
            && view.now.saturating_duration_since(since) < view.terms.safe_expiry();
        if view.ticks.is_multiple_of(BATCH) && !waits {
            self.grant(log, view);
        }
        change
    }

    fn change(&mut self, log: &mut Log, view: &View) -> Option<Change> {
        let parts = log.parts();
        let all = || parts.voters.iter().chain(&parts.learners);
        self.dead
            .retain(|id, _| !view.alive.contains_key(id) && all().any(|there| there == id));
        for id in all().filter(|id| !view.alive.contains_key(id)) {
            self.dead.entry(*id).or_insert(view.now);
        }
        let liveness = |id: u64| {
            let leaves = view.leaving && id == view.me || self.left.contains_key(&id);
            let there = id == view.me || view.alive.contains_key(&id);
            match leaves {
                // One that was replaced is no member any more, and its vote may be needed all the same.
                true if there || log.hears(id) => Liveness::Leaves,
                false if there => Liveness::Stays,
                _ => Liveness::No,
            }
        };
        if log.changes() {
            return None;
        }
        let gone = |id: u64| {
            let dead = self.dead.get(&id);
            dead.is_some_and(|at| {
                self.left.contains_key(&id)
                    || view.now.saturating_duration_since(*at) >= view.removal_after
            })
        };
        let caught = |id: u64| log.caught_up(id);
        let hears = |id: u64| id == view.me || log.hears(id);
        let seen = voters::View {
            liveness: &liveness,
            gone: &gone,
            caught: &caught,
            hears: &hears,
        };
        let change = voters::next(view.me, &parts, &log.state.members, view.alive, &seen)?;
        log.change(&change).then_some(change)
    }

    /// What each holder would get of such a capacity.
    pub fn slices(
        &self,
        log: &Log,
        now: Timestamp,
        alive: &BTreeMap<u64, Member>,
        capacity: u32,
    ) -> (Vec<u64>, Vec<u32>) {
        let stays = |id: &u64| alive.contains_key(id) && !self.left.contains_key(id);
        let holders: Vec<u64> = log.state.members.keys().copied().filter(stays).collect();
        let turn = (now.0 / TURN.as_nanos() as u64) % holders.len().max(1) as u64;
        let claim = |id: &u64| {
            let holds = log.state.leases.get(id).map_or(0, |held| held.limit);
            // One that has not asked this leader yet is taken to demand what it has.
            Claim {
                demand: self.demands.get(id).copied().unwrap_or(holds),
                current_limit: holds,
            }
        };
        let claims: Vec<Claim> = holders.iter().map(claim).collect();
        let slices = divide(capacity, &claims, turn);
        (holders, slices)
    }

    fn grant(&mut self, log: &mut Log, view: &View) {
        let mut over = log.clocks.expired_grants(view.now, view.terms);
        // One that ends uses nothing since it said so: what it sent before that counts for a window.
        let given_back = |(id, left): (&u64, &Left)| {
            let free = view.now.saturating_duration_since(left.since) >= view.terms.usage_expiry();
            log.state
                .leases
                .get(id)
                .filter(|_| free)
                .map(|held| (*id, held.request_number))
        };
        over.extend(self.left.iter().filter_map(given_back));
        if !over.is_empty() {
            log.propose(&Entry::LeasesExpired(over));
        }
        let (holders, slices) = self.slices(log, view.now, view.alive, log.state.capacity);
        let grants = std::mem::take(&mut self.asks)
            .into_iter()
            .filter_map(|(holder, ask)| {
                let place = holders.iter().position(|id| *id == holder)?;
                Some(Grant {
                    holder,
                    request_number: ask.request_number,
                    in_use: ask.in_use,
                    limit: *slices.get(place)?,
                })
            });
        let grants: Vec<Grant> = grants.collect();
        if !grants.is_empty() {
            log.propose(&Entry::LeasesGranted(grants));
        }
    }
}
