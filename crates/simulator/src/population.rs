//! The clients of a run: classes, connection durations, loads and groups. Every client draws from its own stream of
//! random numbers, so that every policy gets the same clients.

use crate::event_queue::{seconds, SimTime};
use crate::scenario::{Class, Scenario};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Gamma, LogNormal, StandardNormal, Zipf};
use rand_pcg::Pcg32;

/// Returns a separate stream of random numbers for each purpose and index.
pub fn stream(seed: u64, purpose: u64, index: u64) -> Pcg32 {
    // The multipliers only keep neighbouring seeds apart; the generator's seeding mixes them.
    Pcg32::seed_from_u64(
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ purpose.wrapping_mul(0xd1b5_4a32_d192_ed03)
            ^ index.wrapping_mul(0x2545_f491_4f6c_dd1d),
    )
}

/// Draws a log-normal value of mean 1.
pub fn log_normal(rng: &mut Pcg32, sigma: f64) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |distribution| distribution.sample(rng))
}

/// Draws a delay with jitter, at least a tenth of the mean.
pub fn jittered(rng: &mut Pcg32, mean_ms: f64, jitter: f64) -> SimTime {
    let normal: f64 = rng.sample(StandardNormal);
    seconds(mean_ms / 1e3 * (1.0 + jitter * normal).max(0.1))
}

/// The properties drawn for a client.
pub struct ClientDraw {
    /// The class.
    pub class: usize,
    /// The zone.
    pub zone: u32,
    /// The group.
    pub group: Option<u32>,
    /// How long the client wants its connection, in s.
    pub lifetime_s: f64,
    /// The mean load, in cores of speed 1.
    pub mean_load: f64,
    /// The client's own stream, for all later draws.
    pub rng: Pcg32,
}

/// Draws clients.
pub struct Population {
    seed: u64,
    cumulative_shares: Vec<f64>,
    groups: Option<Zipf<f64>>,
    load_unit: f64,
    scenario: Scenario,
}

impl Population {
    /// Creates the population of a scenario and seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let total: f64 = scenario.class.iter().map(|class| class.share).sum();
        let mut sum = 0.0;
        let cumulative_shares = scenario.class.iter().map(|class| {
            sum += class.share / total;
            sum
        });
        let group_size = scenario.clients.group_size;
        let group_count = if group_size > 0.0 {
            (scenario.mean_connection_count() / group_size)
                .ceil()
                .max(1.0)
        } else {
            0.0
        };
        Population {
            seed,
            cumulative_shares: cumulative_shares.collect(),
            groups: (group_count > 0.0)
                .then(|| Zipf::new(group_count as u64, scenario.clients.group_zipf).ok())
                .flatten(),
            load_unit: scenario.load_unit(),
            scenario: scenario.clone(),
        }
    }

    /// Draws the client with the given serial number. If `is_established` is set, its connection is already under way:
    /// long connections are more likely, and part of their duration is over.
    pub fn draw(&self, serial: u64, is_established: bool) -> ClientDraw {
        let mut rng = stream(self.seed, 1, serial);
        let position: f64 = rng.gen();
        let mut class = self
            .cumulative_shares
            .iter()
            .position(|share| position < *share)
            .unwrap_or(0);
        if is_established {
            // A class with long connections has more of the established ones.
            let total: f64 = self
                .scenario
                .class
                .iter()
                .map(|class| class.share * class.life)
                .sum();
            let mut remaining = rng.gen::<f64>() * total;
            class = self
                .scenario
                .class
                .iter()
                .position(|class| {
                    remaining -= class.share * class.life;
                    remaining < 0.0
                })
                .unwrap_or(0);
        }
        let drawn = &self.scenario.class[class];
        let mean = self.scenario.clients.life_s * drawn.life;
        let sigma = self.scenario.clients.life_sigma;
        let lifetime_s = match (sigma > 0.0, is_established) {
            (false, _) => mean * rng.sample::<f64, _>(Exp1),
            (true, false) => mean * log_normal(&mut rng, sigma),
            (true, true) => {
                mean * log_normal(&mut rng, sigma) * (sigma * sigma).exp() * rng.gen::<f64>()
            }
        };
        let group = self
            .groups
            .as_ref()
            .map(|groups| groups.sample(&mut rng) as u32);
        let mean_load = drawn.load * self.load_unit * log_normal(&mut rng, drawn.load_sigma);
        ClientDraw {
            class,
            zone: rng.gen_range(0..self.scenario.net.zones),
            group,
            lifetime_s,
            mean_load,
            rng,
        }
    }
}

/// Draws a connection's load until its next change, and the time until then.
pub fn next_load(class: &Class, mean_load: f64, rng: &mut Pcg32) -> (f64, Option<SimTime>) {
    if class.change_s <= 0.0 {
        return (mean_load, None);
    }
    let until_next = seconds(class.change_s * rng.sample::<f64, _>(Exp1)).max(1_000_000);
    let idle = rng.gen::<f64>() < class.idle;
    let load = if idle {
        0.0
    } else {
        mean_load / (1.0 - class.idle) * log_normal(rng, class.swing_sigma)
    };
    (load, Some(until_next))
}

/// Draws the work of a setup, in seconds on a core of speed 1.
pub fn setup_work(class: &Class, rng: &mut Pcg32) -> f64 {
    let (mean, cv) = (class.work_ms / 1e3, class.work_cv);
    if cv <= 0.0 || mean <= 0.0 {
        return mean;
    }
    let shape = 1.0 / (cv * cv);
    Gamma::new(shape, mean / shape).map_or(mean, |distribution| distribution.sample(rng))
}
