//! What follows when many servers are lost at once.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::{Health, RequestId, Timestamp};

impl Balancer {
    /// Redistributes keys over the remaining servers, the same at every node, and migrates what they hold of others.
    /// Guards against the work of all on the few that remain, which fall in turn before anything has shown them
    /// overloaded. Load reports tell better than a loss that keys are to be redistributed.
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

    /// Requests at servers that no longer take their keys, in the order of their ids.
    fn misplaced_requests(&self) -> Vec<RequestId> {
        let mut misplaced: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_misplaced(request))
            .map(|(id, _)| *id)
            .collect();
        misplaced.sort(); // the order of the map differs from run to run
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
