//! Stands for the data path of a hollow node: it uses the budget as there is demand, and reports the node's state.

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

/// How often a hollow node is looked at.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How often it reports when nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Demand varies around its mean by up to half.
const MIN_DEMAND_FACTOR: f64 = 0.5;

/// What was used of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Consumption {
    /// Uses just now.
    pub use_count: u32,
    /// Uses within the window that ends now.
    pub window_count: u32,
    /// Whether there was demand for more than the limit.
    pub was_limited: bool,
}

struct WrittenReport {
    at: Instant,
    report: NodeReport,
}

/// Uses a hollow node's part of the budget.
pub struct BudgetConsumer {
    node: usize,
    settings: Arc<RwLock<HostSettings>>,
    random: Pcg64Mcg,
    /// Uses within the window, by time.
    uses: VecDeque<Instant>,
    /// Demand that was not used yet; its fraction is carried on.
    pending_demand: f64,
    last_consumed_at: Instant,
    last_written: Option<WrittenReport>,
}

impl BudgetConsumer {
    /// A consumer of this node's part.
    pub fn new(node: usize, seed: u64, settings: Arc<RwLock<HostSettings>>) -> BudgetConsumer {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 32 | node as u128 | 1 << 100);
        let pending_demand = random.random::<f64>();
        BudgetConsumer {
            node,
            settings,
            random,
            uses: VecDeque::new(),
            pending_demand,
            last_consumed_at: Instant::now(),
            last_written: None,
        }
    }

    /// Uses what the limit allows of the demand since the last call.
    pub fn consume(
        &mut self,
        now: Instant,
        demand: f64,
        limit: u32,
        window: Duration,
    ) -> Consumption {
        let is_expired = |at: &Instant| now.duration_since(*at) >= window;
        while self.uses.front().is_some_and(is_expired) {
            self.uses.pop_front();
        }
        let demand_factor = MIN_DEMAND_FACTOR + self.random.random::<f64>();
        let elapsed_s = now.duration_since(self.last_consumed_at).as_secs_f64();
        self.last_consumed_at = now;
        self.pending_demand += demand * elapsed_s * demand_factor;
        let wanted_count = self.pending_demand as usize;
        self.pending_demand -= wanted_count as f64;
        let available_count = (limit as usize).saturating_sub(self.uses.len());
        let use_count = wanted_count.min(available_count);
        self.uses.extend(std::iter::repeat_n(now, use_count));
        Consumption {
            use_count: use_count as u32,
            window_count: self.uses.len() as u32,
            was_limited: wanted_count > available_count,
        }
    }

    /// Writes a report if it says something new, or the last one is old.
    fn write_report(&mut self, now: Instant, report: NodeReport) {
        let is_redundant = self.last_written.as_ref().is_some_and(|written| {
            report.use_count == 0
                && now.duration_since(written.at) < REPORT_INTERVAL
                && written.report.has_same_state(&report)
        });
        if is_redundant {
            return;
        }
        if let Ok(text) = serde_json::to_string(&report) {
            // Without the run this process ends by its input.
            let _ = writeln!(io::stdout().lock(), "{text}");
        }
        self.last_written = Some(WrittenReport { at: now, report });
    }
}

/// Processor time of this thread in microseconds.
fn thread_cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

impl Observer for BudgetConsumer {
    fn interval(&self) -> Duration {
        LOOK_INTERVAL
    }

    fn observe(
        &mut self,
        status: &ClusterStatus,
        window: Duration,
        is_alive: &dyn Fn(&str) -> bool,
    ) -> BudgetUsage {
        let now = Instant::now();
        let settings = self
            .settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let watched_node = &settings.watched_node;
        let is_watched_alive = watched_node.is_empty() || is_alive(watched_node);
        let consumption = self.consume(now, settings.demand, status.lease_limit, window);
        let report = NodeReport {
            node: self.node,
            at_us: unix_us(),
            epoch: status.epoch,
            budget_limit: status.capacity,
            has_leader: status.has_leader,
            is_voter: status.is_voter,
            living_count: status.live_count,
            is_watched_alive,
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
