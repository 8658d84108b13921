//! Replaces the data path of a hollow node: uses the slow-start budget according to the demand, and reports the node's
//! state.

use super::protocol::{unix_us, NodeReport};
use super::HostSettings;
use lupincrank_node::hollow::{BudgetUsage, ClusterStatus, Observer};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::time::{clock_gettime, ClockId};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Interval at which a hollow node calls its observer.
pub(super) const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports if nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum of the random factor of the demand: the demand varies by up to half of its mean.
const MIN_DEMAND_FACTOR: f64 = 0.5;

/// Usage of the budget by one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Consumption {
    /// Number of uses by this call.
    pub use_count: u32,
    /// Number of uses within the window that ends with this call, including those of this call.
    pub window_count: u32,
    /// Whether the limit prevented uses.
    pub was_limited: bool,
}

struct WrittenReport {
    written_at: Instant,
    report: NodeReport,
}

/// Uses a hollow node's share of the budget.
pub struct BudgetConsumer {
    node: usize,
    settings: Arc<RwLock<HostSettings>>,
    rng: Pcg64Mcg,
    /// Times of the uses within the window, in ascending order.
    uses: VecDeque<Instant>,
    /// Fraction of a use that is carried over to the next call.
    pending_demand: f64,
    last_consumed_at: Instant,
    last_written: Option<WrittenReport>,
}

impl BudgetConsumer {
    /// Creates the consumer of a node's share.
    pub fn new(node: usize, seed: u64, settings: Arc<RwLock<HostSettings>>) -> BudgetConsumer {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 32 | node as u128 | 1 << 100);
        let pending_demand = rng.random::<f64>();
        BudgetConsumer {
            node,
            settings,
            rng,
            uses: VecDeque::new(),
            pending_demand,
            last_consumed_at: Instant::now(),
            last_written: None,
        }
    }

    /// Uses the budget for the demand since the last call, in uses per second, up to `limit` uses in any `window`.
    pub fn consume(
        &mut self,
        now: Instant,
        demand: f64,
        limit: u32,
        window: Duration,
    ) -> Consumption {
        let is_expired = |used_at: &Instant| now.duration_since(*used_at) >= window;
        while self.uses.front().is_some_and(is_expired) {
            self.uses.pop_front();
        }
        let demand_factor = MIN_DEMAND_FACTOR + self.rng.random::<f64>();
        let elapsed_s = now.duration_since(self.last_consumed_at).as_secs_f64();
        self.last_consumed_at = now;
        self.pending_demand += demand * elapsed_s * demand_factor;
        let requested_count = self.pending_demand as usize;
        self.pending_demand -= requested_count as f64;
        let available_count = (limit as usize).saturating_sub(self.uses.len());
        let use_count = requested_count.min(available_count);
        self.uses.extend(std::iter::repeat_n(now, use_count));
        Consumption {
            use_count: use_count as u32,
            window_count: self.uses.len() as u32,
            was_limited: requested_count > available_count,
        }
    }

    /// Writes a report if it contains uses or a new state, or if the last one is older than the interval.
    fn write_report(&mut self, now: Instant, report: NodeReport) {
        let is_redundant = self.last_written.as_ref().is_some_and(|written| {
            report.use_count == 0
                && now.duration_since(written.written_at) < REPORT_INTERVAL
                && written.report.has_same_state(&report)
        });
        if is_redundant {
            return;
        }
        if let Ok(text) = serde_json::to_string(&report) {
            // A failed write is ignored: if the run has ended, so has the input, which ends this process.
            let _ = writeln!(io::stdout().lock(), "{text}");
        }
        self.last_written = Some(WrittenReport {
            written_at: now,
            report,
        });
    }
}

/// Returns the CPU time of this thread in microseconds.
fn thread_cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

impl Observer for BudgetConsumer {
    fn interval(&self) -> Duration {
        OBSERVE_INTERVAL
    }

    fn observe(
        &mut self,
        status: &ClusterStatus,
        window: Duration,
        is_live: &dyn Fn(&str) -> bool,
    ) -> BudgetUsage {
        let now = Instant::now();
        let settings = self
            .settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let watched_node = &settings.watched_node;
        let is_watched_node_live = watched_node.is_empty() || is_live(watched_node);
        let consumption = self.consume(now, settings.demand, status.lease_limit, window);
        let report = NodeReport {
            node: self.node,
            at_us: unix_us(),
            epoch: status.epoch,
            budget_limit: status.capacity,
            has_leader: status.has_leader,
            is_voter: status.is_voter,
            live_count: status.live_count,
            is_watched_node_live,
            use_count: consumption.use_count,
            cpu_us: thread_cpu_us(),
        };
        self.write_report(now, report);
        BudgetUsage {
            peak: consumption.window_count,
            was_limited: consumption.was_limited,
        }
    }
}
