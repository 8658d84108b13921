//! The paper's comparison, repeated: the product of two hashes made once against hashing each pair anew.

use lupincrank_placement::{key_hash, rank_score, server_hash, ServerId};
use rand::RngCore;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::io::Cursor;
use std::time::Instant;

use crate::population::stream;

/// Sizes that the paper has.
pub const SIZES: [usize; 5] = [5, 10, 20, 25, 50];
const PAIR_SEED: u32 = 845_219;

/// A way to score a server for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Method {
    /// The product of the two hashes, cut to 32 bits.
    Product,
    /// A hash of both texts, made anew for each pair.
    Pair,
}

/// The form of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// GUIDs.
    Guid,
    /// `users:N` and `orders:N` in turn.
    Prefixed,
}

/// The figures of one size, form and method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Servers.
    pub servers: usize,
    /// Form of keys.
    pub keys: Form,
    /// Method.
    pub method: Method,
    /// Standard deviation of the servers' shares, over all sets of servers.
    pub stddev: f64,
    /// ... of the set where it is largest.
    pub worst_stddev: f64,
    /// What chance alone would give: the deviation of a binomial share.
    pub chance: f64,
    /// The largest share that any server had, in even parts.
    pub largest: f64,
    /// The smallest.
    pub smallest: f64,
    /// Nanoseconds for each decision on this machine.
    pub ns: f64,
    /// Mean share, in even parts, of the servers whose hash ends in 0, 1, 2, 3 and more zero bits.
    pub by_zeros: [Option<f64>; 4],
    /// Share of keys whose top score two servers had alike, so that the id decided.
    pub ties: f64,
}

struct Counted {
    shares: Vec<f64>,
    hashes: Vec<u32>,
    ties: f64,
    ns: f64,
}

fn keys(form: Form, count: usize, seed: u64) -> Vec<String> {
    let mut random = stream(seed, 20, 0);
    let guid = |random: &mut dyn RngCore| {
        let mut bytes = [0; 16];
        random.fill_bytes(&mut bytes);
        uuid::Builder::from_random_bytes(bytes)
            .into_uuid()
            .to_string()
    };
    let one = |at: usize| match (form, at % 2) {
        (Form::Guid, _) => guid(&mut random),
        (Form::Prefixed, 0) => format!("users:{}", 1000 + at / 2),
        (Form::Prefixed, _) => format!("orders:{}", 1000 + at / 2),
    };
    (0..count).map(one).collect()
}

fn servers(count: usize, seed: u64, set: u64) -> Vec<ServerId> {
    let mut random = stream(seed, 21, set << 16 | count as u64);
    let mut bytes = [0; 16];
    let mut one = || {
        random.fill_bytes(&mut bytes);
        ServerId::from(
            uuid::Builder::from_random_bytes(bytes)
                .into_uuid()
                .to_string()
                .as_str(),
        )
    };
    (0..count).map(|_| one()).collect()
}

/// Counts which server wins each key.
fn count(method: Method, keys: &[String], servers: &[ServerId]) -> Counted {
    let hashes: Vec<u32> = servers.iter().map(server_hash).collect();
    let mut wins = vec![0u64; servers.len()];
    let mut ties = 0u64;
    let mut pair = Vec::new();
    let begun = Instant::now();
    for key in keys {
        let hash = if method == Method::Product {
            key_hash(key)
        } else {
            0
        };
        let mut best = (0usize, 0u32, false);
        for (at, server) in servers.iter().enumerate() {
            let score = match method {
                Method::Product => rank_score(hashes[at], hash),
                Method::Pair => {
                    pair.clear();
                    pair.extend_from_slice(server.0.as_bytes());
                    pair.extend_from_slice(key.as_bytes());
                    murmur3::murmur3_32(&mut Cursor::new(&pair), PAIR_SEED).unwrap_or_default()
                }
            };
            if at == 0 || score > best.1 {
                best = (at, score, false);
            } else if score == best.1 {
                best = (
                    if *server < servers[best.0] {
                        at
                    } else {
                        best.0
                    },
                    score,
                    true,
                );
            }
        }
        wins[best.0] += 1;
        ties += u64::from(best.2);
    }
    let ns = begun.elapsed().as_nanos() as f64 / keys.len().max(1) as f64;
    let all = keys.len().max(1) as f64;
    Counted {
        shares: wins.iter().map(|wins| *wins as f64 / all).collect(),
        hashes,
        ties: ties as f64 / all,
        ns,
    }
}

