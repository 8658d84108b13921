//! Observations of nodes: load, long setups, message delays and unresponsive servers.

use super::{Phase, World};
use crate::event_queue::{Incarnation, SimTime, SimulationEvent, SECOND};
use crate::scenario::DelayVisibility;
use crate::server_model::ServerState;
use lupincrank_placement::{Event, RequestId};
use std::time::Duration;

/// The number of recent setups with which a node compares a setup.
const REMEMBERED_SETUPS: usize = 63;
/// With fewer recent setups, a node reports no long setups.
const MIN_REMEMBERED_SETUPS: usize = 8;
/// A setup is long if it takes more than this multiple of the median of the recent setups.
const LONG_SETUP_FACTOR: u64 = 3;

impl World<'_> {
    pub(super) fn report_load(&mut self, client: u32) {
        if !self.scenario.nodes.loads {
            return;
        }
        let state = &self.clients[client as usize];
        let load = Duration::from_secs_f64(state.load.max(0.0));
        let (node, request) = (state.node, RequestId(state.request));
        self.deliver_event(node, Event::LoadObserved { request, load });
    }

    /// Reports a long setup as a delay, as real nodes do. Servers return lines at once even under overload, but a
    /// setup waits for a slot: one that takes over three times the median of the latest setups is reported as a delay
    /// of the excess over the median.
    pub(super) fn report_long_setup(&mut self, node: u32, request: RequestId, duration: SimTime) {
        let recent = &mut self.nodes[node as usize].recent_setups;
        let mut durations: Vec<SimTime> = recent.iter().copied().collect();
        if recent.len() == REMEMBERED_SETUPS {
            recent.pop_front();
        }
        recent.push_back(duration);
        if self.scenario.nodes.delays != DelayVisibility::Sockets
            || durations.len() < MIN_REMEMBERED_SETUPS
        {
            return;
        }
        let middle = durations.len() / 2;
        let median = *durations.select_nth_unstable(middle).1;
        if duration > median * LONG_SETUP_FACTOR {
            let delay = Duration::from_nanos(duration - median);
            self.deliver_event(node, Event::DelayObserved { request, delay });
        }
    }

    /// Reports message delays once a second: for each server with late messages, on one connection per node, and once
    /// more when its messages are in time again. Messages are late if their delay exceeds a third of the smallest
    /// message objective.
    pub(super) fn report_message_delays(&mut self) {
        if self.scenario.nodes.delays != DelayVisibility::All {
            return;
        }
        let min_objective = self
            .message_objectives
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        for index in 0..self.fleet.len() {
            let server = &self.fleet[index];
            let (wait, service_time) = server.delay(self.now);
            let is_unresponsive = server.state == ServerState::Unresponsive;
            let unresponsive_s =
                crate::event_queue::as_seconds(self.now.saturating_sub(server.unresponsive_since));
            let delay = if is_unresponsive {
                unresponsive_s
            } else {
                wait + service_time
            };
            let is_late = delay > min_objective / 3.0;
            let was_late = std::mem::replace(&mut self.fleet[index].is_late, is_late);
            if is_late || was_late {
                let delay = Duration::from_secs_f64(delay);
                for (node, request) in self.one_connection_per_node(index as u32) {
                    self.deliver_event(node, Event::DelayObserved { request, delay });
                }
            }
        }
    }

    /// Returns one connection of each node that has any at this server.
    pub(super) fn one_connection_per_node(&self, server: u32) -> Vec<(u32, RequestId)> {
        let mut has_connection = vec![false; self.nodes.len()];
        let mut found = Vec::new();
        for client in &self.fleet[server as usize].clients {
            let state = &self.clients[*client as usize];
            if state.phase == Phase::Connected
                && !std::mem::replace(&mut has_connection[state.node as usize], true)
            {
                found.push((state.node, RequestId(state.request)));
                if found.len() == has_connection.len() {
                    break;
                }
            }
        }
        found
    }

    /// Reports an unresponsive server: each node with several connections reports the server, and each remaining
    /// connection is reported as well. The reports repeat every second.
    pub(super) fn detect_unresponsive_server(&mut self, server: u32, incarnation: Incarnation) {
        let model = &self.fleet[server as usize];
        if model.state != ServerState::Unresponsive || model.incarnation != incarnation {
            return;
        }
        let id = model.id.clone();
        for (node, _) in self.one_connection_per_node(server) {
            let clients = self.fleet[server as usize].clients.iter();
            let count = clients
                .filter(|client| self.clients[**client as usize].node == node)
                .count();
            if count > 1 {
                self.deliver_event(node, Event::ServerUnresponsive(id.clone()));
            }
        }
        let remaining: Vec<u32> = self.fleet[server as usize].clients.clone();
        for client in remaining {
            let state = &self.clients[client as usize];
            if state.phase == Phase::Connected && state.server == Some(server) {
                let (node, request) = (state.node, RequestId(state.request));
                self.deliver_event(node, Event::ConnectionUnresponsive(request));
            }
        }
        self.queue.schedule(
            self.now + SECOND,
            SimulationEvent::UnresponsiveDetected(server, incarnation),
        );
    }
}
