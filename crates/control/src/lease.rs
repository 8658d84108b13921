//! Both clocks of a lease. The holder counts from when it sent its request, the granter from when the grant stood in its
//! log, which is later; the granter waits longer by what two clocks can differ, and by the window over which the budget
//! counts, since what was sent just before the end still does. Neither ever reads the other's clock.

use crate::state::ClusterState;
use lupincrank_placement::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The spans that all nodes of a fleet hold alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long a slice may be used, by the holder's clock.
    pub lease_duration: Duration,
    /// The budget counts what is sent within this span.
    pub accounting_window: Duration,
    /// By how much of a span any two clocks may differ, at the most.
    pub max_clock_drift: f64,
    /// How often a holder asks anew, and how often one that turns something away.
    pub renew_interval: Duration,
    /// See `renew`.
    pub renew_interval_under_pressure: Duration,
}

impl Default for LeaseTerms {
    fn default() -> LeaseTerms {
        LeaseTerms {
            lease_duration: Duration::from_secs(3),
            accounting_window: Duration::from_millis(1250),
            max_clock_drift: 0.03,
            renew_interval: Duration::from_millis(700),
            renew_interval_under_pressure: Duration::from_millis(300),
        }
    }
}

impl LeaseTerms {
    /// After this, by the granter's clock, nothing counts any more of what a holder sent before it gave back.
    pub fn usage_expiry(&self) -> Duration {
        self.accounting_window.mul_f64(1.0 + self.max_clock_drift)
    }

    /// After this, by the granter's clock, nothing of a grant is in use.
    pub fn safe_expiry(&self) -> Duration {
        (self.lease_duration + self.accounting_window).mul_f64(1.0 + self.max_clock_drift)
    }
}

/// What a node asks for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct LeaseRequest {
    /// Each request has a higher one.
    pub request_number: u64,
    /// The most that may have been in use at any time within the window before, and so still counts.
    pub in_use: u32,
    /// What it needs, by what it used.
    pub demand: u32,
}

/// What a node may use of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageLimit {
    /// The units that may be used within any accounting window, the floor included.
    pub limit: u32,
    /// When the lease in it expires, by the holder's clock; the floor alone never does.
    pub expires_at: Option<Timestamp>,
}

/// The holder's side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    floor: u32,
    floor_from: Timestamp,
    number: u64,
    asked: Option<Timestamp>,
    /// The slice and when it is over.
    held: Option<(u32, Timestamp)>,
    /// Slices of before, and until when each was in use.
    before: VecDeque<(u32, Timestamp)>,
    /// It asks for nothing before then: what an earlier process of this identity sent still counts, and adds up with what
    /// this one would send.
    quiet_until: Option<Timestamp>,
    /// It gave all back, and takes nothing more.
    retired: bool,
}

/// The numbers of one process's requests stay below the next one's: at one in a renewal there are years of them.
const STARTS_FROM: u32 = 32;
/// Slices of before that are kept in mind; older ones of the same window count with their greatest.
const MOST_BEFORE: usize = 64;

impl LeaseHolder {
    /// Holds nothing but its floor, and that not at once: what the incarnation before it sent by the floor of the same name still
    /// counts for a window.
    ///
    /// `starts` counts the processes of this identity: where others remember an earlier one, requests have numbers above all
    /// of its, and the first is made once nothing counts any more that it sent.
    pub fn new(terms: &LeaseTerms, now: Timestamp, floor: u32, starts: u32) -> LeaseHolder {
        let floor_from = now.saturating_add(terms.accounting_window);
        let quiet_until = (starts > 1).then_some(floor_from);
        LeaseHolder {
            floor,
            floor_from,
            number: u64::from(starts) << STARTS_FROM,
            quiet_until,
            ..LeaseHolder::default()
        }
    }

    /// Gives all back, the floor as well, and takes nothing more.
    pub fn retire(&mut self, now: Timestamp) {
        self.revoke(now);
        self.retired = true;
    }

    /// What may be used without a lease.
    pub fn floor(&self, now: Timestamp) -> u32 {
        if now < self.floor_from || self.retired {
            0
        } else {
            self.floor
        }
    }

