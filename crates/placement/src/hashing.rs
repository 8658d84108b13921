//! Hashes of servers and keys, and numbers drawn from hashes and from random streams.

use crate::{RequestId, ServerId};
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::io::Cursor;

const SERVER_SEED: u32 = 165_233;
const KEY_SEED: u32 = 845_219;
/// 2 to the 32nd, divided by the golden ratio: multiplying by it spreads the low bits of a hash over the high ones.
const GOLDEN_RATIO_MULTIPLIER: u32 = 0x9e37_79b9;
/// The number of values that a `u32` has.
const U32_VALUES: f64 = u32::MAX as f64 + 1.0;
/// The characters of a short server name start here and are this many.
const SHORT_NAME_FIRST: u8 = b'0';
const SHORT_NAME_CHARACTERS: u8 = 64;

/// The hash of a server's id.
pub fn server_hash(server: &ServerId) -> u32 {
    murmur(server.0.as_bytes(), SERVER_SEED)
}

/// The hash of a group or client key.
pub fn key_hash(key: &str) -> u32 {
    murmur(key.as_bytes(), KEY_SEED)
}

/// The hash of a client without a key, by its request.
pub(crate) fn client_hash(request: RequestId) -> u32 {
    murmur(&request.0.to_le_bytes(), KEY_SEED)
}

/// The score of a server for a key in rendezvous hashing, by the hashes of both; the highest one wins.
pub fn rank_score(server: u32, key: u32) -> u32 {
    server.wrapping_mul(key)
}

/// The 32-bit `MurmurHash3` of some bytes.
pub(crate) fn murmur(bytes: &[u8], seed: u32) -> u32 {
    murmur3::murmur3_32(&mut Cursor::new(bytes), seed).unwrap_or_default() // reading from memory cannot fail
}

/// A hash as a number from 0 up to 1, by other bits than those that order servers.
pub(crate) fn unit_interval(hash: u32) -> f64 {
    f64::from(hash.wrapping_mul(GOLDEN_RATIO_MULTIPLIER)) / U32_VALUES
}

/// Eighteen bits of a server's hash as three characters: short, since each receiver of a message has a cost.
pub(crate) fn short_name(hash: u32) -> [u8; 3] {
    [26, 20, 14].map(|shift| SHORT_NAME_FIRST + (hash >> shift) as u8 % SHORT_NAME_CHARACTERS)
}

/// The next number of a random stream, from 0 up to 1.
pub(crate) fn random_fraction(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / U32_VALUES
}
