//! Requests that end unserved.

use crate::balancer::{Actions, Balancer};
use crate::{Action, RequestId};

impl Balancer {
    /// Refuses where that is harmless, else fails.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let harmless = request.may_be_rejected();
        let spent = request.attempt_count >= request.max_attempts;
        self.finish_request(id);
        if harmless {
            // One that spent all its attempts met a fleet that is no better in a moment.
            let (least, more) = if spent { (0.6, 0.4) } else { (0.25, 0.5) };
            let retry_after = self
                .settings
                .max_retry_after
                .mul_f64(least + more * self.jitter());
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail(id));
        }
    }

    /// Nothing more is sent for the request; what is out is still counted until it ends.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_finished = true;
            if request.in_flight.is_none() {
                self.requests.remove(&id);
            }
        }
    }
}
