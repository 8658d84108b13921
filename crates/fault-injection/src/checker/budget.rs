//! The observed usage of a fleet-wide budget.

use crate::scenario::TimeSpan;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The budget limits the number of uses in any interval of this length.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
/// Period for which a lease counts a use against its limit.
const LEASE_WINDOW: Duration = Duration::from_millis(1250);
/// Leases of a previous limit are in use for at most this long after the limit was changed: the duration of a lease, a
/// lease window, the clock difference and the transmission time.
const LEASE_EXPIRY: Duration = Duration::from_secs(6);
/// Number of sums that are reported per second.
const SUMS_PER_SECOND: f64 = 10.0;
const SUM_INTERVAL_MS: u64 = 100;

/// The usage of a budget.
#[derive(Clone, Debug, Serialize)]
pub struct BudgetReport {
    /// Name of the budget.
    pub name: &'static str,
    /// Maximum number of uses in any second, over all nodes.
    #[serde(rename = "whole")]
    pub limit: u32,
    /// Highest observed number of uses in a second.
    pub peak: u32,
    /// Mean fraction of the limit that was used in the saturated spans; `None` without such spans.
    #[serde(rename = "used")]
    pub usage_ratio: Option<f64>,
    /// Total number of uses.
    pub total: usize,
    /// Number of uses in the second before each tenth of a second.
    pub sums: Vec<BudgetSum>,
}

/// The number of uses in one second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, u32)")]
pub struct BudgetSum {
    /// The end of the second, in seconds after the clients start.
    pub end_s: f64,
    /// Number of uses.
    pub sum: u32,
}

impl From<BudgetSum> for (f64, u32) {
    fn from(sum: BudgetSum) -> (f64, u32) {
        (sum.end_s, sum.sum)
    }
}

/// A limit that was set during the run.
struct LimitChange {
    at: Instant,
    limit: u32,
}

/// A second with more uses than the limit.
#[derive(Clone, Copy)]
pub(super) struct Overrun {
    pub(super) at: Instant,
    pub(super) sum: u32,
    pub(super) limit: u32,
}

/// Collects the uses of a budget.
#[derive(Default)]
pub(super) struct BudgetMonitor {
    uses: Vec<Instant>,
    limit_changes: Vec<LimitChange>,
}

impl BudgetMonitor {
    /// Records a use.
    pub(super) fn record_use(&mut self, at: Instant) {
        self.uses.push(at);
    }

    /// Records a change of the limit.
    pub(super) fn record_limit(&mut self, at: Instant, limit: u32) {
        self.limit_changes.push(LimitChange { at, limit });
    }

    /// Sorts the uses by time, as the methods below require.
    pub(super) fn sort(&mut self) {
        self.uses.sort();
    }

    /// Returns the highest limit that leases in use at this time may be based on; `initial_limit` is the limit at the
    /// start of the run.
    fn limit_at(&self, at: Instant, initial_limit: u32) -> u32 {
        let is_replaced = |change: Option<&LimitChange>| {
            change.is_some_and(|change| at >= change.at + LEASE_EXPIRY)
        };
        let is_initial_valid = !is_replaced(self.limit_changes.first());
        let initial = is_initial_valid.then_some(initial_limit);
        let changes = self.limit_changes.iter().enumerate();
        let valid_changes = changes.filter(|(index, change)| {
            change.at <= at && !is_replaced(self.limit_changes.get(index + 1))
        });
        valid_changes
            .map(|(_, change)| change.limit)
            .chain(initial)
            .max()
            .unwrap_or(initial_limit)
    }

    /// Returns for each use the number of uses in the second up to and including it.
    fn sums_at_uses(&self) -> impl Iterator<Item = (Instant, u32)> + '_ {
        let mut first = 0;
        self.uses.iter().enumerate().map(move |(last, at)| {
            while at.saturating_duration_since(self.uses[first]) >= BUDGET_PERIOD {
                first += 1;
            }
            (*at, (last - first + 1) as u32)
        })
    }

    /// Returns the highest sum above its limit; of equal sums, the first.
    pub(super) fn worst_overrun(&self, initial_limit: u32) -> Option<Overrun> {
        let mut worst: Option<Overrun> = None;
        for (at, sum) in self.sums_at_uses() {
            let limit = self.limit_at(at, initial_limit);
            if sum > limit && worst.is_none_or(|overrun| sum > overrun.sum) {
                worst = Some(Overrun { at, sum, limit });
            }
        }
        worst
    }

    /// Reports the usage; `start` is when the clients started.
    pub(super) fn report(
        &self,
        name: &'static str,
        start: Instant,
        limit: u32,
        saturated_spans: &[TimeSpan],
    ) -> BudgetReport {
        BudgetReport {
            name,
            limit,
            peak: self.sums_at_uses().map(|(_, sum)| sum).max().unwrap_or(0),
            usage_ratio: self.usage_ratio(start, limit, saturated_spans),
            total: self.uses.len(),
            sums: self.sums(start),
        }
    }

    fn sums(&self, start: Instant) -> Vec<BudgetSum> {
        let seconds_of = |at: &Instant| at.saturating_duration_since(start).as_secs_f64();
        let end_s = self.uses.last().map_or(0.0, |last| seconds_of(last) + 1.0);
        let sum_count = (end_s * SUMS_PER_SECOND) as u64;
        (0..sum_count)
            .map(|index| {
                let to = start + Duration::from_millis(index * SUM_INTERVAL_MS);
                let from = to.checked_sub(BUDGET_PERIOD).unwrap_or(start);
                let uses = self.uses.iter().filter(|at| **at > from && **at <= to);
                BudgetSum {
                    end_s: index as f64 / SUMS_PER_SECOND,
                    sum: uses.count() as u32,
                }
            })
            .collect()
    }

    fn usage_ratio(&self, start: Instant, limit: u32, spans: &[TimeSpan]) -> Option<f64> {
        let mut use_count = 0;
        let mut seconds = 0.0;
        for span in spans {
            let is_within = |at: &&Instant| {
                let at_s = at.saturating_duration_since(start).as_secs_f64();
                (span.from_s..span.to_s).contains(&at_s)
            };
            use_count += self.uses.iter().filter(is_within).count();
            seconds += span.to_s - span.from_s;
        }
        // A use occupies one unit of the limit for as long as leases count it.
        let used_unit_seconds = use_count as f64 * LEASE_WINDOW.as_secs_f64();
        (seconds > 0.0).then(|| used_unit_seconds / (seconds * f64::from(limit)))
    }
}
