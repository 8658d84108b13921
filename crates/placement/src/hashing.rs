//! Numbers from hashes and from the random stream.

use crate::ServerId;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::io::Cursor;

const SERVER_SEED: u32 = 165_233;
pub(crate) const KEY_SEED: u32 = 845_219;

/// The hash of a server's id.
pub fn server_hash(server: &ServerId) -> u32 {
    murmur(server.0.as_bytes(), SERVER_SEED)
}

/// The hash of a group or client key.
pub fn key_hash(key: &str) -> u32 {
    murmur(key.as_bytes(), KEY_SEED)
}

/// The paper's `mult` combiner; the highest score wins.
pub fn rank_score(server: u32, key: u32) -> u32 {
    server.wrapping_mul(key)
}

/// The 32-bit `MurmurHash3` of some bytes.
pub(crate) fn murmur(bytes: &[u8], seed: u32) -> u32 {
    murmur3::murmur3_32(&mut Cursor::new(bytes), seed).unwrap_or_default() // reading from memory cannot fail
}

/// A hash as a part of 1, by other bits than the ranking orders servers by.
pub(crate) fn unit_interval(hash: u32) -> f64 {
    f64::from(hash.wrapping_mul(0x9e37_79b9)) / (f64::from(u32::MAX) + 1.0)
}

/// Eighteen bits of a server's hash as three characters: short, since each receiver is paid for.
pub(crate) fn short_name(hash: u32) -> [u8; 3] {
    [26, 20, 14].map(|shift| b'0' + (hash >> shift) as u8 % 64)
}

/// The next random number as a part of 1.
pub(crate) fn random_fraction(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
