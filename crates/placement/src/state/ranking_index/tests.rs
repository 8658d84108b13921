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
        let mut order = RankingIndex::default();
        let mut there: Vec<(u32, ServerSlot)> = Vec::new();
        for number in 0..draw(200) {
            let slot = table.insert(format!("s-{number}").as_str().into(), ());
            let hash = draw(50);
            order.add(hash, slot);
            there.push((hash, slot));
            if draw(4) == 0 {
                let gone = there.swap_remove(draw(there.len() as u32) as usize);
                order.remove(gone.1);
            }
        }
        let (key, count) = (draw(1000), draw(70) as usize);
        let left = |slot: ServerSlot| table.id(slot).is_some_and(|id| !id.0.ends_with('7'));
        let found = order.best(
            count,
            |hash| hash * key,
            std::iter::empty(),
            left,
            |a, b| a < b,
        );
        let mut all: Vec<(u32, ServerSlot)> = there
            .iter()
            .filter(|(_, slot)| left(*slot))
            .map(|(hash, slot)| (hash * key, *slot))
            .collect();
        all.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        all.truncate(count);
        assert_eq!(found, all, "seed {seed}");
        assert_eq!(order.len(), there.len(), "seed {seed}");
    }
}
/// Against sorting everything and turning it round.
#[test]
fn a_walk_meets_what_a_sorted_and_turned_row_shows_first() {
    for seed in 0..60 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut table: ServerTable<()> = ServerTable::default();
        let mut draw = |most: u32| random.next_u32() % most;
        let mut all: Vec<(usize, u32, ServerSlot)> = Vec::new();
        for number in 0..=draw(30) {
            let slot = table.insert(format!("s-{number}").as_str().into(), ());
            all.push((draw(3) as usize, draw(12), slot));
        }
        let mut sorted = all.clone();
        sorted.sort_by(|a, b| b.1.cmp(&a.1).then(a.2.cmp(&b.2)));
        let start = draw(sorted.len() as u32) as usize;
        let mut walk = CandidateScan::<3>::from(Some((sorted[start].1, sorted[start].2)));
        all.iter()
            .for_each(|(sort, score, slot)| walk.meet(*sort, *score, *slot, |a, b| a < b));
        sorted.rotate_left(start);
        for sort in 0..3 {
            let first = sorted.iter().find(|one| one.0 == sort).map(|one| one.2);
            assert_eq!(walk.first(sort), first, "seed {seed}");
        }
    }
}
