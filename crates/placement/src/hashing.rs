//! Hashes of servers and keys, and random numbers from hashes and generators.

use crate::{RequestId, ServerId};
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::io::Cursor;

const SERVER_SEED: u32 = 165_233;
const KEY_SEED: u32 = 845_219;
/// 2 to the 32nd, divided by the golden ratio: multiplying by it spreads the low bits of a hash over the high ones.
const GOLDEN_RATIO_MULTIPLIER: u32 = 0x9e37_79b9;
/// The number of values of a `u32`.
const U32_VALUES: f64 = u32::MAX as f64 + 1.0;
/// The first character of the alphabet of short server names, and the size of the alphabet.
const SHORT_NAME_FIRST: u8 = b'0';
const SHORT_NAME_CHARACTERS: u8 = 64;

/// Returns the hash of a server's id.
pub fn server_hash(server: &ServerId) -> u32 {
    murmur(server.0.as_bytes(), SERVER_SEED)
}

/// Returns the hash of a group or client key.
pub fn key_hash(key: &str) -> u32 {
    murmur(key.as_bytes(), KEY_SEED)
}

/// Returns the hash of a client without a key, from its request id.
pub(crate) fn client_hash(request: RequestId) -> u32 {
    murmur(&request.0.to_le_bytes(), KEY_SEED)
}

/// Returns the score of a server for a key in rendezvous hashing, from the hashes of both. The highest score wins.
pub fn rank_score(server: u32, key: u32) -> u32 {
    server.wrapping_mul(key)
}

/// Returns the 32-bit `MurmurHash3` of the bytes.
pub(crate) fn murmur(bytes: &[u8], seed: u32) -> u32 {
    murmur3::murmur3_32(&mut Cursor::new(bytes), seed).unwrap_or_default() // reading from memory cannot fail
}

/// Maps a hash to a number from 0 up to 1, by other bits than those that order servers.
pub(crate) fn unit_interval(hash: u32) -> f64 {
    f64::from(hash.wrapping_mul(GOLDEN_RATIO_MULTIPLIER)) / U32_VALUES
}

/// Returns eighteen bits of a server's hash as three characters. The name is short because a message has a cost at
/// each receiver.
pub(crate) fn short_name(hash: u32) -> [u8; 3] {
    [26, 20, 14].map(|shift| SHORT_NAME_FIRST + (hash >> shift) as u8 % SHORT_NAME_CHARACTERS)
}

/// Returns the next random number, from 0 up to 1.
pub(crate) fn random_fraction(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / U32_VALUES
}
