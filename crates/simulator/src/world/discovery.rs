//! Discovery: one service that handles calls one after another, late, and sometimes not at all.

use super::World;
use crate::event_queue::{millis, seconds, Change, Incarnation, SimulationEvent, SECOND};
use lupincrank_placement::{Event, Health};
use rand::Rng;

impl World<'_> {
    /// What a node starts with: the list as it is known, perhaps an old one.
    pub(super) fn deliver_cached_endpoints(&mut self, node: u32) {
        self.nodes[node as usize].heard = self.discovery.log.len();
        let entries: Vec<_> = self
            .discovery
            .known
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

    /// Records that a node knows of an endpoint: from here on the rules on drains and slow starts bind it.
    fn record_notification(&mut self, node: u32, entry: &lupincrank_placement::Endpoint) {
        let Some(server) = self.index.get(&entry.server).copied() else {
            return;
        };
        let (now, incarnation) = (self.now, self.fleet[server as usize].incarnation);
        let node = &mut self.nodes[node as usize];
        let place = server as usize;
        if node.leaving.len() <= place {
            node.leaving.resize(place + 1, None);
            node.knows_start.resize(place + 1, 0);
        }
        let leaves = entry.health != Health::Ready;
        node.leaving[place] = if leaves {
            node.leaving[place].or(Some(now))
        } else {
            None
        };
        if !leaves && entry.started_at.is_some() {
            node.knows_start[place] = incarnation;
        }
    }

    /// A node asks for changes from now on.
    pub(super) fn watch_endpoints(&mut self, node: u32) {
        let incarnation = self.nodes[node as usize].incarnation;
        let timeout = seconds(self.scenario.discovery.timeout_s);
        if self.discovery.down {
            let after = self.now + seconds(0.05);
            return self.queue.schedule(
                after,
                SimulationEvent::WatchAnswered(node, incarnation, false),
            );
        }
        let takes = seconds(1.0 / self.scenario.discovery.capacity);
        let begins = self.discovery.busy_until.max(self.now);
        if begins - self.now > timeout {
            return self.queue.schedule(
                self.now + timeout,
                SimulationEvent::WatchAnswered(node, incarnation, false),
            );
        }
        self.discovery.busy_until = begins + takes;
        self.queue.schedule(
            begins + takes,
            SimulationEvent::WatchAnswered(node, incarnation, true),
        );
    }

    /// A call ends.
    pub(super) fn watch_answered(&mut self, node: u32, incarnation: Incarnation, answered: bool) {
        let at = &self.nodes[node as usize];
        if !at.alive || at.incarnation != incarnation {
            return;
        }
        if !answered || self.discovery.down {
            return self.deliver_event(node, Event::EndpointWatchFailed);
        }
        self.nodes[node as usize].watches = true;
        self.notify_node(node, incarnation);
    }

    /// Notifies a node of what changed since its last notification.
    pub(super) fn notify_node(&mut self, node: u32, incarnation: Incarnation) {
        let at = &self.nodes[node as usize];
        if !at.alive
            || at.incarnation != incarnation
            || !at.watches
            || at.heard >= self.discovery.log.len()
        {
            return;
        }
        let entries = self.discovery.log[at.heard..].to_vec();
        self.nodes[node as usize].heard = self.discovery.log.len();
        for entry in &entries {
            self.record_notification(node, entry);
        }
        self.deliver_event(node, Event::EndpointChange(entries));
    }

    /// Discovery learns of a change, and notifies the nodes that watch.
    pub(super) fn discovery_learns(
        &mut self,
        server: u32,
        incarnation: Incarnation,
        change: Change,
    ) {
        if self.discovery.stale {
            return self.discovery.held_back.push((server, incarnation, change));
        }
        let health = match change {
            Change::Runs => Health::Ready,
            Change::Drains => Health::Draining,
            Change::Gone => Health::Removed,
        };
        // A change that a later start has overtaken is dropped.
        let now_on = self.fleet[server as usize].incarnation;
        if change != Change::Gone && now_on != incarnation {
            return;
        }
        if change == Change::Gone && now_on > incarnation + 1 {
            return;
        }
        let entry = self.endpoint(server, health);
        match self
            .discovery
            .known
            .iter_mut()
            .find(|known| known.server == entry.server)
        {
            Some(known) => *known = entry.clone(),
            None => self.discovery.known.push(entry.clone()),
        }
        self.discovery.log.push(entry);
        let spread = millis(self.scenario.discovery.spread_ms);
        for node in 0..self.nodes.len() as u32 {
            let incarnation = self.nodes[node as usize].incarnation;
            let after = self.chance.gen_range(0..=spread.max(1));
            self.queue.schedule(
                self.now + after,
                SimulationEvent::NodeNotified(node, incarnation),
            );
        }
    }

    /// Discovery goes down: watches end, and calls fail until it is back.
    pub(super) fn set_discovery_down(&mut self, down: bool) {
        self.discovery.down = down;
        for node in 0..self.nodes.len() as u32 {
            let at = &mut self.nodes[node as usize];
            if down && at.alive && std::mem::take(&mut at.watches) {
                self.deliver_event(node, Event::EndpointWatchFailed);
            }
        }
    }

    /// Discovery stops learning of changes, or learns of all that it missed.
    pub(super) fn set_discovery_stale(&mut self, stale: bool) {
        self.discovery.stale = stale;
        let missed = std::mem::take(&mut self.discovery.held_back);
        for (server, incarnation, change) in missed {
            if !stale {
                self.queue.schedule(
                    self.now + SECOND / 100,
                    SimulationEvent::DiscoveryLearns(server, incarnation, change),
                );
            }
        }
    }
}
