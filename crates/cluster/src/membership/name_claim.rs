//! Which of two processes of one name stays a member. The one that started later does, and wall clocks do not tell which one
//! that is: a process that has met the cluster only lately may raise its order over that of an earlier process, however
//! late that one's clock was.

use std::time::Duration;

/// For this long after it has met the cluster a process may raise its order: long enough to learn of an earlier process, and
/// short beside the life of one that another process replaces.
const NEWCOMER_PERIOD: Duration = Duration::from_secs(10);
/// Two newcomers of one name raise their orders in turn; not more often than this.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(200);

/// A process's right to its name.
#[derive(Default)]
pub(super) struct NameClaim {
    /// When another node was first heard of.
    first_contact: Option<Duration>,
    last_raise: Option<Duration>,
}

impl NameClaim {
    /// Another node was heard of.
    pub(super) fn record_contact(&mut self, now: Duration) {
        self.first_contact.get_or_insert(now);
    }

    /// Whether this process has met the cluster only lately, or not at all.
    pub(super) fn is_newcomer(&self, now: Duration) -> bool {
        self.first_contact
            .is_none_or(|first_contact| now.saturating_sub(first_contact) < NEWCOMER_PERIOD)
    }

    /// Whether the order may be raised now; it counts as raised then.
    pub(super) fn try_raise(&mut self, now: Duration) -> bool {
        let is_due = self
            .last_raise
            .is_none_or(|last_raise| now.saturating_sub(last_raise) >= MIN_RAISE_INTERVAL);
        let may_raise = is_due && self.is_newcomer(now);
        if may_raise {
            self.last_raise = Some(now);
        }
        may_raise
    }
}
