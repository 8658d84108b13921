//! Reaction to the loss of many servers at once.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::{Health, RequestId, Timestamp};

impl Balancer {
    /// Redistributes keys over the remaining servers, in the same way at every node, and migrates their connections
    /// whose keys they do not accept. Guards against the whole load on a few remaining servers, which would fail one
    /// after another before any overload is detected. With load reports a loss starts no redistribution, since the
    /// reports are the better signal.
    pub(crate) fn redistribute_keys(
        &mut self,
        now: Timestamp,
        lost_weight: f64,
        actions: &mut Actions,
    ) {
        let lost_weight = match self.settings.utilization_field {
            Some(_) => 0.0,
            None => lost_weight,
        };
        let has_begun =
            self.key_redistribution
                .redistribute(&mut self.fleet, now, &self.settings, lost_weight);
        if !has_begun {
            return;
        }
        for id in self.misplaced_requests() {
            self.migrate(id, actions);
        }
    }

    /// Returns the requests at servers that do not accept their keys, in the order of their ids.
    fn misplaced_requests(&self) -> Vec<RequestId> {
        let mut misplaced: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_misplaced(request))
            .map(|(id, _)| *id)
            .collect();
        misplaced.sort(); // the iteration order of the map differs between runs
        misplaced
    }

    fn is_misplaced(&self, request: &RequestState) -> bool {
        let slot = request.server();
        let server = slot.and_then(|slot| self.fleet.servers.get(slot));
        server.is_some_and(|server| {
            server.health == Health::Ready
                && !self.key_redistribution.accepts_key(server, request.key)
        })
    }
}
