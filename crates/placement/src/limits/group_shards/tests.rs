use super::*;
use std::collections::BTreeSet;

#[test]
fn the_first_shard_has_the_key_of_its_group_and_others_have_keys_of_their_own() {
    assert_eq!(shard_key(7, 0), 7);
    let keys: BTreeSet<u32> = (0..50).map(|shard| shard_key(7, shard)).collect();
    assert_eq!(keys.len(), 50);
    assert_ne!(shard_key(7, 1), shard_key(8, 1));
}

#[test]
fn only_servers_in_slow_start_are_ranked_by_the_shard() {
    let keys = RankingKeys {
        warm: 3,
        slow_start: 5,
    };
    let mut server = Server {
        hash: 11,
        ..Server::default()
    };
    assert!(keys.is_divided());
    assert_eq!(keys.score(&server), rank_score(11, 3));
    server.slow_start.is_active = true;
    assert_eq!(keys.score(&server), rank_score(11, 5));
    assert!(!RankingKeys::undivided(3).is_divided());
}
