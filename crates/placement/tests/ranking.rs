//! The ordinary path: hashes, the product score, ties, keys, and the walk to the next-highest score.

mod common;
use common::*;
use lupincrank_placement::*;
use std::collections::HashMap;

/// `MurmurHash3` `x86_32` once more, written from its description, to check the hashes in use.
fn reference(data: &[u8], seed: u32) -> u32 {
    let mix = |k: u32| {
        k.wrapping_mul(0xcc9e_2d51)
            .rotate_left(15)
            .wrapping_mul(0x1b87_3593)
    };
    let mut h = seed;
    let chunks = data.chunks_exact(4);
    let tail = chunks.remainder();
    for chunk in chunks {
        h ^= mix(u32::from_le_bytes(chunk.try_into().unwrap()));
        h = h.rotate_left(13).wrapping_mul(5).wrapping_add(0xe654_6b64);
    }
    if !tail.is_empty() {
        let k = tail
            .iter()
            .rev()
            .fold(0u32, |k, byte| (k << 8) | u32::from(*byte));
        h ^= mix(k);
    }
    h ^= data.len() as u32;
    h = (h ^ (h >> 16)).wrapping_mul(0x85eb_ca6b);
    h = (h ^ (h >> 13)).wrapping_mul(0xc2b2_ae35);
    h ^ (h >> 16)
}

const NAMES: [&str; 6] = [
    "10.0.0.1:80",
    "10.0.0.2:80",
    "10.0.0.3:80",
    "10.0.0.4:80",
    "10.0.0.5:80",
    "10.0.0.6:80",
];

fn top(names: &[&str], key: &str) -> String {
    let score = |name: &str| {
        reference(name.as_bytes(), 165_233).wrapping_mul(reference(key.as_bytes(), 845_219))
    };
    names
        .iter()
        .max_by(|a, b| score(a).cmp(&score(b)).then(b.cmp(a)))
        .unwrap()
        .to_string()
}

fn placed(names: &[&str], incoming: RequestInfo) -> String {
    let mut world = World::with_servers(settings(RetrySafety::Idempotent), names);
    let id = incoming.request.0;
    world.ask(incoming);
    world.at(id).unwrap()
}

#[test]
fn known_vectors_and_seeds() {
    assert_eq!(reference(b"", 0), 0);
    assert_eq!(reference(b"", 1), 0x514e_28b7);
    assert_eq!(reference(b"\0\0\0\0", 0), 0x2362_f9de);
    assert_eq!(reference(b"hello", 0), 0x248b_fa47);
    assert_eq!(
        reference(b"The quick brown fox jumps over the lazy dog", 0x9747_b28c),
        0x2fa8_26cd
    );
    for text in [
        "",
        "a",
        "ab",
        "abc",
        "abcd",
        "10.18.74.7:9003",
        "user:kd6b5sum7ecwe",
    ] {
        assert_eq!(
            server_hash(&text.into()),
            reference(text.as_bytes(), 165_233)
        );
        assert_eq!(key_hash(text), reference(text.as_bytes(), 845_219));
    }
    assert_eq!(rank_score(0x8000_0001, 6), 6);
}

#[test]
fn the_highest_product_wins() {
    for n in 0..200 {
        let key = format!("user:{n}");
        assert_eq!(
            placed(&NAMES, request(1, &key, 5_000 * MS)),
            top(&NAMES, &key)
        );
    }
}

#[test]
fn equal_scores_go_to_the_lower_id() {
    // A key whose hash ends in 12 zero bits sees only the low 20 bits of a server's hash.
    let key = (0..)
        .map(|n| format!("k{n}"))
        .find(|key| key_hash(key).is_multiple_of(4096) && key_hash(key) != 0)
        .unwrap();
    let mut seen: HashMap<u32, String> = HashMap::new();
    let (first, second) = (0..)
        .find_map(|n| {
            let name = format!("s{n}");
            let low = server_hash(&name.as_str().into()) & 0xf_ffff;
            seen.insert(low, name.clone())
                .map(|earlier| (earlier, name))
        })
        .unwrap();
    let lower = first.clone().min(second.clone());
    assert_eq!(
        placed(&[&first, &second], request(1, &key, 5_000 * MS)),
        lower
    );
    assert_eq!(
        placed(&[&second, &first], request(1, &key, 5_000 * MS)),
        lower
    );
}

