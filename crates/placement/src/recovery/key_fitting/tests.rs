use super::*;

/// Assigns keys after the loss of `lost_count` of `server_count` servers, and returns the peak and the mean load of
/// the remaining servers as fractions of their capacity. In the peak, a server's own keys count as capacity if they
/// exceed it.
fn peak_and_mean_load(
    server_count: u32,
    lost_count: u32,
    seed: u32,
    is_fitted: bool,
) -> (f64, f64) {
    let hashes: Vec<u32> = (0..server_count)
        .map(|n| murmur(&n.to_le_bytes(), seed))
        .collect();
    let capacity_per_server = CAPACITY_RATIO / f64::from(server_count);
    let remaining_hashes = hashes.iter().skip(lost_count as usize);
    let mut remaining: Vec<RemainingServer> = remaining_hashes
        .map(|hash| RemainingServer {
            hash: *hash,
            capacity: capacity_per_server,
            max_ratio: 1.0,
            extra_ratio: 1.0,
        })
        .collect();
    if is_fitted {
        fit_to_capacity(&hashes, &mut remaining);
    }
    let mut received = vec![0.0; remaining.len()];
    let mut own = vec![0.0; remaining.len()];
    for key in (0..4_000u32).map(|key| murmur(&key.to_le_bytes(), seed ^ 5)) {
        let preferred = preferred_server(&hashes, key);
        let accepts = |(_, server): &(usize, &RemainingServer)| {
            preferred == Some(server.hash)
                || accepts_key_ratio(server.hash, key, server.extra_ratio)
        };
        let best = remaining.iter().enumerate().filter(accepts);
        if let Some((index, server)) = best.max_by_key(|(_, server)| rank_score(server.hash, key)) {
            received[index] += 1.0 / 4_000.0 / capacity_per_server;
            own[index] += if preferred == Some(server.hash) {
                1.0 / 4_000.0 / capacity_per_server
            } else {
                0.0
            };
        }
    }
    let relative_loads = received
        .iter()
        .zip(&own)
        .map(|(received, own)| received / f64::max(*own, 1.0));
    (
        relative_loads.fold(0.0, f64::max),
        received.iter().sum::<f64>() / received.len() as f64,
    )
}

#[test]
fn remaining_servers_receive_about_their_capacity() {
    for (server_count, lost_count, bound) in [(12, 8, 1.45), (60, 40, 1.8)] {
        let mut unfitted_peak = 0.0;
        for seed in 0..10 {
            let (peak, mean) = peak_and_mean_load(server_count, lost_count, seed, true);
            assert!(
                peak < bound,
                "{lost_count} of {server_count}, seed {seed}: peak load is {peak:.2} of a server's capacity"
            );
            assert!(
                mean > 0.8,
                "{lost_count} of {server_count}, seed {seed}: mean load is only {mean:.2} of the capacity"
            );
            unfitted_peak = f64::max(
                unfitted_peak,
                peak_and_mean_load(server_count, lost_count, seed, false).0,
            );
        }
        assert!(
            unfitted_peak > 2.0,
            "{lost_count} of {server_count}: peak load without fitting is {unfitted_peak:.2}"
        );
    }
}
