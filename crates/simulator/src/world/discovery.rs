//! Discovery: one service that handles calls one after another, with a delay, and may be stale or down.

use super::World;
use crate::event_queue::{millis, seconds, Incarnation, ServerChange, SimulationEvent, SECOND};
use lupincrank_placement::{Event, Health};
use rand::Rng;

impl World<'_> {
    /// Delivers the endpoint list that a node starts with, as discovery has it, possibly stale.
    pub(super) fn deliver_cached_endpoints(&mut self, node: u32) {
        self.nodes[node as usize].notified_changes = self.discovery.change_log.len();
        let entries: Vec<_> = self
            .discovery
            .endpoints
            .iter()
            .filter(|entry| entry.health != Health::Removed)
            .cloned()
            .collect();
        for entry in &entries {
            self.record_notification(node, entry);
        }
        self.deliver_event(
            node,
            Event::EndpointList {
                entries,
                cached: true,
            },
        );
    }

    /// Records that a node was notified of an endpoint: from then on the checker's rules on draining and slow start
    /// apply to it.
    fn record_notification(&mut self, node: u32, entry: &lupincrank_placement::Endpoint) {
        let Some(server) = self.server_indices.get(&entry.server).copied() else {
            return;
        };
        let (now, incarnation) = (self.now, self.fleet[server as usize].incarnation);
        let node = &mut self.nodes[node as usize];
        let index = server as usize;
        if node.leaving_since.len() <= index {
            node.leaving_since.resize(index + 1, None);
            node.known_starts.resize(index + 1, 0);
        }
        let is_leaving = entry.health != Health::Ready;
        node.leaving_since[index] = if is_leaving {
            node.leaving_since[index].or(Some(now))
        } else {
            None
        };
        if !is_leaving && entry.started_at.is_some() {
            node.known_starts[index] = incarnation;
        }
    }

    /// Handles a node's call for endpoint changes.
    pub(super) fn watch_endpoints(&mut self, node: u32) {
        let incarnation = self.nodes[node as usize].incarnation;
        let timeout = seconds(self.scenario.discovery.timeout_s);
        if self.discovery.is_down {
            let ends_at = self.now + seconds(0.05);
            return self.queue.schedule(
                ends_at,
                SimulationEvent::WatchCallEnded(node, incarnation, false),
            );
        }
        let duration = seconds(1.0 / self.scenario.discovery.capacity);
        let starts_at = self.discovery.busy_until.max(self.now);
        if starts_at - self.now > timeout {
            return self.queue.schedule(
                self.now + timeout,
                SimulationEvent::WatchCallEnded(node, incarnation, false),
            );
        }
        self.discovery.busy_until = starts_at + duration;
        self.queue.schedule(
            starts_at + duration,
            SimulationEvent::WatchCallEnded(node, incarnation, true),
        );
    }

    /// Ends a node's call to discovery.
    pub(super) fn watch_call_ended(
        &mut self,
        node: u32,
        incarnation: Incarnation,
        is_answered: bool,
    ) {
        let state = &self.nodes[node as usize];
        if !state.is_running || state.incarnation != incarnation {
            return;
        }
        if !is_answered || self.discovery.is_down {
            return self.deliver_event(node, Event::EndpointWatchFailed);
        }
        self.nodes[node as usize].is_watching = true;
        self.notify_node(node, incarnation);
    }

    /// Notifies a node of the changes since its last notification.
    pub(super) fn notify_node(&mut self, node: u32, incarnation: Incarnation) {
        let state = &self.nodes[node as usize];
        if !state.is_running
            || state.incarnation != incarnation
            || !state.is_watching
            || state.notified_changes >= self.discovery.change_log.len()
        {
            return;
        }
        let entries = self.discovery.change_log[state.notified_changes..].to_vec();
        self.nodes[node as usize].notified_changes = self.discovery.change_log.len();
        for entry in &entries {
            self.record_notification(node, entry);
        }
        self.deliver_event(node, Event::EndpointChange(entries));
    }

    /// Applies a change to the endpoint list and notifies the nodes that watch it.
    pub(super) fn update_discovery(
        &mut self,
        server: u32,
        incarnation: Incarnation,
        change: ServerChange,
    ) {
        if self.discovery.is_stale {
            return self
                .discovery
                .deferred_changes
                .push((server, incarnation, change));
        }
        let health = match change {
            ServerChange::Started => Health::Ready,
            ServerChange::Draining => Health::Draining,
            ServerChange::Removed => Health::Removed,
        };
        // Termination and restart each increment the incarnation. A removal that was scheduled before the termination
        // is dropped if the server has restarted since; any other change is dropped if the server has terminated since.
        let current = self.fleet[server as usize].incarnation;
        if change != ServerChange::Removed && current != incarnation {
            return;
        }
        if change == ServerChange::Removed && current > incarnation + 1 {
            return;
        }
        let entry = self.endpoint(server, health);
        match self
            .discovery
            .endpoints
            .iter_mut()
            .find(|known| known.server == entry.server)
        {
            Some(known) => *known = entry.clone(),
            None => self.discovery.endpoints.push(entry.clone()),
        }
        self.discovery.change_log.push(entry);
        let spread = millis(self.scenario.discovery.spread_ms);
        for node in 0..self.nodes.len() as u32 {
            let incarnation = self.nodes[node as usize].incarnation;
            let after = self.rng.gen_range(0..=spread.max(1));
            self.queue.schedule(
                self.now + after,
                SimulationEvent::NodeNotified(node, incarnation),
            );
        }
    }

    /// Sets whether discovery is down: watches end when it goes down, and calls fail until it is up again.
    pub(super) fn set_discovery_down(&mut self, is_down: bool) {
        self.discovery.is_down = is_down;
        for node in 0..self.nodes.len() as u32 {
            let state = &mut self.nodes[node as usize];
            if is_down && state.is_running && std::mem::take(&mut state.is_watching) {
                self.deliver_event(node, Event::EndpointWatchFailed);
            }
        }
    }

    /// Sets whether discovery is stale: changes are deferred until it recovers.
    pub(super) fn set_discovery_stale(&mut self, is_stale: bool) {
        self.discovery.is_stale = is_stale;
        let missed = std::mem::take(&mut self.discovery.deferred_changes);
        for (server, incarnation, change) in missed {
            if !is_stale {
                self.queue.schedule(
                    self.now + SECOND / 100,
                    SimulationEvent::DiscoveryUpdated(server, incarnation, change),
                );
            }
        }
    }
}
