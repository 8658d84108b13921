//! What a trial will do, drawn from its file and one seed: the same to the byte each time.

use crate::scenario::{Fault, Scenario};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// One client that will come.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Planned {
    /// When, in seconds after the start.
    pub at_s: f64,
    /// Its group.
    pub group: u64,
    /// How long it stands.
    pub stands_s: f64,
    /// Which node it goes to, as a number to be divided among those in front.
    pub front: u64,
}

/// All of it.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// By time.
    pub visits: Vec<Planned>,
    /// By time.
    pub faults: Vec<Fault>,
}

/// A span with this mean, as between events that know nothing of each other.
fn apart(random: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

impl Plan {
    /// Draws it.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let clients = &scenario.clients;
        let (mut visits, mut at_s) = (Vec::new(), 0.0);
        loop {
            at_s += apart(&mut random, 1.0 / clients.rate.max(1e-9));
            if at_s >= *scenario.seconds.get_ref() {
                break;
            }
            let stands_s = apart(&mut random, clients.stand_s).max(0.2);
            let group = random.random_range(0..clients.groups);
            visits.push(Planned {
                at_s,
                group,
                stands_s,
                front: random.random(),
            });
        }
        let mut faults: Vec<Fault> = scenario
            .fault
            .iter()
            .map(|fault| fault.get_ref().clone())
            .collect();
        // Up to a fifth of a second, so that faults do not always fall on the same beat of everything else.
        faults
            .iter_mut()
            .for_each(|fault| fault.at_s += random.random_range(0.0..0.2));
        faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        Plan {
            seed,
            visits,
            faults,
        }
    }

    /// A sum over all of it.
    pub fn digest(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
