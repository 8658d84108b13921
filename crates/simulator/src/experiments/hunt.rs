//! The hunt: it searches seeds and troubles for the day on which the module falls furthest behind what a plain policy
//! or the true state reaches, then makes that day as small as it goes.

use crate::policy::Name;
use crate::population::stream;
use crate::scenario::{Found, Scenario, Trouble, TroubleKind};
use crate::world::play;
use rand::seq::SliceRandom;
use rand::Rng;
use rayon::prelude::*;

/// What a smaller day must keep of the worst day's gap.
const KEEPS: f64 = 0.8;
/// Rounds of making it smaller; each tries every way once.
const ROUNDS: usize = 6;

/// A day and how far the module falls behind on it.
#[derive(Clone, Debug)]
pub struct Day {
    /// The scenario, with its seed under `found`.
    pub scenario: Scenario,
    /// How far the best of the others is ahead; 2 more where the module broke a rule.
    pub gap: f64,
}

/// Plays the module and the others on one day.
pub fn judge(mut scenario: Scenario, seed: u64, others: &[Name]) -> Day {
    scenario.found = None;
    let module = play(&scenario, seed, Name::Module);
    let best = others
        .iter()
        .map(|name| (*name, play(&scenario, seed, *name).service));
    let (against, against_service) = best
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((Name::Module, module.service));
    let broke = if module.times_broken > 0 { 2.0 } else { 0.0 };
    let gap = against_service - module.service + broke;
    let service = module.service;
    scenario.found = Some(Found {
        seed,
        service,
        against: against.text().into(),
        against_service,
    });
    Day { scenario, gap }
}

/// Draws troubles for a day.
fn draw(scenario: &Scenario, seed: u64, number: u64) -> Scenario {
    let mut random = stream(seed, 9, number);
    let kinds = [
        TroubleKind::Silent,
        TroubleKind::Slow,
        TroubleKind::Deploy,
        TroubleKind::Shrink,
        TroubleKind::NodeDown,
        TroubleKind::DiscoveryDown,
        TroubleKind::DiscoveryStale,
        TroubleKind::Reset,
        TroubleKind::Surge,
    ];
    let mut day = scenario.clone();
    day.name = format!("{}-{number}", scenario.name);
    day.trouble.clear();
    for _ in 0..random.gen_range(0..=3) {
        let kind = kinds
            .choose(&mut random)
            .copied()
            .unwrap_or(TroubleKind::Slow);
        let at_s = scenario.length_s * random.gen_range(0.05..0.6);
        let part = random.gen_range(0.05..0.25);
        let (part, size) = match kind {
            TroubleKind::Slow => (part, random.gen_range(2.0..9.0)),
            TroubleKind::Deploy => (random.gen_range(0.4..1.0), random.gen_range(0.05..0.2)),
            TroubleKind::Shrink | TroubleKind::Surge => (part, random.gen_range(1.3..3.0)),
            TroubleKind::Reset => (part, random.gen_range(0.5..5.0)),
            _ => (part, 0.0),
        };
        let for_s = scenario.length_s * random.gen_range(0.15..0.6);
        day.trouble.push(Trouble {
            kind,
            at_s,
            for_s,
            part,
            size,
            drain_s: random.gen_range(2.0..6.0),
            leave: 0.5,
        });
    }
    day.clients.load *= random.gen_range(0.8..1.2);
    day.clients.start_skew = random.gen_range(0.0..0.5);
    day
}

/// The worst of so many days.
pub fn search(
    scenario: &Scenario,
    seed: u64,
    days: u64,
    others: &[Name],
    done: impl Fn() + Sync,
) -> Option<Day> {
    let day = |number: u64| {
        let day = judge(
            draw(scenario, seed, number),
            seed.wrapping_add(number),
            others,
        );
        done();
        day
    };
    let all: Vec<Day> = (0..days).into_par_iter().map(day).collect();
    // Of equal ones the first, so that the threads decide nothing.
    all.into_iter()
        .reduce(|worst, day| if day.gap > worst.gap { day } else { worst })
}

/// Makes a day smaller as long as most of its gap stays.
pub fn shrink(worst: Day, others: &[Name]) -> Day {
    let wanted = worst.gap * KEEPS;
    let seed = worst.scenario.found.as_ref().map_or(0, |found| found.seed);
    let mut best = worst;
    for _ in 0..ROUNDS {
        let smaller = smaller(&best.scenario);
        let days: Vec<Day> = smaller
            .into_par_iter()
            .map(|day| judge(day, seed, others))
            .collect();
        let Some(next) = days.into_iter().find(|day| day.gap >= wanted) else {
            break;
        };
        best = next;
    }
    best
}

/// Every way to make a scenario one step simpler, the boldest first.
fn smaller(scenario: &Scenario) -> Vec<Scenario> {
    let mut ways = Vec::new();
    let mut way = |change: &dyn Fn(&mut Scenario)| {
        let mut day = scenario.clone();
        change(&mut day);
        if day != *scenario {
            ways.push(day);
        }
    };
    way(&|day| day.trouble.clear());
    for at in 0..scenario.trouble.len() {
        way(&|day| {
            day.trouble.remove(at);
        });
    }
    way(&|day| day.fleet.transcribers = (day.fleet.transcribers / 2).max(2));
    way(&|day| day.nodes.count = 1);
    way(&|day| day.class.truncate(1));
    way(&|day| day.fleet.kind.truncate(1));
    way(&|day| day.length_s = (day.length_s / 2.0).max(20.0));
    way(&|day| day.clients.group_size = 0.0);
    way(&|day| day.clients.start_skew = 0.0);
    way(&|day| {
        for kind in &mut day.fleet.kind {
            (kind.pause_every_s, kind.error_rate, kind.speed_cv) = (0.0, 0.0, 0.0);
        }
    });
    way(&|day| day.net.zones = 1);
    ways
}
