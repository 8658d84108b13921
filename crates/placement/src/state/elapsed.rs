//! Comparisons of the time since an event that may not have happened.

use crate::Timestamp;
use std::time::Duration;

/// Returns true if the event happened less than `span` ago.
pub(crate) fn happened_within(now: Timestamp, time: Option<Timestamp>, span: Duration) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) < span)
}

/// Returns true if the event never happened or happened more than `span` ago.
pub(crate) fn is_longer_ago(now: Timestamp, time: Option<Timestamp>, span: Duration) -> bool {
    time.is_none_or(|time| now.saturating_duration_since(time) > span)
}
