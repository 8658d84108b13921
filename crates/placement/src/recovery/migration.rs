//! Moving standing connections to other servers.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::state::server_table::ServerSlot;
use crate::{Action, RequestId, Timer, Timestamp};
use std::time::Duration;

pub(crate) const MOVES_SAVED: f64 = 0.3;
/// A server out by hand is empty by then, step by step: guards against the work of all its connections at
/// once on the others, and against a restart that cuts them off.
const EMPTIED: Duration = Duration::from_millis(1500);
const EMPTY_STEP: Duration = Duration::from_millis(100);

impl Balancer {
    /// Its connections earn nothing: asks them to come again elsewhere, so many whatever has been saved up.
    pub(crate) fn migrate_all(&mut self, at: ServerSlot, free: f64, actions: &mut Actions) {
        let held = self
            .fleet
            .servers
            .get(at)
            .map_or(Vec::new(), |s| s.connections.iter().copied().collect());
        self.move_tokens = self.move_tokens.max(free.min(held.len() as f64));
        held.into_iter()
            .for_each(|request| self.migrate(request, actions));
    }

    /// Moves the next part of what stands on servers that are out by hand; so goes a try that comes up there.
    pub(crate) fn migrate_drained(&mut self, now: Timestamp, actions: &mut Actions) {
        for progress in self.admin_drain.progress(now, EMPTIED, EMPTY_STEP) {
            let at = self.fleet.servers.slot(&progress.server);
            let held = self
                .fleet
                .servers
                .get(at)
                .into_iter()
                .flat_map(|server| &server.connections);
            let stands = |id: &&RequestId| {
                self.requests
                    .get(id)
                    .is_some_and(RequestState::is_established)
            };
            let held: Vec<RequestId> = held.filter(stands).copied().collect();
            let due = held.len().div_ceil(progress.remaining_steps);
            self.move_tokens = self.move_tokens.max(due as f64);
            held.into_iter()
                .take(due)
                .for_each(|request| self.migrate(request, actions));
        }
        if !self.admin_drain.drained().is_empty() && !std::mem::replace(&mut self.empty_timer, true)
        {
            actions.push(Action::SetTimer {
                after: EMPTY_STEP,
                timer: Timer::AdminDrain,
            });
        }
    }

    pub(crate) fn migrate(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_established() && self.move_tokens >= 1.0 {
            self.move_tokens -= 1.0;
            request.is_finished = true;
            actions.push(Action::Migrate(id));
        }
    }
}
