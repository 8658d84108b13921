//! Faults, their steps and their ends. Faults may overlap; each affects servers or nodes drawn from the seed.

use super::{Phase, World};
use crate::event_queue::{as_seconds, seconds, ServerChange, SimTime, SimulationEvent};
use crate::population::stream;
use crate::scenario::{Fault, FaultKind};
use crate::server_model::ServerState;
use lupincrank_placement::Outcome;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::Exp1;

impl World<'_> {
    /// Returns the servers that a fault affects: a fraction of the initial fleet, in an order drawn from the seed, so
    /// that the same servers are affected under every policy.
    fn affected_servers(&self, fault: u32, ratio: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.scenario.fleet.transcribers).collect();
        all.shuffle(&mut stream(self.seed, 7, u64::from(fault)));
        all.truncate(((all.len() as f64 * ratio).round() as usize).max(1));
        all
    }

    /// Starts a fault, or its next step.
    pub(super) fn start_fault_step(&mut self, fault_index: u32, step: u32) {
        let fault = self.scenario.faults[fault_index as usize].clone();
        let ends_at = self.now + seconds(fault.for_s);
        if step == 0 {
            self.queue
                .schedule(ends_at, SimulationEvent::FaultEnds(fault_index));
        }
        match fault.kind {
            FaultKind::Silent => self.begin_unresponsive(fault_index, &fault),
            FaultKind::ZoneLost => self.begin_zone_lost(fault_index, &fault),
            FaultKind::Slow => self.begin_slow(fault_index, &fault),
            FaultKind::Deploy => self.continue_deploy(fault_index, step, &fault),
            FaultKind::Shrink => self.continue_shrink(fault_index, step, &fault),
            FaultKind::NodeDown => self.begin_node_down(fault_index, &fault, ends_at),
            FaultKind::DiscoveryDown => self.set_discovery_down(true),
            FaultKind::DiscoveryStale => self.set_discovery_stale(true),
            FaultKind::Reset => self.continue_reset(fault_index, &fault),
            FaultKind::Surge => self.arrival_factors[fault_index as usize] = fault.size,
        }
    }

    /// Makes servers unresponsive; discovery and the nodes detect it later.
    fn begin_unresponsive(&mut self, fault_index: u32, fault: &Fault) {
        let delay = seconds(self.scenario.discovery.silent_notice_s);
        for index in self.affected_servers(fault_index, fault.part) {
            if !self.fleet[index as usize].is_serving() {
                continue;
            }
            self.advance(index);
            let server = &mut self.fleet[index as usize];
            server.state = ServerState::Unresponsive;
            server.unresponsive_since = self.now;
            let incarnation = server.incarnation;
            self.queue.schedule(
                self.now + delay,
                SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Removed),
            );
            if self.scenario.nodes.silence_s > 0.0 {
                let detection = seconds(self.scenario.nodes.silence_s + 0.5);
                self.queue.schedule(
                    self.now + detection,
                    SimulationEvent::UnresponsiveDetected(index, incarnation),
                );
            }
        }
    }

    /// Terminates the processes of a zone at the same time.
    fn begin_zone_lost(&mut self, fault_index: u32, fault: &Fault) {
        let terminated = self.affected_in_zone(fault_index, fault.part);
        for index in &terminated {
            self.terminate_server(*index);
            let incarnation = self.fleet[*index as usize].incarnation;
            let delay = seconds(self.scenario.discovery.notice_s);
            self.queue.schedule(
                self.now + delay,
                SimulationEvent::DiscoveryUpdated(*index, incarnation, ServerChange::Removed),
            );
        }
        self.terminated_servers.insert(fault_index, terminated);
    }

    /// Slows servers down by the fault's size.
    fn begin_slow(&mut self, fault_index: u32, fault: &Fault) {
        for index in self.affected_servers(fault_index, fault.part) {
            self.advance(index);
            self.fleet[index as usize].slowdown *= fault.size;
        }
    }

    /// Replaces the next batch. The batches are spread evenly over the fault's duration, and the last one starts
    /// before its end.
    fn continue_deploy(&mut self, fault_index: u32, step: u32, fault: &Fault) {
        let all = self.affected_servers(fault_index, fault.part);
        let batch =
            ((fault.size * f64::from(self.scenario.fleet.transcribers)).round() as usize).max(1);
        let steps = all.len().div_ceil(batch);
        let drain = seconds(fault.drain_s);
        for index in all.iter().skip(step as usize * batch).take(batch) {
            self.start_drain(*index, drain);
            self.queue
                .schedule(self.now + drain, SimulationEvent::ServerReplaced(*index));
        }
        if (step as usize) + 1 < steps {
            let gap = seconds(fault.for_s) / steps as u64;
            self.queue.schedule(
                self.now + gap,
                SimulationEvent::FaultStep(fault_index, step + 1),
            );
        }
    }

    /// Drains one more server and lowers the arrival rate accordingly.
    fn continue_shrink(&mut self, fault_index: u32, step: u32, fault: &Fault) {
        let all = self.affected_servers(fault_index, 1.0 - 1.0 / fault.size);
        let (done, steps) = (step as usize, all.len());
        self.arrival_factors[fault_index as usize] =
            1.0 / (1.0 + (fault.size - 1.0) * (done + 1) as f64 / steps as f64);
        if let Some(index) = all.get(done) {
            self.start_drain(*index, seconds(fault.drain_s));
        }
        if done == 0 {
            self.schedule_departures(fault.leave * (1.0 - 1.0 / fault.size), seconds(fault.for_s));
        }
        if done + 1 < steps {
            let gap = seconds(fault.for_s) / steps as u64;
            self.queue.schedule(
                self.now + gap,
                SimulationEvent::FaultStep(fault_index, step + 1),
            );
        }
    }

    /// Terminates nodes until the end of the fault.
    fn begin_node_down(&mut self, fault_index: u32, fault: &Fault, ends_at: SimTime) {
        for node in self.affected_nodes(fault_index, fault.part) {
            if self.nodes[node as usize].is_running {
                self.kill_node(node);
                self.queue
                    .schedule(ends_at, SimulationEvent::NodeStarts(node));
            }
        }
    }

    /// Resets one connection and schedules the next reset while the fault lasts.
    fn continue_reset(&mut self, fault_index: u32, fault: &Fault) {
        self.reset_one_connection();
        let gap = self.rng.sample::<f64, _>(Exp1) / fault.size;
        let started_at = seconds(fault.at_s);
        if as_seconds(self.now - started_at) + gap < fault.for_s {
            self.queue.schedule(
                self.now + seconds(gap).max(1),
                SimulationEvent::FaultStep(fault_index, 1),
            );
        }
    }

    /// Makes a fraction of the clients leave, spread evenly over a duration, as traffic drops.
    fn schedule_departures(&mut self, ratio: f64, duration: SimTime) {
        for index in 0..self.clients.len() as u32 {
            let is_leaving = self.rng.gen::<f64>() < ratio;
            let leaves_at = self.now + self.rng.gen_range(0..=duration);
            let client = &mut self.clients[index as usize];
            if is_leaving && client.leaves_at > leaves_at {
                self.metrics
                    .withdraw_demand(client.class, leaves_at, client.leaves_at);
                client.leaves_at = leaves_at;
                self.queue.schedule(
                    leaves_at,
                    SimulationEvent::ClientLeaves(index, client.incarnation),
                );
            }
        }
    }

    fn affected_nodes(&self, fault: u32, ratio: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.nodes.len() as u32).collect();
        all.shuffle(&mut stream(self.seed, 8, u64::from(fault)));
        all.truncate(((all.len() as f64 * ratio).round() as usize).max(1));
        all
    }

    /// Adds the successor of a server that a deployment replaced: a new machine, warming up.
    pub(super) fn replace_server(&mut self, replaced: u32) {
        let (zone, kind_index) = (
            self.fleet[replaced as usize].zone,
            self.fleet[replaced as usize].kind_index,
        );
        let index = self.add_server(zone, kind_index, Some(self.now));
        let incarnation = self.fleet[index as usize].incarnation;
        let delay = seconds(self.scenario.discovery.add_s);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Started),
        );
    }

    /// Returns the running servers of the affected zone, or a fraction of them; zone and servers are drawn from the
    /// seed.
    fn affected_in_zone(&self, fault: u32, ratio: f64) -> Vec<u32> {
        let mut rng = stream(self.seed, 10, u64::from(fault));
        let zone = rng.gen_range(0..self.scenario.net.zones);
        let is_affected = |index: &u32| {
            let server = &self.fleet[*index as usize];
            server.zone == zone && server.is_serving()
        };
        let mut all: Vec<u32> = (0..self.fleet.len() as u32).filter(is_affected).collect();
        all.shuffle(&mut rng);
        all.truncate((all.len() as f64 * ratio).round() as usize);
        all
    }

    /// Restarts a terminated server, which then warms up.
    fn restart_server(&mut self, index: u32) {
        let now = self.now;
        self.fleet[index as usize].restart(now);
        self.schedule_pause(index);
        let incarnation = self.fleet[index as usize].incarnation;
        let delay = seconds(self.scenario.discovery.add_s);
        self.queue.schedule(
            now + delay,
            SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Started),
        );
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault_index: u32) {
        let fault = self.scenario.faults[fault_index as usize].clone();
        match fault.kind {
            FaultKind::Silent => {
                for index in self.affected_servers(fault_index, fault.part) {
                    if self.fleet[index as usize].state != ServerState::Unresponsive {
                        continue;
                    }
                    self.terminate_server(index);
                    self.restart_server(index);
                }
            }
            FaultKind::ZoneLost => {
                for index in self
                    .terminated_servers
                    .remove(&fault_index)
                    .unwrap_or_default()
                {
                    self.restart_server(index);
                }
            }
            FaultKind::Slow => {
                for index in self.affected_servers(fault_index, fault.part) {
                    self.advance(index);
                    self.fleet[index as usize].slowdown /= fault.size;
                }
            }
            FaultKind::DiscoveryDown => self.set_discovery_down(false),
            FaultKind::DiscoveryStale => self.set_discovery_stale(false),
            FaultKind::Surge => self.arrival_factors[fault_index as usize] = 1.0,
            // A shrunk fleet stays small; the other faults end without an action here.
            FaultKind::Shrink | FaultKind::Deploy | FaultKind::NodeDown | FaultKind::Reset => {}
        }
    }

    /// Breaks one established connection, as if the network had reset it.
    fn reset_one_connection(&mut self) {
        let connections: usize = self.fleet.iter().map(|server| server.clients.len()).sum();
        if connections == 0 {
            return;
        }
        let mut index = self.rng.gen_range(0..connections);
        for server in &self.fleet {
            if let Some(client) = server.clients.get(index).copied() {
                if self.clients[client as usize].phase == Phase::Connected {
                    self.metrics.broken_connections += 1;
                    self.end_connection(client, Outcome::Reset);
                    self.connection_lost(client, false);
                }
                return;
            }
            index -= server.clients.len();
        }
    }
}