#[test]
fn the_group_key_goes_before_the_client_key() {
    let mut incoming = request(1, "client", 5_000 * MS);
    incoming.group = Some("c:team".into());
    assert_eq!(placed(&NAMES, incoming), top(&NAMES, "c:team"));
}

#[test]
fn a_request_without_any_key_is_placed() {
    let mut incoming = request(1, "", 5_000 * MS);
    incoming.key = None;
    assert!(NAMES.contains(&placed(&NAMES, incoming).as_str()));
}

#[test]
fn removing_a_server_moves_only_its_own_keys() {
    for n in 0..200 {
        let key = format!("user:{n}");
        let before = placed(&NAMES, request(1, &key, 5_000 * MS));
        let after = placed(&NAMES[1..], request(1, &key, 5_000 * MS));
        assert!(before == after || before == NAMES[0]);
    }
}

#[test]
fn a_refused_or_unconnected_send_goes_to_the_next_highest() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut world = World::with_servers(settings(RetrySafety::NotIdempotent), &NAMES);
        world.ask(request(1, "user:7", 9_000 * MS));
        let mut left: Vec<&str> = NAMES.to_vec();
        for _ in 0..3 {
            let expected = top(&left, "user:7");
            assert_eq!(world.at(1).unwrap(), expected);
            left.retain(|name| *name != expected);
            world.ends(1, outcome);
        }
    }
}

#[test]
fn a_time_out_goes_on_but_a_break_of_a_standing_connection_does_not() {
    let mut world = World::with_servers(settings(RetrySafety::Idempotent), &NAMES);
    world.ask(request(1, "user:7", 9_000 * MS));
    world.ends(1, Outcome::TimedOut);
    assert_eq!(world.books[&1].attempts.len(), 2);
    world.stands(1);
    world.ends(1, Outcome::Reset);
    assert_eq!(world.books[&1].attempts.len(), 2);
    assert_eq!(world.books[&1].finals, 1);
    // An error after it stood, without the end being said: the balancer still owes the answer, and fails it.
    world.ask(request(2, "user:8", 9_000 * MS));
    world.stands(2);
    world.ends(2, Outcome::Error);
    assert_eq!(world.last, vec![Action::Fail(RequestId(2))]);
}

#[test]
fn mid_flow_reaches_a_draining_holder_within_the_grace_only() {
    let key = "user:7";
    let holder = top(&NAMES, key);
    let mut world = World::with_servers(settings(RetrySafety::Idempotent), &NAMES);
    world.change(Endpoint {
        health: Health::Draining,
        ..listed(&holder)
    });
    let mid_flow = |id, now: u64| RequestInfo {
        is_mid_flow: true,
        ..request(id, key, now + 3_000 * MS)
    };
    world.ask(mid_flow(1, world.now));
    assert_eq!(world.at(1).unwrap(), holder);
    world.ask(request(2, key, world.now + 3_000 * MS));
    assert_ne!(world.at(2).unwrap(), holder);
    world.advance(world.now + 600 * MS);
    world.ask(mid_flow(3, world.now));
    assert_ne!(world.at(3).unwrap(), holder);
}

/// The ordinary path at the size of a large fleet: the highest score of all, ties to the lower id.
#[test]
fn the_highest_of_150_servers_takes_a_key() {
    let names: Vec<String> = (0..150).map(|n| format!("10.0.{n}.7:9000")).collect();
    let names: Vec<&str> = names.iter().map(std::string::String::as_str).collect();
    let mut world = World::with_servers(
        Settings {
            node_count: 900,
            ..settings(RetrySafety::Idempotent)
        },
        &names,
    );
    for id in 0..30 {
        let key = format!("user:{id}");
        let score = |name: &str| rank_score(server_hash(&name.into()), key_hash(&key));
        let best = names
            .iter()
            .copied()
            .max_by_key(|name| (score(name), std::cmp::Reverse(*name)));
        world.ask(request(id, &key, world.now + 3_000 * MS));
        assert_eq!(world.at(id).as_deref(), best);
        world.stands(id);
        world.ends(id, Outcome::Served);
    }
}
