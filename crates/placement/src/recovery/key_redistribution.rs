//! What each server that is left takes of the keys when a fleet has lost many at once: the same keys at every
//! gateway, for each computes it from the list alone. Without it the next-highest scores decide, and they are as
//! uneven as the places of hashes: one of four servers that were left got half of all connections and fell, then
//! the next one did.

use crate::hashing::rank_score;
use crate::hashing::{murmur, unit_interval};
use crate::state::fleet::{Fleet, Server};
use crate::state::server_table::ServerSlot;
use crate::{Health, Settings, Timestamp};
use std::cmp::Reverse;

/// Keys drawn for each server that is left, and at most, to learn how many come to each: at the most this costs as
/// many sorts of what is left, once a second while keys are shared out.
const SAMPLES: usize = 100;
const MOST_SAMPLES: usize = 2_048;
const ROUNDS: usize = 16;
/// Known servers past which nothing is shared out: the cost grows with their square, and memory with it.
const MOST_SERVERS: usize = 200;
const SAMPLE_SEED: u32 = 77_041;
/// The weight of all servers that a fleet is taken to have been made for fades so a second to what it has.
const USUAL_FADES: f64 = 0.02;
/// Keys are shared out once this part of that weight went at once and without notice ...
const LOSS: f64 = 0.2;
/// ... for as long as no more than this part of it is there.
const LEFT: f64 = 0.75;
/// A server is taken to carry this multiple of what it usually does, since services are run at half or so. With
/// 1.25 more is refused than need be, with 1.75 servers fall (docs/measured/fleet.md).
const ROOM: f64 = 1.5;
/// All gateways together may hold this many connections on a server in any case, where each is taken to have held
/// this many more than it did: one that has just begun, or one of a hundred, cannot tell an idle fleet.
const LEAST_HELD: f64 = 15.0;
const LIKELY_HELD: f64 = 5.0;

/// A server that is left.
struct Left {
    hash: u32,
    /// The part of all work that it can carry.
    room: f64,
    /// The part of all keys that it may take while it is cold.
    most: f64,
    /// The part of the keys that come to it from servers that are lost which it takes.
    part: f64,
}

/// How the keys of lost servers are shared out, if they are.
#[derive(Default)]
pub struct KeyRedistribution {
    /// The weight of all servers as it usually is.
    usual: f64,
    /// What this gateway held lately, at the most.
    held: f64,
    /// While too few are left, the hashes of all that the work was made for.
    made_for: Vec<u32>,
}

/// Whether the server takes a key where it takes a part of them.
pub fn accepts_key_part(hash: u32, key: u32, part: f64) -> bool {
    unit_interval(hash ^ key.rotate_left(8)) < part
}

impl KeyRedistribution {
    /// Whether the server takes the key: all do where nothing is shared out, and its own it keeps in any case.
    pub fn accepts_key(&self, server: &Server, key: u32) -> bool {
        self.made_for.is_empty()
            || accepts_key_part(server.hash, key, server.redistribution_ratio)
            || preferred_server(&self.made_for, key) == Some(server.hash)
    }

    /// A second has passed.
    pub fn fade(&mut self, fleet: &Fleet) {
        self.usual += USUAL_FADES * (fleet.totals.available_weight - self.usual);
        self.held = f64::max(self.held * (1.0 - USUAL_FADES), fleet.totals.connections);
    }

