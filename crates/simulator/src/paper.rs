//! Repeats a paper's comparison of two scores for rendezvous hashing: the product of the hashes of server and key, each
//! computed once, and a hash of each pair of server and key.

use lupincrank_placement::{key_hash, rank_score, server_hash, ServerId};
use rand::RngCore;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::io::Cursor;
use std::time::Instant;

use crate::population::stream;

/// Server counts in the paper.
pub const SERVER_COUNTS: [usize; 5] = [5, 10, 20, 25, 50];
const PAIR_SEED: u32 = 845_219;

/// A method of scoring a server for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Method {
    /// The product of the two hashes, truncated to 32 bits.
    Product,
    /// A hash of the server id and the key together, computed for each pair.
    Pair,
}

/// The format of the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyFormat {
    /// GUIDs.
    Guid,
    /// `users:N` and `orders:N` alternately.
    Prefixed,
}

/// The results for one server count, key format and method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Number of servers.
    pub servers: usize,
    /// Format of the keys.
    pub keys: KeyFormat,
    /// Scoring method.
    pub method: Method,
    /// Standard deviation of the servers' shares of the keys, mean over all server sets.
    pub stddev: f64,
    /// The largest standard deviation of any server set.
    pub worst_stddev: f64,
    /// Expected standard deviation of uniformly random placement, from the binomial distribution.
    pub chance: f64,
    /// The largest share of any server, relative to an even share.
    pub largest: f64,
    /// The smallest share of any server, relative to an even share.
    pub smallest: f64,
    /// Nanoseconds per placement decision on this machine.
    pub ns: f64,
    /// Mean share, relative to an even share, of the servers whose hash ends in 0, 1, 2, and 3 or more zero bits.
    pub by_zeros: [Option<f64>; 4],
    /// Fraction of keys for which several servers had the top score, so that the server id decided.
    pub ties: f64,
}

/// The shares of one server set.
struct SetResult {
    shares: Vec<f64>,
    hashes: Vec<u32>,
    ties: f64,
    ns: f64,
}

fn generate_keys(format: KeyFormat, count: usize, seed: u64) -> Vec<String> {
    let mut rng = stream(seed, 20, 0);
    let guid = |rng: &mut dyn RngCore| {
        let mut bytes = [0; 16];
        rng.fill_bytes(&mut bytes);
        uuid::Builder::from_random_bytes(bytes)
            .into_uuid()
            .to_string()
    };
    let key = |index: usize| match (format, index % 2) {
        (KeyFormat::Guid, _) => guid(&mut rng),
        (KeyFormat::Prefixed, 0) => format!("users:{}", 1000 + index / 2),
        (KeyFormat::Prefixed, _) => format!("orders:{}", 1000 + index / 2),
    };
    (0..count).map(key).collect()
}

fn random_servers(count: usize, seed: u64, set: u64) -> Vec<ServerId> {
    let mut rng = stream(seed, 21, set << 16 | count as u64);
    let mut bytes = [0; 16];
    let mut server_id = || {
        rng.fill_bytes(&mut bytes);
        ServerId::from(
            uuid::Builder::from_random_bytes(bytes)
                .into_uuid()
                .to_string()
                .as_str(),
        )
    };
    (0..count).map(|_| server_id()).collect()
}

/// Places each key on the server with the top score and returns the servers' shares.
fn place_keys(method: Method, keys: &[String], servers: &[ServerId]) -> SetResult {
    let hashes: Vec<u32> = servers.iter().map(server_hash).collect();
    let mut keys_per_server = vec![0u64; servers.len()];
    let mut ties = 0u64;
    let mut pair = Vec::new();
    let started_at = Instant::now();
    for key in keys {
        let hash = if method == Method::Product {
            key_hash(key)
        } else {
            0
        };
        let mut best = (0usize, 0u32, false);
        for (index, server) in servers.iter().enumerate() {
            let score = match method {
                Method::Product => rank_score(hashes[index], hash),
                Method::Pair => {
                    pair.clear();
                    pair.extend_from_slice(server.0.as_bytes());
                    pair.extend_from_slice(key.as_bytes());
                    murmur3::murmur3_32(&mut Cursor::new(&pair), PAIR_SEED).unwrap_or_default()
                }
            };
            if index == 0 || score > best.1 {
                best = (index, score, false);
            } else if score == best.1 {
                best = (
                    if *server < servers[best.0] {
                        index
                    } else {
                        best.0
                    },
                    score,
                    true,
                );
            }
        }
        keys_per_server[best.0] += 1;
        ties += u64::from(best.2);
    }
    let ns = started_at.elapsed().as_nanos() as f64 / keys.len().max(1) as f64;
    let key_count = keys.len().max(1) as f64;
    SetResult {
        shares: keys_per_server
            .iter()
            .map(|count| *count as f64 / key_count)
            .collect(),
        hashes,
        ties: ties as f64 / key_count,
        ns,
    }
}

/// Runs the comparison with `key_count` keys on `set_count` random server sets of each size, and calls `done` after
/// each row.
pub fn run_comparison(
    key_count: usize,
    set_count: u64,
    seed: u64,
    done: impl Fn() + Sync,
) -> Vec<Row> {
    let mut rows = Vec::new();
    for format in [KeyFormat::Guid, KeyFormat::Prefixed] {
        let keys = generate_keys(format, key_count, seed);
        for server_count in SERVER_COUNTS {
            for method in [Method::Product, Method::Pair] {
                let results: Vec<SetResult> = (0..set_count)
                    .into_par_iter()
                    .map(|set| place_keys(method, &keys, &random_servers(server_count, seed, set)))
                    .collect();
                rows.push(row(server_count, format, method, key_count, &results));
                done();
            }
        }
    }
    rows
}

fn row(
    servers: usize,
    keys: KeyFormat,
    method: Method,
    key_count: usize,
    sets: &[SetResult],
) -> Row {
    let even_share = 1.0 / servers as f64;
    let deviation = |set: &SetResult| {
        (set.shares
            .iter()
            .map(|share| (share - even_share).powi(2))
            .sum::<f64>()
            / servers as f64)
            .sqrt()
    };
    let mean = |value: &dyn Fn(&SetResult) -> f64| {
        sets.iter().map(value).sum::<f64>() / sets.len().max(1) as f64
    };
    let shares = || sets.iter().flat_map(|set| set.shares.iter().copied());
    let by_zeros = [0, 1, 2, 3].map(|zeros| {
        let relative_shares = |set: &SetResult| -> Vec<f64> {
            let servers = set.hashes.iter().zip(&set.shares);
            let matches = |hash: &u32| hash.trailing_zeros().min(3) == zeros;
            servers
                .filter(|(hash, _)| matches(hash))
                .map(|(_, share)| share / even_share)
                .collect()
        };
        let shares: Vec<f64> = sets.iter().flat_map(relative_shares).collect();
        (!shares.is_empty()).then(|| shares.iter().sum::<f64>() / shares.len() as f64)
    });
    Row {
        servers,
        keys,
        method,
        stddev: mean(&deviation),
        worst_stddev: sets.iter().map(deviation).fold(0.0, f64::max),
        chance: (even_share * (1.0 - even_share) / key_count.max(1) as f64).sqrt(),
        largest: shares().fold(0.0, f64::max) / even_share,
        smallest: shares().fold(f64::INFINITY, f64::min) / even_share,
        ns: mean(&|set| set.ns),
        by_zeros,
        ties: mean(&|set| set.ties),
    }
}

/// Formats the rows as a text table.
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
