//! The fraction of the keys of lost servers that each remaining server accepts, so that none exceeds its capacity.
//!
//! Every node computes the same fractions from the endpoint list alone. Without them the next-highest scores decide,
//! and hashes spread unevenly: one of four remaining servers received half of all connections and was overloaded,
//! then the next one was.

use crate::hashing::{murmur, rank_score, unit_interval};
use std::cmp::Reverse;

/// The assumed capacity of a server, as a multiple of its usual load: services run at about half of their capacity.
/// With 1.25 more is rejected than necessary, with 1.75 servers are overloaded (docs/measured/many-nodes.md).
pub(crate) const CAPACITY_RATIO: f64 = 1.5;
/// Sampled keys per remaining server, and their maximum, to estimate how many each server receives. At the maximum
/// this costs as many sorts of the remaining servers, once a second while keys are redistributed.
const SAMPLES_PER_SERVER: usize = 100;
const MAX_SAMPLES: usize = 2_048;
/// The hash seed of the sampled keys, the same at every node.
const SAMPLE_SEED: u32 = 77_041;
/// Rounds of the fitting, enough for it to converge at the measured fleet sizes.
const ROUNDS: usize = 16;
/// A ratio rises by at most this factor in a round.
const MAX_RISE_PER_ROUND: f64 = 1.2;
/// The rotation of the key in the hash that decides whether a server accepts it.
const KEY_ROTATION: u32 = 8;

/// A server that remains.
pub(crate) struct RemainingServer {
    pub(crate) hash: u32,
    /// Its capacity, as a fraction of the total load.
    pub(crate) capacity: f64,
    /// The largest fraction of all keys that it may accept while it is warming up.
    pub(crate) max_ratio: f64,
    /// The fraction that it accepts of the lost servers' keys that reach it by rank.
    pub(crate) extra_ratio: f64,
}

/// A sampled key, with the inputs that decide which server accepts it.
struct SampleKey {
    key: u32,
    /// The hash of the key's server before any server was lost.
    preferred: Option<u32>,
    /// Indices of the remaining servers, by descending score.
    ranking: Vec<usize>,
}

/// The fractions of the sampled keys that a server receives.
#[derive(Clone, Copy, Default)]
struct AssignedKeys {
    own: f64,
    extra: f64,
}

/// Returns true if the key is in the fraction `ratio` of the keys that the server accepts.
pub(crate) fn accepts_key_ratio(server_hash: u32, key: u32, ratio: f64) -> bool {
    unit_interval(server_hash ^ key.rotate_left(KEY_ROTATION)) < ratio
}

/// Returns the hash of the server with the highest score for the key.
pub(crate) fn preferred_server(server_hashes: &[u32], key: u32) -> Option<u32> {
    server_hashes
        .iter()
        .copied()
        .max_by_key(|hash| rank_score(*hash, key))
}

/// Sets the extra ratio of each remaining server so that none exceeds its capacity. `all` are the hashes of the
/// servers before the loss. A server keeps its own keys, those for which it ranked first before the loss, in any case.
pub(crate) fn fit_to_capacity(all: &[u32], remaining: &mut [RemainingServer]) {
    let samples = sample_keys(all, remaining);
    for server in remaining.iter_mut() {
        server.extra_ratio = 1.0;
    }
    for _ in 0..ROUNDS {
        let assigned = assigned_keys(&samples, remaining);
        for (server, assigned) in remaining.iter_mut().zip(assigned) {
            let free_capacity = (server.capacity - assigned.own).max(0.0);
            let factor = free_capacity / f64::max(assigned.extra, 1e-9);
            // A server that accepts all keys also receives those that the others decline: its rise is limited, or the
            // result would oscillate from round to round.
            let step = factor.sqrt().min(MAX_RISE_PER_ROUND);
            server.extra_ratio = (server.extra_ratio * step).min(1.0);
        }
    }
}

fn sample_keys(all: &[u32], remaining: &[RemainingServer]) -> Vec<SampleKey> {
    let count = (SAMPLES_PER_SERVER * remaining.len()).clamp(1, MAX_SAMPLES) as u32;
    (0..count)
        .map(|sample| {
            let key = murmur(&sample.to_le_bytes(), SAMPLE_SEED);
            SampleKey {
                key,
                preferred: preferred_server(all, key),
                ranking: rank(remaining, key),
            }
        })
        .collect()
}

fn rank(remaining: &[RemainingServer], key: u32) -> Vec<usize> {
    let mut scored: Vec<(u32, usize)> = remaining
        .iter()
        .enumerate()
        .map(|(index, server)| (rank_score(server.hash, key), index))
        .collect();
    scored.sort_unstable_by_key(|(score, _)| Reverse(*score));
    scored.into_iter().map(|(_, index)| index).collect()
}

fn assigned_keys(samples: &[SampleKey], remaining: &[RemainingServer]) -> Vec<AssignedKeys> {
    let mut assigned = vec![AssignedKeys::default(); remaining.len()];
    for sample in samples {
        let accepts = |index: &&usize| {
            remaining
                .get(**index)
                .is_some_and(|server| accepts_sample(server, sample))
        };
        let Some(index) = sample.ranking.iter().find(accepts) else {
            continue;
        };
        let server = remaining.get(*index);
        if let (Some(assigned), Some(server)) = (assigned.get_mut(*index), server) {
            let is_own = sample.preferred == Some(server.hash);
            let fraction = if is_own {
                &mut assigned.own
            } else {
                &mut assigned.extra
            };
            *fraction += 1.0 / samples.len() as f64;
        }
    }
    assigned
}

fn accepts_sample(server: &RemainingServer, sample: &SampleKey) -> bool {
    let ratio = if sample.preferred == Some(server.hash) {
        1.0
    } else {
        server.extra_ratio
    };
    accepts_key_ratio(server.hash, sample.key, ratio.min(server.max_ratio))
}

#[cfg(test)]
mod tests;
