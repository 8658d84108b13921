//! Limits the number of connection setups in progress.
//!
//! Guards against a bottleneck behind all servers, which further attempts would overload even more. Quick setups widen
//! the window; slow setups, and failures at several servers, shrink it. A window below one allows one setup at a time,
//! with a pause after each time that the window shrinks.

use crate::hashing::random_fraction;
use crate::timer::QUEUE_INTERVAL;
use crate::Timestamp;
use rand_pcg::Pcg32;
use std::time::Duration;

/// Initial window, summed over all nodes.
const INITIAL_FLEET_WINDOW: f64 = 24.0;
/// Minimum window, summed over all nodes.
const MIN_FLEET_WINDOW: f64 = 6.0;
/// Minimum window of each node.
const MIN_NODE_WINDOW: f64 = 0.05;
const SHRINK_FACTOR: f64 = 0.7;
/// Minimum time between two reductions of the window.
const SHRINK_INTERVAL: Duration = QUEUE_INTERVAL.saturating_mul(2);
const GROWTH_PER_SETUP: f64 = 0.5;
/// The window grows only while more than this fraction of it is used or it is below one setup.
const MIN_USED_RATIO: f64 = 0.5;
/// A setup is slow if it takes more than this multiple of the quick setup duration.
const SLOW_SETUP_RATIO: f64 = 3.0;
/// Weight of one setup in the mean duration.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one failed setup in the mean duration.
const FAILED_SETUP_WEIGHT: f64 = 0.2;
/// The quick setup duration is a moving estimate that falls quickly after a quicker setup and rises slowly after
/// others.
const QUICK_SETUP_FALL_WEIGHT: f64 = 0.3;
const QUICK_SETUP_RISE_WEIGHT: f64 = 0.01;
const INITIAL_QUICK_SETUP_SECONDS: f64 = 0.05;

pub(crate) struct SetupWindow {
    node_count: u32,
    /// Number of setups that may be in progress.
    size: f64,
    in_progress: usize,
    shrunk_at: Timestamp,
    paused_until: Timestamp,
    mean_setup_seconds: f64,
    quick_setup_seconds: f64,
}

impl SetupWindow {
    pub(crate) fn new(node_count: u32) -> SetupWindow {
        SetupWindow {
            node_count,
            size: initial_size(node_count),
            in_progress: 0,
            shrunk_at: Timestamp::default(),
            paused_until: Timestamp::default(),
            mean_setup_seconds: 0.0,
            quick_setup_seconds: INITIAL_QUICK_SETUP_SECONDS,
        }
    }

    /// Changes the number of nodes. The window keeps its size.
    pub(crate) fn set_node_count(&mut self, node_count: u32) {
        self.node_count = node_count;
    }

    /// Returns true if another setup may begin.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        let is_paused = self.size < 1.0 && now < self.paused_until;
        !is_paused && (self.in_progress as f64) < self.size
    }

    pub(crate) fn begin_setup(&mut self) {
        self.in_progress += 1;
    }

    pub(crate) fn end_setup(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    pub(crate) fn mean_setup_seconds(&self) -> f64 {
        self.mean_setup_seconds
    }

    /// The minimum time that a request must have left for a setup to begin.
    pub(crate) fn min_setup_duration(&self) -> Duration {
        let quick_setup = Duration::from_secs_f64(self.quick_setup_seconds);
        QUEUE_INTERVAL.max(quick_setup) * 2
    }

    pub(crate) fn record_success(
        &mut self,
        now: Timestamp,
        setup_duration: Duration,
        rng: &mut Pcg32,
    ) {
        self.end_setup();
        let seconds = setup_duration.as_secs_f64();
        self.mean_setup_seconds += MEAN_WEIGHT * (seconds - self.mean_setup_seconds);
        let weight = if seconds < self.quick_setup_seconds {
            QUICK_SETUP_FALL_WEIGHT
        } else {
            QUICK_SETUP_RISE_WEIGHT
        };
        self.quick_setup_seconds += (seconds - self.quick_setup_seconds) * weight;
        if seconds > SLOW_SETUP_RATIO * self.quick_setup_seconds {
            self.shrink(now, rng);
        } else if self.size < 1.0 || (self.in_progress as f64) > self.size * MIN_USED_RATIO {
            self.size += GROWTH_PER_SETUP;
        }
    }

    /// Records a setup that failed by a cause common to all servers. The mean duration grows, because attempts that are
    /// given up just before they would have succeeded add to the overload of the common bottleneck.
    pub(crate) fn record_shared_failure(
        &mut self,
        now: Timestamp,
        setup_duration: Duration,
        rng: &mut Pcg32,
    ) {
        let excess = setup_duration.as_secs_f64() - self.mean_setup_seconds;
        self.mean_setup_seconds += FAILED_SETUP_WEIGHT * excess.max(0.0);
        self.shrink(now, rng);
    }

    /// Ends the pause and restores at least the initial size, because the recent failures were due to an unreachable
    /// zone and do not concern setups elsewhere.
    pub(crate) fn reopen(&mut self, now: Timestamp) {
        self.paused_until = now;
        self.size = self.size.max(initial_size(self.node_count));
    }

    fn shrink(&mut self, now: Timestamp, rng: &mut Pcg32) {
        if now.saturating_duration_since(self.shrunk_at) <= SHRINK_INTERVAL {
            return;
        }
        let min_size = (MIN_FLEET_WINDOW / f64::from(self.node_count.max(1))).max(MIN_NODE_WINDOW);
        let used_size = self.size.min(self.in_progress as f64 + 1.0);
        self.size = (used_size * SHRINK_FACTOR).max(min_size);
        self.shrunk_at = now;
        let mean_seconds = self.mean_setup_seconds.max(QUEUE_INTERVAL.as_secs_f64());
        let mean_pause = mean_seconds * (1.0 / self.size - 1.0).max(0.0);
        let pause = mean_pause * (0.5 + random_fraction(rng));
        self.paused_until = now.saturating_add(Duration::from_secs_f64(pause));
    }
}

/// The window of one node before any measurement.
fn initial_size(node_count: u32) -> f64 {
    (INITIAL_FLEET_WINDOW / f64::from(node_count.max(1))).max(1.0)
}

#[cfg(test)]
mod tests;
