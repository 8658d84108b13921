//! Requests that end without being served.

use crate::balancer::{Actions, Balancer};
use crate::{Action, RequestId};

/// The range of the random `Retry-After`, as fractions of the longest one that clients obey.
struct RetryAfterRange {
    min_ratio: f64,
    spread_ratio: f64,
}

const RETRY_AFTER: RetryAfterRange = RetryAfterRange {
    min_ratio: 0.25,
    spread_ratio: 0.5,
};
/// The range for a request that has used all its attempts. The wait is longer, since the fleet is unlikely to recover
/// within a moment.
const RETRY_AFTER_ALL_ATTEMPTS: RetryAfterRange = RetryAfterRange {
    min_ratio: 0.6,
    spread_ratio: 0.4,
};

impl Balancer {
    /// Ends the request at shutdown. If its present attempt was sent in part, that part may have been executed.
    pub(crate) fn on_shutdown_deadline(
        &mut self,
        id: RequestId,
        was_sent: bool,
        actions: &mut Actions,
    ) {
        if was_sent {
            self.record_possible_execution(id);
        }
        self.reject_or_fail(id, actions);
    }

    /// Rejects the request if a retry by the client is harmless, else fails it.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_be_rejected = request.may_be_rejected();
        let range = if request.has_attempts_left() {
            RETRY_AFTER
        } else {
            RETRY_AFTER_ALL_ATTEMPTS
        };
        self.finish_request(id);
        if !may_be_rejected {
            actions.push(Action::Fail(id));
            return;
        }
        let ratio = range.min_ratio + range.spread_ratio * self.jitter();
        actions.push(Action::Reject {
            request: id,
            retry_after: self.settings.max_retry_after.mul_f64(ratio),
        });
    }

    /// Marks the request as finished, so that no further attempt is sent. An attempt in flight is still accounted for
    /// until it ends.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_finished = true;
        if request.in_flight.is_none() {
            self.requests.remove(&id);
        }
    }
}
