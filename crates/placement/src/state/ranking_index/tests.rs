use super::*;
use crate::state::server_table::ServerTable;
use rand_core::{RngCore, SeedableRng};

/// Against sorting everything, with hashes of few values so that scores are often equal.
#[test]
fn the_best_are_those_that_sorting_all_would_give() {
    for seed in 0..60 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut draw = |most: u32| random.next_u32() % most;
        let mut table: ServerTable<()> = ServerTable::default();
        let mut index = RankingIndex::default();
        let mut there: Vec<(u32, ServerSlot)> = Vec::new();
        for number in 0..draw(200) {
            let slot = table.insert(format!("s-{number}").as_str().into(), ());
            let hash = draw(50);
            index.add(hash, slot);
            there.push((hash, slot));
            if draw(4) == 0 {
                let gone = there.swap_remove(draw(there.len() as u32) as usize);
                index.remove(gone.1);
            }
        }
        let (key, count) = (draw(1000), draw(70) as usize);
        let left = |slot: ServerSlot| table.id(slot).is_some_and(|id| !id.0.ends_with('7'));
        let found = index.best(
            count,
            |hash| hash * key,
            std::iter::empty(),
            left,
            |a, b| a < b,
        );
        let mut all: Vec<RankedServer> = there
            .iter()
            .filter(|(_, slot)| left(*slot))
            .map(|(hash, slot)| RankedServer {
                score: hash * key,
                slot: *slot,
            })
            .collect();
        all.sort_by(|a, b| b.score.cmp(&a.score).then(a.slot.cmp(&b.slot)));
        all.truncate(count);
        assert_eq!(found, all, "seed {seed}");
        assert_eq!(index.len(), there.len(), "seed {seed}");
    }
}
