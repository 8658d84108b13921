//! Settings that change at run time, and this node's share of budgets that are divided among nodes.

use super::PlacementDriver;
use crate::config::Config;
use lupincrank_control::lease::LeaseTerms;
use lupincrank_placement::{Event, Settings, SlowStartLease, SlowStartUsage, Timestamp};
use slog::debug;
use std::time::Duration;

/// The longest retry delay that a node sends during shutdown: by then the front load balancer sends clients to
/// other nodes.
const MAX_SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The retry delay for requests received during shutdown, limited by the settings.
pub(super) fn shutdown_retry_after(settings: &Settings) -> Duration {
    MAX_SHUTDOWN_RETRY_AFTER.min(settings.max_retry_after)
}

impl PlacementDriver {
    /// Applies new settings. `previous_class_indices` holds the previous index of each class, if the class existed
    /// before.
    pub(crate) fn apply_settings(
        &mut self,
        config: &Config,
        previous_class_indices: Vec<Option<usize>>,
    ) {
        for active in self.requests.values_mut() {
            let index = previous_class_indices
                .iter()
                .position(|previous| *previous == Some(active.info.class));
            // A class that was removed from the settings: established connections need none.
            active.info.class = index.unwrap_or(usize::MAX);
        }
        let settings = &config.settings;
        self.min_message_objective = settings.min_message_objective();
        self.shutdown_retry_after = shutdown_retry_after(settings);
        self.slow_start_duration = settings.slow_start_duration;
        self.feed(Event::SettingsChanged {
            settings: Settings {
                node_count: settings.node_count.saturating_mul(self.process_count),
                ..settings.clone()
            },
            previous_class_indices,
        });
    }

    /// Sets the number of processes of this node that accept clients: budgets that are divided among nodes are
    /// further divided among these.
    pub(crate) fn set_process_count(&mut self, config: &Config, process_count: u32) {
        if process_count == self.process_count {
            return;
        }
        self.process_count = process_count;
        debug!(self.log, "node budgets divided"; "processes" => process_count);
        let unchanged_indices = (0..config.classes.len()).map(Some).collect();
        self.apply_settings(config, unchanged_indices);
    }

    /// Sets the limits that the cluster agreed on for new connections of this node to servers that are warming up:
    /// `limit` in any accounting window until the lease expires, and `floor` without a lease.
    pub(crate) fn set_slow_start_lease(
        &mut self,
        limit: u32,
        floor: u32,
        fleet_share: f64,
        expires_at: Option<Timestamp>,
    ) {
        let lease = Some(SlowStartLease {
            fleet_share,
            limit,
            expires_at,
            floor,
            window: LeaseTerms::default().accounting_window,
        });
        if lease != self.slow_start_lease {
            self.slow_start_lease.clone_from(&lease);
            self.feed(Event::LeaseChanged(lease));
        }
    }

    /// Returns the usage of the slow-start lease since the last call.
    pub(crate) fn take_slow_start_usage(&mut self) -> SlowStartUsage {
        self.balancer.take_slow_start_usage()
    }
}
