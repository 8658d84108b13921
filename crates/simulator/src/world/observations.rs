//! What a node observes of its connections: loads, long set-ups, message delays, silence.

use super::{Phase, World};
use crate::event_queue::{Incarnation, Moment, SimulationEvent, SECOND};
use crate::scenario::DelayVisibility;
use crate::server_model::ServerState;
use lupincrank_placement::{Event, RequestId};
use std::time::Duration;

/// Set-ups that a node remembers to tell a long one from the usual, and the multiple that is long.
const REMEMBERED_SETUPS: usize = 63;
const MIN_REMEMBERED_SETUPS: usize = 8;
const LONG_SETUP_FACTOR: u64 = 3;

impl World<'_> {
    pub(super) fn report_load(&mut self, client: u32) {
        if !self.scenario.nodes.loads {
            return;
        }
        let held = &self.clients[client as usize];
        let load = Duration::from_secs_f64(held.load.max(0.0));
        let (node, request) = (held.node, RequestId(held.request));
        self.deliver_event(node, Event::LoadObserved { request, load });
    }

    /// Lines are returned at once however crowded a transcriber is, but a set-up waits its turn there: one that
    /// takes over three times the median of the latest ones is told as a delay by what is over the median, as real
    /// nodes do.
    pub(super) fn observe_setup(&mut self, node: u32, request: RequestId, took: Moment) {
        let set_ups = &mut self.nodes[node as usize].set_ups;
        let mut sorted: Vec<Moment> = set_ups.iter().copied().collect();
        if set_ups.len() == REMEMBERED_SETUPS {
            set_ups.pop_front();
        }
        set_ups.push_back(took);
        if self.scenario.nodes.delays != DelayVisibility::Sockets
            || sorted.len() < MIN_REMEMBERED_SETUPS
        {
            return;
        }
        let middle = sorted.len() / 2;
        let median = *sorted.select_nth_unstable(middle).1;
        if took > median * LONG_SETUP_FACTOR {
            let delay = Duration::from_nanos(took - median);
            self.deliver_event(node, Event::DelayObserved { request, delay });
        }
    }

    /// Once a second nodes tell how long messages take, of one connection for each transcriber that is late, and
    /// once more when it no longer is.
    pub(super) fn observe(&mut self) {
        if self.scenario.nodes.delays != DelayVisibility::All {
            return;
        }
        let least = self
            .message_objectives
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        for at in 0..self.fleet.len() {
            let server = &self.fleet[at];
            let (wait, own) = server.delay(self.now);
            let silent = server.state == ServerState::Silent;
            let gone = crate::event_queue::as_seconds(self.now.saturating_sub(server.silent_since));
            let delay = if silent { gone } else { wait + own };
            let late = delay > least / 3.0;
            let was = std::mem::replace(&mut self.fleet[at].late, late);
            if late || was {
                let delay = Duration::from_secs_f64(delay);
                for (node, request) in self.one_for_each_node(at as u32) {
                    self.deliver_event(node, Event::DelayObserved { request, delay });
                }
            }
        }
    }

    /// One connection of each node that has any on this transcriber.
    pub(super) fn one_for_each_node(&self, server: u32) -> Vec<(u32, RequestId)> {
        let mut met = vec![false; self.nodes.len()];
        let mut found = Vec::new();
        for client in &self.fleet[server as usize].standing {
            let held = &self.clients[*client as usize];
            if held.phase == Phase::Connected
                && !std::mem::replace(&mut met[held.node as usize], true)
            {
                found.push((held.node, RequestId(held.request)));
                if found.len() == met.len() {
                    break;
                }
            }
        }
        found
    }

    /// Nodes notice that a transcriber answers nobody: each tells so, and of every connection that it still has there.
    pub(super) fn notice_silence(&mut self, server: u32, incarnation: Incarnation) {
        let at = &self.fleet[server as usize];
        if at.state != ServerState::Silent || at.incarnation != incarnation {
            return;
        }
        let id = at.id.clone();
        for (node, _) in self.one_for_each_node(server) {
            let held = self.fleet[server as usize].standing.iter();
            let held = held
                .filter(|client| self.clients[**client as usize].node == node)
                .count();
            if held > 1 {
                self.deliver_event(node, Event::ServerUnresponsive(id.clone()));
            }
        }
        let left: Vec<u32> = self.fleet[server as usize].standing.clone();
        for client in left {
            let held = &self.clients[client as usize];
            if held.phase == Phase::Connected && held.out == Some(server) {
                let (node, request) = (held.node, RequestId(held.request));
                self.deliver_event(node, Event::ConnectionUnresponsive(request));
            }
        }
        self.queue.schedule(
            self.now + SECOND,
            SimulationEvent::SilenceNoticed(server, incarnation),
        );
    }
}
