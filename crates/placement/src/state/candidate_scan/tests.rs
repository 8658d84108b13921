use super::*;
use crate::state::server_table::ServerTable;
use rand_core::{RngCore, SeedableRng};

/// Compares the scan with a sorted list of all servers, rotated to the start.
#[test]
fn a_scan_finds_the_first_server_of_each_tier_in_the_sorted_and_rotated_list() {
    for seed in 0..60 {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut table: ServerTable<()> = ServerTable::default();
        let mut draw = |bound: u32| rng.next_u32() % bound;
        let mut all: Vec<(usize, u32, ServerSlot)> = Vec::new();
        for number in 0..=draw(30) {
            let slot = table.insert(format!("s-{number}").as_str().into(), ());
            all.push((draw(3) as usize, draw(12), slot));
        }
        let mut sorted = all.clone();
        sorted.sort_by(|a, b| b.1.cmp(&a.1).then(a.2.cmp(&b.2)));
        let start = draw(sorted.len() as u32) as usize;
        let ranked = |score, slot| RankedServer { score, slot };
        let first = ranked(sorted[start].1, sorted[start].2);
        let mut scan = CandidateScan::<3>::starting_at(Some(first));
        for (tier, score, slot) in &all {
            scan.offer(*tier, ranked(*score, *slot), |a, b| a < b);
        }
        sorted.rotate_left(start);
        for tier in 0..3 {
            let first = sorted
                .iter()
                .find(|entry| entry.0 == tier)
                .map(|entry| entry.2);
            assert_eq!(scan.first(tier), first, "seed {seed}");
        }
    }
}
