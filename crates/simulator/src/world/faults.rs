//! Faults: their steps and their ends. Faults may overlap; each affects machines drawn from the seed.

use super::{Phase, World};
use crate::event_queue::{as_seconds, seconds, Change, Moment, SimulationEvent};
use crate::population::stream;
use crate::scenario::{Fault, FaultKind};
use crate::server_model::ServerState;
use lupincrank_placement::Outcome;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::Exp1;

impl World<'_> {
    /// The transcribers that a fault strikes: a share of those that ran at the start of the world, in an order drawn
    /// from the seed, so that every policy meets the same ones.
    fn affected_servers(&self, fault: u32, part: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.scenario.fleet.transcribers).collect();
        all.shuffle(&mut stream(self.seed, 7, u64::from(fault)));
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all
    }

    /// A fault begins, or takes its next step.
    pub(super) fn start_fault_step(&mut self, number: u32, step: u32) {
        let fault = self.scenario.faults[number as usize].clone();
        let ends = self.now + seconds(fault.for_s);
        if step == 0 {
            self.queue
                .schedule(ends, SimulationEvent::FaultEnds(number));
        }
        match fault.kind {
            FaultKind::Silent => self.begin_silent(number, &fault),
            FaultKind::ZoneLost => self.begin_zone_lost(number, &fault),
            FaultKind::Slow => self.begin_slow(number, &fault),
            FaultKind::Deploy => self.continue_deploy(number, step, &fault),
            FaultKind::Shrink => self.continue_shrink(number, step, &fault),
            FaultKind::NodeDown => self.begin_node_down(number, &fault, ends),
            FaultKind::DiscoveryDown => self.set_discovery_down(true),
            FaultKind::DiscoveryStale => self.set_discovery_stale(true),
            FaultKind::Reset => self.continue_reset(number, &fault),
            FaultKind::Surge => self.arrival_factors[number as usize] = fault.size,
        }
    }

    /// Machines stop to answer; discovery and the nodes notice later.
    fn begin_silent(&mut self, number: u32, fault: &Fault) {
        let notice = seconds(self.scenario.discovery.silent_notice_s);
        for at in self.affected_servers(number, fault.part) {
            if !self.fleet[at as usize].answers() {
                continue;
            }
            self.advance(at);
            let server = &mut self.fleet[at as usize];
            server.state = ServerState::Silent;
            server.silent_since = self.now;
            let incarnation = server.incarnation;
            self.queue.schedule(
                self.now + notice,
                SimulationEvent::DiscoveryLearns(at, incarnation, Change::Gone),
            );
            if self.scenario.nodes.silence_s > 0.0 {
                let sees = seconds(self.scenario.nodes.silence_s + 0.5);
                self.queue.schedule(
                    self.now + sees,
                    SimulationEvent::SilenceNoticed(at, incarnation),
                );
            }
        }
    }

    /// The processes of a zone end in the same moment.
    fn begin_zone_lost(&mut self, number: u32, fault: &Fault) {
        let lost = self.affected_in_zone(number, fault.part);
        for at in &lost {
            self.terminate_server(*at);
            let incarnation = self.fleet[*at as usize].incarnation;
            let notice = seconds(self.scenario.discovery.notice_s);
            self.queue.schedule(
                self.now + notice,
                SimulationEvent::DiscoveryLearns(*at, incarnation, Change::Gone),
            );
        }
        self.lost_servers.insert(number, lost);
    }

    /// Transcribers run slower by the size.
    fn begin_slow(&mut self, number: u32, fault: &Fault) {
        for at in self.affected_servers(number, fault.part) {
            self.advance(at);
            self.fleet[at as usize].slow *= fault.size;
        }
    }

    /// Replaces the next batch; the batches are spread evenly over the length, the last one starts before its end.
    fn continue_deploy(&mut self, number: u32, step: u32, fault: &Fault) {
        let all = self.affected_servers(number, fault.part);
        let batch =
            ((fault.size * f64::from(self.scenario.fleet.transcribers)).round() as usize).max(1);
        let steps = all.len().div_ceil(batch);
        let drain = seconds(fault.drain_s);
        for at in all.iter().skip(step as usize * batch).take(batch) {
            self.drain(*at, drain);
            self.queue
                .schedule(self.now + drain, SimulationEvent::ServerReplaced(*at));
        }
        if (step as usize) + 1 < steps {
            let gap = seconds(fault.for_s) / steps as u64;
            self.queue
                .schedule(self.now + gap, SimulationEvent::FaultStep(number, step + 1));
        }
    }

    /// Drains one more transcriber and lowers the arrivals likewise.
    fn continue_shrink(&mut self, number: u32, step: u32, fault: &Fault) {
        let all = self.affected_servers(number, 1.0 - 1.0 / fault.size);
        let (done, steps) = (step as usize, all.len());
        self.arrival_factors[number as usize] =
            1.0 / (1.0 + (fault.size - 1.0) * (done + 1) as f64 / steps as f64);
        if let Some(at) = all.get(done) {
            self.drain(*at, seconds(fault.drain_s));
        }
        if done == 0 {
            self.schedule_departures(fault.leave * (1.0 - 1.0 / fault.size), seconds(fault.for_s));
        }
        if done + 1 < steps {
            let gap = seconds(fault.for_s) / steps as u64;
            self.queue
                .schedule(self.now + gap, SimulationEvent::FaultStep(number, step + 1));
        }
    }

    /// Nodes die until the end of the fault.
    fn begin_node_down(&mut self, number: u32, fault: &Fault, ends: Moment) {
        for node in self.affected_nodes(number, fault.part) {
            if self.nodes[node as usize].alive {
                self.kill_node(node);
                self.queue.schedule(ends, SimulationEvent::NodeStarts(node));
            }
        }
    }

    /// Resets one connection and schedules the next reset while the fault lasts.
    fn continue_reset(&mut self, number: u32, fault: &Fault) {
        self.reset_one_connection();
        let gap = self.chance.sample::<f64, _>(Exp1) / fault.size;
        let begun = seconds(fault.at_s);
        if as_seconds(self.now - begun) + gap < fault.for_s {
            self.queue.schedule(
                self.now + seconds(gap).max(1),
                SimulationEvent::FaultStep(number, 1),
            );
        }
    }

    /// Traffic falls: this share of the clients leaves, evenly over a span.
    fn schedule_departures(&mut self, share: f64, span: Moment) {
        for at in 0..self.clients.len() as u32 {
            let leaves = self.chance.gen::<f64>() < share;
            let when = self.now + self.chance.gen_range(0..=span);
            let client = &mut self.clients[at as usize];
            if leaves && client.until > when {
                self.metrics
                    .withdraw_demand(client.class, when, client.until);
                client.until = when;
                self.queue
                    .schedule(when, SimulationEvent::ClientLeaves(at, client.incarnation));
            }
        }
    }

    fn affected_nodes(&self, fault: u32, part: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.nodes.len() as u32).collect();
        all.shuffle(&mut stream(self.seed, 8, u64::from(fault)));
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all
    }

    /// The successor of a transcriber that a deploy replaced: a new machine, cold.
    pub(super) fn replace_server(&mut self, replaced: u32) {
        let (zone, kind) = (
            self.fleet[replaced as usize].zone,
            self.fleet[replaced as usize].kind,
        );
        let at = self.add_transcriber(zone, kind, Some(self.now));
        let incarnation = self.fleet[at as usize].incarnation;
        let notice = seconds(self.scenario.discovery.add_s);
        self.queue.schedule(
            self.now + notice,
            SimulationEvent::DiscoveryLearns(at, incarnation, Change::Runs),
        );
    }

    /// Those that run in the zone that a fault strikes, or a share of them, drawn from the seed.
    fn affected_in_zone(&self, fault: u32, part: f64) -> Vec<u32> {
        let mut draw = stream(self.seed, 10, u64::from(fault));
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
    fn restart_server(&mut self, at: u32) {
        let now = self.now;
        self.fleet[at as usize].restart(now);
        self.schedule_pause(at);
        let incarnation = self.fleet[at as usize].incarnation;
        let notice = seconds(self.scenario.discovery.add_s);
        self.queue.schedule(
            now + notice,
            SimulationEvent::DiscoveryLearns(at, incarnation, Change::Runs),
        );
    }

    /// A fault is over.
    pub(super) fn end_fault(&mut self, number: u32) {
        let fault = self.scenario.faults[number as usize].clone();
        match fault.kind {
            FaultKind::Silent => {
                for at in self.affected_servers(number, fault.part) {
                    if self.fleet[at as usize].state != ServerState::Silent {
                        continue;
                    }
                    self.terminate_server(at);
                    self.restart_server(at);
                }
            }
            FaultKind::ZoneLost => {
                for at in self.lost_servers.remove(&number).unwrap_or_default() {
                    self.restart_server(at);
                }
            }
            FaultKind::Slow => {
                for at in self.affected_servers(number, fault.part) {
                    self.advance(at);
                    self.fleet[at as usize].slow /= fault.size;
                }
            }
            FaultKind::DiscoveryDown => self.set_discovery_down(false),
            FaultKind::DiscoveryStale => self.set_discovery_stale(false),
            FaultKind::Surge => self.arrival_factors[number as usize] = 1.0,
            // A shrunk fleet stays small; the others end by themselves.
            FaultKind::Shrink | FaultKind::Deploy | FaultKind::NodeDown | FaultKind::Reset => {}
        }
    }

    /// A single standing connection breaks, by the network's doing.
    fn reset_one_connection(&mut self) {
        let standing: usize = self.fleet.iter().map(|server| server.standing.len()).sum();
        if standing == 0 {
            return;
        }
        let mut at = self.chance.gen_range(0..standing);
        for server in &self.fleet {
            if let Some(client) = server.standing.get(at).copied() {
                if self.clients[client as usize].phase == Phase::Connected {
                    self.metrics.cut += 1;
                    self.end_standing(client, Outcome::Reset);
                    self.connection_lost(client, false);
                }
                return;
            }
            at -= server.standing.len();
        }
    }
}
