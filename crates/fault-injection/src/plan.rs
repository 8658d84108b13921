//! The plan of a run, drawn from a scenario and a seed. The same scenario and seed always give the same plan.

use crate::scenario::{Fault, Scenario};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Minimum duration of a client's connection, in seconds.
const MIN_DURATION_SECONDS: f64 = 0.2;
/// Faults are delayed by up to this many seconds, so that they do not always coincide with the same phase of timers.
const MAX_FAULT_JITTER_SECONDS: f64 = 0.2;
/// Keeps client rates above zero, because the mean interval is the reciprocal of the rate.
const MIN_RATE: f64 = 1e-9;

/// A planned client session.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct PlannedSession {
    /// Start time, in seconds after the clients start.
    pub at_s: f64,
    /// Key group of the client.
    pub group: u64,
    /// Intended duration of the connection, in seconds.
    #[serde(rename = "stands_s")]
    pub duration_s: f64,
    /// Random number whose remainder chooses among the nodes that accept clients.
    #[serde(rename = "front")]
    pub node_draw: u64,
}

/// The client sessions and faults of a run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Plan {
    /// The seed of the random number generator that drew the plan.
    pub seed: u64,
    /// Client sessions, ordered by time.
    #[serde(rename = "visits")]
    pub sessions: Vec<PlannedSession>,
    /// Faults, ordered by time.
    pub faults: Vec<Fault>,
}

/// Draws an exponentially distributed interval between independent events, in the unit of `mean`.
fn draw_interval(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw_sessions(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<PlannedSession> {
    let clients = &scenario.clients;
    let mean_interval = 1.0 / clients.rate.max(MIN_RATE);
    let mut sessions = Vec::new();
    let mut at_s = draw_interval(rng, mean_interval);
    while at_s < scenario.duration_s() {
        let duration_s = draw_interval(rng, clients.mean_duration_s).max(MIN_DURATION_SECONDS);
        let group = rng.random_range(0..clients.group_count);
        let node_draw = rng.random();
        sessions.push(PlannedSession {
            at_s,
            group,
            duration_s,
            node_draw,
        });
        at_s += draw_interval(rng, mean_interval);
    }
    sessions
}

fn draw_faults(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<Fault> {
    let faults = scenario.faults.iter();
    let mut faults: Vec<Fault> = faults.map(|fault| fault.get_ref().clone()).collect();
    for fault in &mut faults {
        fault.at_s += rng.random_range(0.0..MAX_FAULT_JITTER_SECONDS);
    }
    faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    faults
}

impl Plan {
    /// Draws a plan.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        Plan {
            seed,
            sessions: draw_sessions(scenario, &mut rng),
            faults: draw_faults(scenario, &mut rng),
        }
    }

    /// Returns a checksum of the whole plan.
    pub fn digest(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
