//! Sharing out the keys of lost servers.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::{Health, RequestId, Timestamp};

impl Balancer {
    /// Many servers may be lost: those that are left take shares of the keys, the same at every gateway, and
    /// what they hold of others leaves. Guards against the work of all on the few that are left, which fall
    /// in turn before anything has shown them crowded.
    pub(crate) fn redistribute_keys(&mut self, now: Timestamp, lost: f64, actions: &mut Actions) {
        let most = self.settings.utilization_field.map_or(lost, |_| 0.0); // reports tell it better
        if !self
            .key_redistribution
            .redistribute(&mut self.fleet, now, &self.settings, most)
        {
            return;
        }
        let out = |request: &RequestState| {
            let at = request.in_flight.as_ref().map(|out| out.server);
            let server = at.and_then(|at| self.fleet.servers.get(at));
            server.is_some_and(|server| {
                server.health == Health::Ready
                    && !self.key_redistribution.accepts_key(server, request.key)
            })
        };
        let mut over: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| out(request))
            .map(|(id, _)| *id)
            .collect();
        over.sort(); // the order of the map differs from run to run
        over.into_iter().for_each(|id| self.migrate(id, actions));
    }
}
