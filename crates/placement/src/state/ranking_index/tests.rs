use super::*;
use crate::state::server_table::ServerTable;
use rand_core::{RngCore, SeedableRng};

/// Compares the index with a sorted list of all servers. Hashes have few values, so that scores are often equal.
#[test]
fn the_best_servers_are_those_of_a_full_sort() {
    for seed in 0..60 {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut draw = |bound: u32| rng.next_u32() % bound;
        let mut table: ServerTable<()> = ServerTable::default();
        let mut index = RankingIndex::default();
        let mut indexed: Vec<(u32, ServerSlot)> = Vec::new();
        for number in 0..draw(200) {
            let slot = table.insert(format!("s-{number}").as_str().into(), ());
            let hash = draw(50);
            index.add(hash, slot);
            indexed.push((hash, slot));
            if draw(4) == 0 {
                let removed = indexed.swap_remove(draw(indexed.len() as u32) as usize);
                index.remove(removed.1);
            }
        }
        let (key, count) = (draw(1000), draw(70) as usize);
        let accepts = |slot: ServerSlot| table.id(slot).is_some_and(|id| !id.0.ends_with('7'));
        let best = index.best(
            count,
            |hash| hash * key,
            std::iter::empty(),
            accepts,
            |a, b| a < b,
        );
        let mut expected: Vec<RankedServer> = indexed
            .iter()
            .filter(|(_, slot)| accepts(*slot))
            .map(|(hash, slot)| RankedServer {
                score: hash * key,
                slot: *slot,
            })
            .collect();
        expected.sort_by(|a, b| b.score.cmp(&a.score).then(a.slot.cmp(&b.slot)));
        expected.truncate(count);
        assert_eq!(best, expected, "seed {seed}");
        assert_eq!(index.len(), indexed.len(), "seed {seed}");
    }
}
