//! Comparisons of the time since an event that may not have happened.

use crate::Timestamp;
use std::time::Duration;

/// Whether it happened less than `span` ago.
pub(crate) fn happened_within(now: Timestamp, at: Option<Timestamp>, span: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < span)
}

/// Whether it never happened, or more than `span` ago.
pub(crate) fn is_longer_ago(now: Timestamp, at: Option<Timestamp>, span: Duration) -> bool {
    at.is_none_or(|at| now.saturating_duration_since(at) > span)
}
