//! Decides which of two processes of one name stays a member: the one that started later. Wall clocks can't decide that
//! because of clock skew. Therefore a process that has joined the cluster recently may raise its start time above that
//! of an earlier process, whatever that process's clock was.

use std::time::Duration;

/// The time after its first contact with the cluster in which a process may raise its start time. It is long enough to
/// learn of an earlier process, and short compared with the uptime of a process that is replaced.
const RECENT_JOIN_PERIOD: Duration = Duration::from_secs(10);
/// The shortest time between two raises by a process. Two joining processes of one name raise their start times in
/// turn.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(200);

/// The claim of a process to its name.
#[derive(Default)]
pub(super) struct NameClaim {
    /// The time at which the first message from another node was received.
    first_contact_at: Option<Duration>,
    last_raised_at: Option<Duration>,
}

impl NameClaim {
    /// Records that a message from another node was received.
    pub(super) fn record_contact(&mut self, now: Duration) {
        self.first_contact_at.get_or_insert(now);
    }

    /// Returns true if this process has joined the cluster recently or has not joined yet.
    pub(super) fn has_joined_recently(&self, now: Duration) -> bool {
        self.first_contact_at.is_none_or(|first_contact_at| {
            now.saturating_sub(first_contact_at) < RECENT_JOIN_PERIOD
        })
    }

    /// Returns true if the start time may be raised now, and records the raise.
    pub(super) fn try_raise_start_time(&mut self, now: Duration) -> bool {
        let is_due = self
            .last_raised_at
            .is_none_or(|last_raised_at| now.saturating_sub(last_raised_at) >= MIN_RAISE_INTERVAL);
        let may_raise = is_due && self.has_joined_recently(now);
        if may_raise {
            self.last_raised_at = Some(now);
        }
        may_raise
    }
}
