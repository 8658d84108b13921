//! What a run will do, drawn from its scenario and a seed: the same to the byte each time.

use crate::scenario::{Fault, Scenario};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Clients stay connected for at least so many seconds.
const MIN_DURATION_SECONDS: f64 = 0.2;
/// Faults are late by up to so many seconds, so that they do not always coincide with the same phase of timers.
const MAX_FAULT_JITTER_SECONDS: f64 = 0.2;
/// Keeps rates above zero.
const MIN_RATE: f64 = 1e-9;

/// A client that will come.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct PlannedSession {
    /// When it comes, in seconds after the start.
    pub at_s: f64,
    /// Its key group.
    pub group: u64,
    /// How long its connection is to last, in seconds.
    #[serde(rename = "stands_s")]
    pub duration_s: f64,
    /// Chooses its node among those that accept clients, by remainder.
    #[serde(rename = "front")]
    pub node_draw: u64,
}

/// The clients and faults of a run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Clients, by time.
    #[serde(rename = "visits")]
    pub sessions: Vec<PlannedSession>,
    /// Faults, by time.
    pub faults: Vec<Fault>,
}

/// Draws the interval between two independent events, in the unit of its mean.
fn draw_interval(random: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

fn draw_sessions(scenario: &Scenario, random: &mut Pcg64Mcg) -> Vec<PlannedSession> {
    let clients = &scenario.clients;
    let mean_interval = 1.0 / clients.rate.max(MIN_RATE);
    let mut sessions = Vec::new();
    let mut at_s = draw_interval(random, mean_interval);
    while at_s < scenario.duration_s() {
        let duration_s = draw_interval(random, clients.mean_duration_s).max(MIN_DURATION_SECONDS);
        let group = random.random_range(0..clients.group_count);
        let node_draw = random.random();
        sessions.push(PlannedSession {
            at_s,
            group,
            duration_s,
            node_draw,
        });
        at_s += draw_interval(random, mean_interval);
    }
    sessions
}

fn draw_faults(scenario: &Scenario, random: &mut Pcg64Mcg) -> Vec<Fault> {
    let faults = scenario.faults.iter();
    let mut faults: Vec<Fault> = faults.map(|fault| fault.get_ref().clone()).collect();
    for fault in &mut faults {
        fault.at_s += random.random_range(0.0..MAX_FAULT_JITTER_SECONDS);
    }
    faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    faults
}

impl Plan {
    /// Draws a plan.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        Plan {
            seed,
            sessions: draw_sessions(scenario, &mut random),
            faults: draw_faults(scenario, &mut random),
        }
    }

    /// A checksum of the whole plan.
    pub fn digest(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
