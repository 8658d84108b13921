//! What goes wrong, and when it is over. Troubles may overlap; each strikes machines drawn from the seed.

use super::{Phase, World};
use crate::population::stream;
use crate::queue::{as_seconds, seconds, Change, Happening, Moment};
use crate::scenario::{Trouble, TroubleKind};
use crate::transcriber::State;
use lupincrank_placement::Outcome;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::Exp1;

impl World<'_> {
    /// The transcribers that a trouble strikes: a share of those that ran at the start of the world, in an order drawn
    /// from the seed, so that every policy meets the same ones.
    fn struck(&self, trouble: u32, part: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.scenario.fleet.transcribers).collect();
        all.shuffle(&mut stream(self.seed, 7, u64::from(trouble)));
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all
    }

    /// A trouble begins, or takes its next step.
    pub(super) fn trouble(&mut self, number: u32, step: u32) {
        let trouble = self.scenario.trouble[number as usize].clone();
        let ends = self.now + seconds(trouble.for_s);
        if step == 0 {
            self.queue.put(ends, Happening::Over(number));
        }
        match trouble.kind {
            TroubleKind::Silent => self.begin_silent(number, &trouble),
            TroubleKind::ZoneLost => self.begin_zone_lost(number, &trouble),
            TroubleKind::Slow => self.begin_slow(number, &trouble),
            TroubleKind::Deploy => self.continue_deploy(number, step, &trouble),
            TroubleKind::Shrink => self.continue_shrink(number, step, &trouble),
            TroubleKind::NodeDown => self.begin_node_down(number, &trouble, ends),
            TroubleKind::DiscoveryDown => self.directory_down(true),
            TroubleKind::DiscoveryStale => self.directory_stale(true),
            TroubleKind::Reset => self.continue_reset(number, &trouble),
            TroubleKind::Surge => self.surge[number as usize] = trouble.size,
        }
    }

    /// Machines stop to answer; discovery and the nodes notice later.
    fn begin_silent(&mut self, number: u32, trouble: &Trouble) {
        let notice = seconds(self.scenario.discovery.silent_notice_s);
        for at in self.struck(number, trouble.part) {
            if !self.fleet[at as usize].answers() {
                continue;
            }
            self.advance(at);
            let server = &mut self.fleet[at as usize];
            (server.state, server.silent_since) = (State::Silent, self.now);
            let life = server.life;
            self.queue
                .put(self.now + notice, Happening::Known(at, life, Change::Gone));
            if self.scenario.nodes.silence_s > 0.0 {
                let sees = seconds(self.scenario.nodes.silence_s + 0.5);
                self.queue
                    .put(self.now + sees, Happening::Silence(at, life));
            }
        }
    }

    /// The processes of a zone end in the same moment.
    fn begin_zone_lost(&mut self, number: u32, trouble: &Trouble) {
        let lost = self.of_a_zone(number, trouble.part);
        for at in &lost {
            self.go_down(*at);
            let life = self.fleet[*at as usize].life;
            let notice = seconds(self.scenario.discovery.notice_s);
            self.queue
                .put(self.now + notice, Happening::Known(*at, life, Change::Gone));
        }
        self.lost.insert(number, lost);
    }

    /// Transcribers run slower by the size.
    fn begin_slow(&mut self, number: u32, trouble: &Trouble) {
        for at in self.struck(number, trouble.part) {
            self.advance(at);
            self.fleet[at as usize].slow *= trouble.size;
        }
    }

    /// Replaces the next batch; the batches are spread evenly over the length, the last one starts before its end.
    fn continue_deploy(&mut self, number: u32, step: u32, trouble: &Trouble) {
        let all = self.struck(number, trouble.part);
        let batch =
            ((trouble.size * f64::from(self.scenario.fleet.transcribers)).round() as usize).max(1);
        let steps = all.len().div_ceil(batch);
        let drain = seconds(trouble.drain_s);
        for at in all.iter().skip(step as usize * batch).take(batch) {
            self.drain(*at, drain);
            self.queue.put(self.now + drain, Happening::Succeeds(*at));
        }
        if (step as usize) + 1 < steps {
            let gap = seconds(trouble.for_s) / steps as u64;
            self.queue
                .put(self.now + gap, Happening::Trouble(number, step + 1));
        }
    }

    /// Drains one more transcriber and lowers the arrivals likewise.
    fn continue_shrink(&mut self, number: u32, step: u32, trouble: &Trouble) {
        let all = self.struck(number, 1.0 - 1.0 / trouble.size);
        let (done, steps) = (step as usize, all.len());
        self.surge[number as usize] =
            1.0 / (1.0 + (trouble.size - 1.0) * (done + 1) as f64 / steps as f64);
        if let Some(at) = all.get(done) {
            self.drain(*at, seconds(trouble.drain_s));
        }
        if done == 0 {
            self.clients_leave(
                trouble.leave * (1.0 - 1.0 / trouble.size),
                seconds(trouble.for_s),
            );
        }
        if done + 1 < steps {
            let gap = seconds(trouble.for_s) / steps as u64;
            self.queue
                .put(self.now + gap, Happening::Trouble(number, step + 1));
        }
    }

    /// Nodes die until the end of the fault.
    fn begin_node_down(&mut self, number: u32, trouble: &Trouble, ends: Moment) {
        for node in self.struck_nodes(number, trouble.part) {
            if self.nodes[node as usize].alive {
                self.kill_node(node);
                self.queue.put(ends, Happening::Starts(node));
            }
        }
    }

    /// Resets one connection and schedules the next reset while the fault lasts.
    fn continue_reset(&mut self, number: u32, trouble: &Trouble) {
        self.break_one();
        let gap = self.chance.sample::<f64, _>(Exp1) / trouble.size;
        let begun = seconds(trouble.at_s);
        if as_seconds(self.now - begun) + gap < trouble.for_s {
            self.queue.put(
                self.now + seconds(gap).max(1),
                Happening::Trouble(number, 1),
            );
        }
    }

    /// Traffic falls: this share of the clients leaves, evenly over a span.
    fn clients_leave(&mut self, share: f64, span: Moment) {
        for at in 0..self.clients.len() as u32 {
            let leaves = self.chance.gen::<f64>() < share;
            let when = self.now + self.chance.gen_range(0..=span);
            let client = &mut self.clients[at as usize];
            if leaves && client.until > when {
                self.measure.wants_less(client.class, when, client.until);
                client.until = when;
                self.queue.put(when, Happening::Leaves(at, client.life));
            }
        }
    }

    fn struck_nodes(&self, trouble: u32, part: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.nodes.len() as u32).collect();
        all.shuffle(&mut stream(self.seed, 8, u64::from(trouble)));
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all
    }

    /// The successor of a transcriber that a deploy replaced: a new machine, cold.
    pub(super) fn succeed(&mut self, replaced: u32) {
        let (zone, kind) = (
            self.fleet[replaced as usize].zone,
            self.fleet[replaced as usize].kind,
        );
        let at = self.add_transcriber(zone, kind, Some(self.now));
        let life = self.fleet[at as usize].life;
        let notice = seconds(self.scenario.discovery.add_s);
        self.queue
            .put(self.now + notice, Happening::Known(at, life, Change::Runs));
    }

    /// Those that run in the zone that a trouble strikes, or a share of them, drawn from the seed.
    fn of_a_zone(&self, trouble: u32, part: f64) -> Vec<u32> {
        let mut draw = stream(self.seed, 10, u64::from(trouble));
        let zone = draw.gen_range(0..self.scenario.net.zones);
        let runs = |at: &u32| {
            let server = &self.fleet[*at as usize];
            server.zone == zone && server.answers()
        };
        let mut all: Vec<u32> = (0..self.fleet.len() as u32).filter(runs).collect();
        all.shuffle(&mut draw);
        all.truncate((all.len() as f64 * part).round() as usize);
        all
    }

    /// A transcriber that was down starts again, cold.
    fn comes_back(&mut self, at: u32) {
        let now = self.now;
        self.fleet[at as usize].restart(now);
        self.next_pause(at);
        let life = self.fleet[at as usize].life;
        let notice = seconds(self.scenario.discovery.add_s);
        self.queue
            .put(now + notice, Happening::Known(at, life, Change::Runs));
    }

    /// A trouble is over.
    pub(super) fn over(&mut self, number: u32) {
        let trouble = self.scenario.trouble[number as usize].clone();
        match trouble.kind {
            TroubleKind::Silent => {
                for at in self.struck(number, trouble.part) {
                    if self.fleet[at as usize].state != State::Silent {
                        continue;
                    }
                    self.go_down(at);
                    self.comes_back(at);
                }
            }
            TroubleKind::ZoneLost => {
                for at in self.lost.remove(&number).unwrap_or_default() {
                    self.comes_back(at);
                }
            }
            TroubleKind::Slow => {
                for at in self.struck(number, trouble.part) {
                    self.advance(at);
                    self.fleet[at as usize].slow /= trouble.size;
                }
            }
            TroubleKind::DiscoveryDown => self.directory_down(false),
            TroubleKind::DiscoveryStale => self.directory_stale(false),
            TroubleKind::Surge => self.surge[number as usize] = 1.0,
            // A shrunk fleet stays small; the others end by themselves.
            TroubleKind::Shrink
            | TroubleKind::Deploy
            | TroubleKind::NodeDown
            | TroubleKind::Reset => {}
        }
    }

    /// A single standing connection breaks, by the network's doing.
    fn break_one(&mut self) {
        let standing: usize = self.fleet.iter().map(|server| server.standing.len()).sum();
        if standing == 0 {
            return;
        }
        let mut at = self.chance.gen_range(0..standing);
        for server in &self.fleet {
            if let Some(client) = server.standing.get(at).copied() {
                if self.clients[client as usize].phase == Phase::Stands {
                    self.measure.cut += 1;
                    self.end_standing(client, Outcome::Reset);
                    self.broken(client, false);
                }
                return;
            }
            at -= server.standing.len();
        }
    }
}