    /// What may be used now, the floor included, and until when; nothing but the floor has no end.
    pub fn limit(&self, now: Timestamp) -> UsageLimit {
        match self.held {
            Some((slice, until)) if now < until => UsageLimit {
                limit: self.floor(now).saturating_add(slice),
                expires_at: Some(until),
            },
            _ => UsageLimit {
                limit: self.floor(now),
                expires_at: None,
            },
        }
    }

    /// Whether it is time to ask: the last request is old, or was not answered.
    /// `pressed`: something is turned away for lack of a slice.
    pub fn should_request(&self, terms: &LeaseTerms, now: Timestamp, pressed: bool) -> bool {
        let quiet = self.retired || self.quiet_until.is_some_and(|until| now < until);
        !quiet
            && self.asked.is_none_or(|asked| {
                now.saturating_duration_since(asked)
                    >= if pressed {
                        terms.renew_interval_under_pressure
                    } else {
                        terms.renew_interval
                    }
            })
    }

    /// Asks anew. Grants that answer earlier requests are void from here on, whenever they come.
    pub fn next_request(
        &mut self,
        terms: &LeaseTerms,
        now: Timestamp,
        demand: u32,
    ) -> LeaseRequest {
        self.number += 1;
        self.asked = Some(now);
        self.before
            .retain(|(_, until)| now.saturating_duration_since(*until) < terms.accounting_window);
        // A slice that has run out counts as one of before, for as long as what was sent by it does.
        let held = self
            .held
            .filter(|(_, until)| now.saturating_duration_since(*until) < terms.accounting_window);
        let using = held
            .iter()
            .chain(&self.before)
            .map(|(slice, _)| *slice)
            .max()
            .unwrap_or(0);
        LeaseRequest {
            request_number: self.number,
            in_use: using,
            demand,
        }
    }

    /// A grant has come; whether it counts.
    pub fn on_grant(
        &mut self,
        terms: &LeaseTerms,
        now: Timestamp,
        number: u64,
        slice: u32,
    ) -> bool {
        let Some(asked) = self.asked.filter(|_| number == self.number) else {
            return false;
        };
        let until = asked.saturating_add(terms.lease_duration);
        // Guards against one that waited at a frozen process or on the way for longer than it holds.
        if now >= until {
            return false;
        }
        self.replace_lease(now, Some((slice, until)));
        true
    }

    /// What was granted is void: it came from a council that is fenced off.
    pub fn revoke(&mut self, now: Timestamp) {
        // A grant that is still on the way answers no request any more.
        self.number += 1;
        self.replace_lease(now, None);
    }

    fn replace_lease(&mut self, now: Timestamp, held: Option<(u32, Timestamp)>) {
        if let Some((slice, until)) = std::mem::replace(&mut self.held, held) {
            self.before.push_back((slice, until.min(now)));
        }
        if self.before.len() > MOST_BEFORE {
            if let Some((slice, _)) = self.before.pop_front() {
                if let Some(next) = self.before.front_mut() {
                    next.0 = next.0.max(slice);
                }
            }
        }
    }
}

/// The granter's side: since when, by this node's clock, each grant stands. Every member keeps it, for any may become
/// leader; what one learns late it counts from then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantClocks {
    since: BTreeMap<u64, (u64, Timestamp)>,
}

impl GrantClocks {
    /// Follows the state: grants that are new to this node count from now on.
    pub fn follow(&mut self, now: Timestamp, state: &ClusterState) {
        self.since
            .retain(|holder, _| state.leases.contains_key(holder));
        for (holder, held) in &state.leases {
            let since = self
                .since
                .entry(*holder)
                .or_insert((held.request_number, now));
            if since.0 != held.request_number {
                *since = (held.request_number, now);
            }
        }
    }

    /// The grants that are surely over, by holder and number.
    pub fn expired_grants(&self, now: Timestamp, terms: &LeaseTerms) -> Vec<(u64, u64)> {
        let over = self
            .since
            .iter()
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) >= terms.safe_expiry());
        over.map(|(holder, (number, _))| (*holder, *number))
            .collect()
    }
}