    /// KeyRedistribution the keys out anew, or no longer. `lost` is the weight that was just found to be gone without notice:
    /// servers that drain leave their work in good order. Gives whether that began or widened it.
    pub fn redistribute(
        &mut self,
        fleet: &mut Fleet,
        now: Timestamp,
        settings: &Settings,
        lost: f64,
    ) -> bool {
        self.usual = self.usual.max(fleet.totals.available_weight);
        let lost = lost > LOSS * self.usual;
        if !lost && self.made_for.is_empty() {
            return false;
        }
        let cold_for = settings.slow_start_duration.as_secs_f64().max(1e-9);
        let least =
            LEAST_HELD / (f64::from(settings.node_count.max(1)) * (self.held + LIKELY_HELD));
        // SlowStartBudget servers are filled over their warm-up.
        let filled = |server: &Server| {
            server.started_at.map_or(1.0, |started| {
                (now.saturating_duration_since(started).as_secs_f64() / cold_for).min(1.0)
            })
        };
        let known = fleet.servers.slots().into_iter();
        let known = known
            .filter_map(|at| Some((at, fleet.servers.get(at)?)))
            .collect::<Vec<_>>();
        let counts =
            |server: &Server| server.health == Health::Ready && server.ejected_until.is_none();
        let there = known.iter().filter(|(_, server)| counts(server));
        let (slots, mut left): (Vec<ServerSlot>, Vec<Left>) = there
            .map(|(at, server)| {
                let room =
                    f64::max(ROOM * server.weight / self.usual.max(1e-9), least) * filled(server);
                let most = if server.is_warming_up {
                    server.slow_start_ratio
                } else {
                    1.0
                };
                (
                    *at,
                    Left {
                        hash: server.hash,
                        room,
                        most,
                        part: 1.0,
                    },
                )
            })
            .unzip();
        let short = left.iter().map(|server| server.room).sum::<f64>() < LEFT * ROOM
            && known.len() <= MOST_SERVERS;
        self.made_for = known
            .iter()
            .filter(|_| short)
            .map(|(_, server)| server.hash)
            .collect();
        if short {
            fit_to_room(&self.made_for, &mut left);
        }
        for (at, left) in slots.into_iter().zip(left) {
            fleet.update(at, |server| server.redistribution_ratio = left.part);
        }
        short && lost
    }
}

/// The server whose key it is while all are there: the highest score.
fn preferred_server(all: &[u32], key: u32) -> Option<u32> {
    all.iter()
        .copied()
        .max_by_key(|hash| rank_score(*hash, key))
}

/// Sets the part of each server that is left so that none gets more than its room: `all` are the hashes of the
/// servers that the work was made for. Its own keys it keeps in any case.
fn fit_to_room(all: &[u32], left: &mut [Left]) {
    let samples = (SAMPLES * left.len()).clamp(1, MOST_SAMPLES);
    let keys = (0..samples as u32).map(|sample| murmur(&sample.to_le_bytes(), SAMPLE_SEED));
    /// A key, whose it is, and the scores and places of those that are left, best first.
    type Walk = (u32, Option<u32>, Vec<(u32, usize)>);
    let walks: Vec<Walk> = keys
        .map(|key| {
            let scored = left
                .iter()
                .enumerate()
                .map(|(at, server)| (rank_score(server.hash, key), at));
            let mut order: Vec<(u32, usize)> = scored.collect();
            order.sort_unstable_by_key(|(score, _)| Reverse(*score));
            (key, preferred_server(all, key), order)
        })
        .collect();
    left.iter_mut().for_each(|server| server.part = 1.0);
    for _ in 0..ROUNDS {
        let mut got = vec![(0.0, 0.0); left.len()];
        for (key, home, order) in &walks {
            let own = |hash| *home == Some(hash);
            let lets = |(_, at): &&(u32, usize)| {
                left.get(*at).is_some_and(|server| {
                    let part = if own(server.hash) { 1.0 } else { server.part };
                    accepts_key_part(server.hash, *key, part.min(server.most))
                })
            };
            let Some((_, at)) = order.iter().find(lets) else {
                continue;
            };
            let (Some(got), Some(server)) = (got.get_mut(*at), left.get(*at)) else {
                continue;
            };
            *(if own(server.hash) {
                &mut got.0
            } else {
                &mut got.1
            }) += 1.0 / samples as f64;
        }
        for (server, (own, others)) in left.iter_mut().zip(got) {
            let due = (server.room - own).max(0.0) / f64::max(others, 1e-9);
            // What all others refuse comes to one that takes all: in small steps up, or that changes by the round.
            server.part = (server.part * due.sqrt().min(1.2)).min(1.0);
        }
    }
}

#[cfg(test)]
mod tests;
