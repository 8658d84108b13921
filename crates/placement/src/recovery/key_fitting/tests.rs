use super::*;

/// `lost` of `all` servers are gone: the most that one of the rest gets of the keys, and what all get, both in
/// parts of what they are taken to carry.
fn shared(all: u32, lost: u32, seed: u32, shares: bool) -> (f64, f64) {
    let hashes: Vec<u32> = (0..all).map(|n| murmur(&n.to_le_bytes(), seed)).collect();
    let room = CAPACITY_RATIO / f64::from(all);
    let rest = hashes.iter().skip(lost as usize);
    let mut left: Vec<RemainingServer> = rest
        .map(|hash| RemainingServer {
            hash: *hash,
            capacity: room,
            max_ratio: 1.0,
            extra_ratio: 1.0,
        })
        .collect();
    if shares {
        fit_to_capacity(&hashes, &mut left);
    }
    let mut got = vec![0.0; left.len()];
    let mut own = vec![0.0; left.len()];
    for key in (0..4_000u32).map(|key| murmur(&key.to_le_bytes(), seed ^ 5)) {
        let home = preferred_server(&hashes, key);
        let lets = |(_, server): &(usize, &RemainingServer)| {
            home == Some(server.hash) || accepts_key_ratio(server.hash, key, server.extra_ratio)
        };
        let best = left.iter().enumerate().filter(lets);
        if let Some((at, server)) = best.max_by_key(|(_, server)| rank_score(server.hash, key)) {
            got[at] += 1.0 / 4_000.0 / room;
            own[at] += if home == Some(server.hash) {
                1.0 / 4_000.0 / room
            } else {
                0.0
            };
        }
    }
    let most = got
        .iter()
        .zip(&own)
        .map(|(got, own)| got / f64::max(*own, 1.0));
    (
        most.fold(0.0, f64::max),
        got.iter().sum::<f64>() / got.len() as f64,
    )
}

#[test]
fn what_is_left_gets_no_more_than_it_carries_and_little_less() {
    for (all, lost, bound) in [(12, 8, 1.45), (60, 40, 1.8)] {
        let mut uneven = 0.0;
        for seed in 0..10 {
            let (most, whole) = shared(all, lost, seed, true);
            assert!(
                most < bound,
                "{lost} of {all}, seed {seed}: one gets {most:.2} of what it carries"
            );
            assert!(
                whole > 0.8,
                "{lost} of {all}, seed {seed}: only {whole:.2} of what is carried"
            );
            uneven = f64::max(uneven, shared(all, lost, seed, false).0);
        }
        assert!(
            uneven > 2.0,
            "{lost} of {all}: {uneven:.2} at the most without shares"
        );
    }
}