/// Repeats the comparison with so many keys on so many sets of servers.
pub fn repeat(key_count: usize, sets: u64, seed: u64, done: impl Fn() + Sync) -> Vec<Row> {
    let mut rows = Vec::new();
    for form in [Form::Guid, Form::Prefixed] {
        let keys = keys(form, key_count, seed);
        for size in SIZES {
            for method in [Method::Product, Method::Pair] {
                let counted: Vec<Counted> = (0..sets)
                    .into_par_iter()
                    .map(|set| count(method, &keys, &servers(size, seed, set)))
                    .collect();
                rows.push(row(size, form, method, key_count, &counted));
                done();
            }
        }
    }
    rows
}

fn row(servers: usize, keys: Form, method: Method, key_count: usize, sets: &[Counted]) -> Row {
    let even = 1.0 / servers as f64;
    let deviation = |one: &Counted| {
        (one.shares
            .iter()
            .map(|share| (share - even).powi(2))
            .sum::<f64>()
            / servers as f64)
            .sqrt()
    };
    let mean =
        |of: &dyn Fn(&Counted) -> f64| sets.iter().map(of).sum::<f64>() / sets.len().max(1) as f64;
    let shares = || sets.iter().flat_map(|one| one.shares.iter().copied());
    let by_zeros = [0, 1, 2, 3].map(|zeros| {
        let of = |one: &Counted| -> Vec<f64> {
            let matching = one.hashes.iter().zip(&one.shares);
            let fits = |hash: &u32| hash.trailing_zeros().min(3) == zeros;
            matching
                .filter(|(hash, _)| fits(hash))
                .map(|(_, share)| share / even)
                .collect()
        };
        let found: Vec<f64> = sets.iter().flat_map(of).collect();
        (!found.is_empty()).then(|| found.iter().sum::<f64>() / found.len() as f64)
    });
    Row {
        servers,
        keys,
        method,
        stddev: mean(&deviation),
        worst_stddev: sets.iter().map(deviation).fold(0.0, f64::max),
        chance: (even * (1.0 - even) / key_count.max(1) as f64).sqrt(),
        largest: shares().fold(0.0, f64::max) / even,
        smallest: shares().fold(f64::INFINITY, f64::min) / even,
        ns: mean(&|one| one.ns),
        by_zeros,
        ties: mean(&|one| one.ties),
    }
}

/// A table for people.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:>7} {:<9} {:<8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8}  even hash: 0, 1, 2, 3+ zeros\n",
        "servers", "keys", "method", "stddev %", "worst %", "chance %", "largest", "smallest", "ns"
    );
    for row in rows {
        let zeros = row
            .by_zeros
            .map(|share| share.map_or("-".into(), |share| format!("{share:.3}")));
        let _ = writeln!(
            text,
            "{:>7} {:<9} {:<8} {:>9.4} {:>9.4} {:>9.4} {:>8.3} {:>8.3} {:>8.0}  {}",
            row.servers,
            format!("{:?}", row.keys).to_lowercase(),
            format!("{:?}", row.method).to_lowercase(),
            row.stddev * 100.0,
            row.worst_stddev * 100.0,
            row.chance * 100.0,
            row.largest,
            row.smallest,
            row.ns,
            zeros.join(" ")
        );
    }
    text
}
