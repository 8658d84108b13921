//! Who the clients are: classes, lives, loads and groups, each drawn from the client's own stream of random numbers,
//! so that every policy meets the same ones.

use crate::event_queue::{seconds, Moment};
use crate::scenario::{Class, Scenario};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Gamma, LogNormal, StandardNormal, Zipf};
use rand_pcg::Pcg32;

/// A stream of random numbers of its own for each purpose.
pub fn stream(seed: u64, purpose: u64, serial: u64) -> Pcg32 {
    // The multipliers only keep neighbouring seeds apart; the generator's seeding mixes them.
    Pcg32::seed_from_u64(
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ purpose.wrapping_mul(0xd1b5_4a32_d192_ed03)
            ^ serial.wrapping_mul(0x2545_f491_4f6c_dd1d),
    )
}

/// A log-normal value of mean 1.
pub fn around_one(random: &mut Pcg32, sigma: f64) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |spread| spread.sample(random))
}

/// A delay of a mean with some jitter, never less than a tenth of it.
pub fn jittered(random: &mut Pcg32, mean_ms: f64, jitter: f64) -> Moment {
    let normal: f64 = random.sample(StandardNormal);
    seconds(mean_ms / 1e3 * (1.0 + jitter * normal).max(0.1))
}

/// A client as it is drawn.
pub struct Drawn {
    /// Its class.
    pub class: usize,
    /// Its zone.
    pub zone: u32,
    /// Its group.
    pub group: Option<u32>,
    /// How long it wants its connection, s.
    pub life_s: f64,
    /// Its usual load, in cores of speed 1.
    pub usual: f64,
    /// Its own stream, for all that follows.
    pub random: Pcg32,
}

/// Draws clients.
pub struct Population {
    seed: u64,
    shares: Vec<f64>,
    groups: Option<Zipf<f64>>,
    unit: f64,
    scenario: Scenario,
}

impl Population {
    /// The clients of a scenario under a seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let all: f64 = scenario.class.iter().map(|class| class.share).sum();
        let mut sum = 0.0;
        let shares = scenario.class.iter().map(|class| {
            sum += class.share / all;
            sum
        });
        let size = scenario.clients.group_size;
        let count = if size > 0.0 {
            (scenario.mean_connection_count() / size).ceil().max(1.0)
        } else {
            0.0
        };
        Population {
            seed,
            shares: shares.collect(),
            groups: (count > 0.0)
                .then(|| Zipf::new(count as u64, scenario.clients.group_zipf).ok())
                .flatten(),
            unit: scenario.load_unit(),
            scenario: scenario.clone(),
        }
    }

    /// The client of a number. One that `stands` has been there for a while: long lives are met more often, and
    /// part of each is over.
    pub fn draw(&self, serial: u64, stands: bool) -> Drawn {
        let mut random = stream(self.seed, 1, serial);
        let at: f64 = random.gen();
        let mut class = self
            .shares
            .iter()
            .position(|share| at < *share)
            .unwrap_or(0);
        if stands {
            // A class with long lives has more of those that stand.
            let lives: f64 = self
                .scenario
                .class
                .iter()
                .map(|class| class.share * class.life)
                .sum();
            let mut left = random.gen::<f64>() * lives;
            class = self
                .scenario
                .class
                .iter()
                .position(|class| {
                    left -= class.share * class.life;
                    left < 0.0
                })
                .unwrap_or(0);
        }
        let drawn = &self.scenario.class[class];
        let mean = self.scenario.clients.life_s * drawn.life;
        let sigma = self.scenario.clients.life_sigma;
        let life_s = match (sigma > 0.0, stands) {
            (false, _) => mean * random.sample::<f64, _>(Exp1),
            (true, false) => mean * around_one(&mut random, sigma),
            (true, true) => {
                mean * around_one(&mut random, sigma) * (sigma * sigma).exp() * random.gen::<f64>()
            }
        };
        let group = self
            .groups
            .as_ref()
            .map(|groups| groups.sample(&mut random) as u32);
        let usual = drawn.load * self.unit * around_one(&mut random, drawn.load_sigma);
        Drawn {
            class,
            zone: random.gen_range(0..self.scenario.net.zones),
            group,
            life_s,
            usual,
            random,
        }
    }
}

/// A connection's load from now until its next change, and when that is.
pub fn swing(class: &Class, usual: f64, random: &mut Pcg32) -> (f64, Option<Moment>) {
    if class.change_s <= 0.0 {
        return (usual, None);
    }
    let next = seconds(class.change_s * random.sample::<f64, _>(Exp1)).max(1_000_000);
    let idle = random.gen::<f64>() < class.idle;
    let load = if idle {
        0.0
    } else {
        usual / (1.0 - class.idle) * around_one(random, class.swing_sigma)
    };
    (load, Some(next))
}

/// The work of a set-up, in seconds on a core of speed 1.
pub fn work(class: &Class, random: &mut Pcg32) -> f64 {
    let (mean, cv) = (class.work_ms / 1e3, class.work_cv);
    if cv <= 0.0 || mean <= 0.0 {
        return mean;
    }
    let shape = 1.0 / (cv * cv);
    Gamma::new(shape, mean / shape).map_or(mean, |spread| spread.sample(random))
}
