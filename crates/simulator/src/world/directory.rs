//! Discovery: one service that handles calls one after another, late, and sometimes not at all.

use super::World;
use crate::queue::{millis, seconds, Change, Happening, Life, SECOND};
use lupincrank_placement::{Event, Health};
use rand::Rng;

impl World<'_> {
    /// What a node starts with: the list as it is known, perhaps an old one.
    pub(super) fn give_cached_list(&mut self, node: u32) {
        self.nodes[node as usize].heard = self.directory.log.len();
        let entries: Vec<_> = self
            .directory
            .known
            .iter()
            .filter(|entry| entry.health != Health::Removed)
            .cloned()
            .collect();
        for entry in &entries {
            self.note_told(node, entry);
        }
        self.feed(
            node,
            Event::EndpointList {
                entries,
                cached: true,
            },
        );
    }

    /// A node is told of an entry: from here on the rules on drains and cold starts bind it.
    fn note_told(&mut self, node: u32, entry: &lupincrank_placement::Endpoint) {
        let Some(server) = self.index.get(&entry.server).copied() else {
            return;
        };
        let (now, life) = (self.now, self.fleet[server as usize].life);
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
            node.knows_start[place] = life;
        }
    }

    /// A node asks for changes from now on.
    pub(super) fn call_directory(&mut self, node: u32) {
        let life = self.nodes[node as usize].life;
        let timeout = seconds(self.scenario.discovery.timeout_s);
        if self.directory.down {
            let after = self.now + seconds(0.05);
            return self.queue.put(after, Happening::Called(node, life, false));
        }
        let takes = seconds(1.0 / self.scenario.discovery.capacity);
        let begins = self.directory.busy_until.max(self.now);
        if begins - self.now > timeout {
            return self
                .queue
                .put(self.now + timeout, Happening::Called(node, life, false));
        }
        self.directory.busy_until = begins + takes;
        self.queue
            .put(begins + takes, Happening::Called(node, life, true));
    }

    /// A call ends.
    pub(super) fn called(&mut self, node: u32, life: Life, answered: bool) {
        let at = &self.nodes[node as usize];
        if !at.alive || at.life != life {
            return;
        }
        if !answered || self.directory.down {
            return self.feed(node, Event::EndpointWatchFailed);
        }
        self.nodes[node as usize].watches = true;
        self.told(node, life);
    }

    /// A node is told what changed since it last heard.
    pub(super) fn told(&mut self, node: u32, life: Life) {
        let at = &self.nodes[node as usize];
        if !at.alive || at.life != life || !at.watches || at.heard >= self.directory.log.len() {
            return;
        }
        let entries = self.directory.log[at.heard..].to_vec();
        self.nodes[node as usize].heard = self.directory.log.len();
        for entry in &entries {
            self.note_told(node, entry);
        }
        self.feed(node, Event::EndpointChange(entries));
    }

    /// Discovery learns of a change, and tells the nodes that watch.
    pub(super) fn learns(&mut self, server: u32, life: Life, change: Change) {
        if self.directory.stale {
            return self.directory.held_back.push((server, life, change));
        }
        let health = match change {
            Change::Runs => Health::Ready,
            Change::Drains => Health::Draining,
            Change::Gone => Health::Removed,
        };
        // What is overtaken by a later start is not told any more.
        let now_on = self.fleet[server as usize].life;
        if change != Change::Gone && now_on != life {
            return;
        }
        if change == Change::Gone && now_on > life + 1 {
            return;
        }
        let entry = self.entry(server, health);
        match self
            .directory
            .known
            .iter_mut()
            .find(|known| known.server == entry.server)
        {
            Some(known) => *known = entry.clone(),
            None => self.directory.known.push(entry.clone()),
        }
        self.directory.log.push(entry);
        let spread = millis(self.scenario.discovery.spread_ms);
        for node in 0..self.nodes.len() as u32 {
            let life = self.nodes[node as usize].life;
            let after = self.chance.gen_range(0..=spread.max(1));
            self.queue
                .put(self.now + after, Happening::Told(node, life));
        }
    }

    /// Discovery goes down: watches end, and calls fail until it is back.
    pub(super) fn directory_down(&mut self, down: bool) {
        self.directory.down = down;
        for node in 0..self.nodes.len() as u32 {
            let at = &mut self.nodes[node as usize];
            if down && at.alive && std::mem::take(&mut at.watches) {
                self.feed(node, Event::EndpointWatchFailed);
            }
        }
    }

    /// Discovery stops to learn, or tells all that it missed.
    pub(super) fn directory_stale(&mut self, stale: bool) {
        self.directory.stale = stale;
        let missed = std::mem::take(&mut self.directory.held_back);
        for (server, life, change) in missed {
            if !stale {
                self.queue.put(
                    self.now + SECOND / 100,
                    Happening::Known(server, life, change),
                );
            }
        }
    }
}
