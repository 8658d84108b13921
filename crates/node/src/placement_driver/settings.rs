//! Settings that change while the node runs, and this node's share of what is divided among nodes.

use super::PlacementDriver;
use crate::config::Config;
use lupincrank_control::lease::LeaseTerms;
use lupincrank_placement::{Event, Settings, SlowStartLease, SlowStartUsage, Timestamp};
use slog::debug;
use std::time::Duration;

/// The longest retry delay that a node sends while it shuts down: by then the front sends clients elsewhere.
const MAX_SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a client that comes during the shutdown is told to wait, as far as the settings allow.
pub(super) fn shutdown_retry_after(settings: &Settings) -> Duration {
    MAX_SHUTDOWN_RETRY_AFTER.min(settings.max_retry_after)
}

impl PlacementDriver {
    /// Applies other settings. `previous_positions`: for each class its position before, if it was there.
    pub(crate) fn apply_settings(
        &mut self,
        config: &Config,
        previous_positions: Vec<Option<usize>>,
    ) {
        for active in self.requests.values_mut() {
            let position = previous_positions
                .iter()
                .position(|previous| *previous == Some(active.info.class));
            // A class that is not there any more: what is established needs none.
            active.info.class = position.unwrap_or(usize::MAX);
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
            previous_class_indices: previous_positions,
        });
    }

    /// So many processes of this node accept clients: what is divided among nodes is divided among these too.
    pub(crate) fn set_process_count(&mut self, config: &Config, process_count: u32) {
        if process_count == self.process_count {
            return;
        }
        self.process_count = process_count;
        debug!(self.log, "node budgets divided"; "processes" => process_count);
        let unchanged_positions = (0..config.classes.len()).map(Some).collect();
        self.apply_settings(config, unchanged_positions);
    }

    /// What this node may send to servers that warm up, by the cluster's agreement: `limit` new connections in any window
    /// until the lease expires, and `floor` without a lease.
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

    /// What was used of the slow-start lease since the last call.
    pub(crate) fn take_slow_start_usage(&mut self) -> SlowStartUsage {
        self.balancer.take_slow_start_usage()
    }
}
