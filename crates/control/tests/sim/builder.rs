//! Configuration of a simulation.

use super::Simulation;
use lupincrank_control::lease::LeaseTerms;

/// The id of a node that restarts without stored state.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RestartIdentity {
    New,
    /// Deliberately wrong (a mutant), to show that the tests detect it.
    Reused,
}

/// The time at which a write is reported as completed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum WriteReport {
    WhenSynced,
    /// Deliberately wrong (a mutant), to show that the tests detect it.
    BeforeSynced,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DiskSpeed {
    Fast,
    Slow,
}

#[derive(Clone, Copy)]
pub struct DiskModel {
    pub speed: DiskSpeed,
    pub report: WriteReport,
}

/// Configuration of a simulation.
pub struct SimulationBuilder {
    pub(super) node_count: usize,
    pub(super) seed: u64,
    pub(super) lease_terms: LeaseTerms,
    pub(super) clock_drift: f64,
    pub(super) restart_identity: RestartIdentity,
    pub(super) disk: Option<DiskModel>,
}

impl SimulationBuilder {
    /// Nodes without disks, and clocks without drift.
    pub fn new(node_count: usize, seed: u64) -> SimulationBuilder {
        SimulationBuilder {
            node_count,
            seed,
            lease_terms: LeaseTerms::default(),
            clock_drift: 0.0,
            restart_identity: RestartIdentity::New,
            disk: None,
        }
    }

    /// Makes each clock fast or slow by this ratio.
    pub fn clock_drift(mut self, ratio: f64) -> SimulationBuilder {
        self.clock_drift = ratio;
        self
    }

    pub fn lease_terms(mut self, terms: LeaseTerms) -> SimulationBuilder {
        self.lease_terms = terms;
        self
    }

    pub fn restart_identity(mut self, identity: RestartIdentity) -> SimulationBuilder {
        self.restart_identity = identity;
        self
    }

    /// Makes nodes store their log and vote on a disk.
    pub fn disks(mut self, speed: DiskSpeed, report: WriteReport) -> SimulationBuilder {
        self.disk = Some(DiskModel { speed, report });
        self
    }

    pub fn start(self) -> Simulation {
        Simulation::start(&self)
    }
}

/// Starts a group of nodes with disks that report writes once they are synced.
pub fn group_with_disks(node_count: usize, seed: u64) -> Simulation {
    SimulationBuilder::new(node_count, seed)
        .disks(DiskSpeed::Fast, WriteReport::WhenSynced)
        .start()
}

/// Starts a group of nodes whose clocks drift by 1%.
pub fn group_with_drift(node_count: usize, seed: u64) -> Simulation {
    SimulationBuilder::new(node_count, seed)
        .clock_drift(0.01)
        .start()
}
