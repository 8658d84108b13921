//! Detects overloaded and stalled servers by the delay of messages on established connections.

use crate::balancer::{Actions, Balancer};
use crate::limits::overload::ExcessLoad;
use crate::recovery::gossip::SlowHint;
use crate::recovery::outlier_detection::Failure;
use crate::state::request::RequestState;
use crate::{RequestId, Timestamp};
use std::time::Duration;

/// If the ratio of delay to objective is above `min_ratio`, a server is limited to `retained_ratio` of its load.
struct DelayTier {
    min_ratio: f64,
    retained_ratio: f64,
}

const fn delay_tier(min_ratio: f64, retained_ratio: f64) -> DelayTier {
    DelayTier {
        min_ratio,
        retained_ratio,
    }
}

/// Ordered by falling delay: the first tier that matches applies.
const DELAY_TIERS: [DelayTier; 5] = [
    delay_tier(5.0, 0.5),
    delay_tier(1.5, 0.75),
    delay_tier(0.8, 0.9),
    delay_tier(0.5, 0.96),
    delay_tier(0.3, 1.0),
];
/// Above this ratio of delay to objective, load beyond the server's limit is shed.
const SHEDDING_DELAY_RATIO: f64 = 0.5;
/// Above this ratio of delay to objective, other nodes receive a hint.
const HINT_DELAY_RATIO: f64 = 1.5;
/// Queueing alone does not delay messages this long: the server has stalled, and its clients should reconnect.
const STALLED_AFTER: Duration = Duration::from_secs(4);

impl Balancer {
    pub(crate) fn on_delay_observed(
        &mut self,
        now: Timestamp,
        id: RequestId,
        delay: Duration,
        actions: &mut Actions,
    ) {
        let request = self.requests.get(&id);
        let Some(slot) = request.and_then(RequestState::server) else {
            return;
        };
        let objective = self.min_message_objective.as_secs_f64().max(1e-9);
        let delay_ratio = delay.as_secs_f64() / objective;
        let is_stalled = delay >= STALLED_AFTER;
        if delay_ratio > SHEDDING_DELAY_RATIO {
            // Overloads are ignored while a report is younger than `OVERLOAD_MEMORY`, so an outdated report would keep
            // load from being shed.
            self.refresh_report(now, slot, actions);
        }
        if delay_ratio > HINT_DELAY_RATIO {
            let hint = if is_stalled {
                SlowHint::Stalled
            } else {
                SlowHint::Slow
            };
            self.send_slow_hint(now, slot, hint, actions);
        }
        if is_stalled {
            self.record_failure(now, slot, Failure::Stalled, actions);
            return;
        }
        let tier = DELAY_TIERS.iter().find(|tier| delay_ratio > tier.min_ratio);
        if let Some(tier) = tier {
            let excess_load = if delay_ratio > SHEDDING_DELAY_RATIO {
                ExcessLoad::Shed
            } else {
                ExcessLoad::Keep
            };
            self.record_overload(now, slot, tier.retained_ratio, excess_load, actions);
        }
    }
}
