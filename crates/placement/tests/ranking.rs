//! Ranking: hashes, the product score, ties, keys, and the fallback to the next-highest score.

mod common;
use common::*;
use lupincrank_placement::*;
use std::collections::HashMap;

/// An independent implementation of `MurmurHash3` `x86_32`, written from its description, to check the crate's hashes.
fn reference_hash(data: &[u8], seed: u32) -> u32 {
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

fn highest_ranked(names: &[&str], key: &str) -> String {
    let score = |name: &str| {
        reference_hash(name.as_bytes(), 165_233)
            .wrapping_mul(reference_hash(key.as_bytes(), 845_219))
    };
    names
        .iter()
        .max_by(|a, b| score(a).cmp(&score(b)).then(b.cmp(a)))
        .unwrap()
        .to_string()
}

fn selected_server(names: &[&str], info: RequestInfo) -> String {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), names);
    let id = info.request.0;
    harness.receive(info);
    harness.server_of(id).unwrap()
}

#[test]
fn hashes_equal_the_reference_with_their_seeds() {
    assert_eq!(reference_hash(b"", 0), 0);
    assert_eq!(reference_hash(b"", 1), 0x514e_28b7);
    assert_eq!(reference_hash(b"\0\0\0\0", 0), 0x2362_f9de);
    assert_eq!(reference_hash(b"hello", 0), 0x248b_fa47);
    assert_eq!(
        reference_hash(b"The quick brown fox jumps over the lazy dog", 0x9747_b28c),
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
            reference_hash(text.as_bytes(), 165_233)
        );
        assert_eq!(key_hash(text), reference_hash(text.as_bytes(), 845_219));
    }
    assert_eq!(rank_score(0x8000_0001, 6), 6);
}

#[test]
fn the_server_with_the_highest_score_is_selected() {
    for n in 0..200 {
        let key = format!("user:{n}");
        assert_eq!(
            selected_server(&NAMES, request(1, &key, 5_000 * MS)),
            highest_ranked(&NAMES, &key)
        );
    }
}

#[test]
fn equal_scores_go_to_the_lower_server_id() {
    // For a key whose hash ends in 12 zero bits, the score depends only on the low 20 bits of a server's hash.
    let key = (0..1_000_000)
        .map(|n| format!("k{n}"))
        .find(|key| key_hash(key).is_multiple_of(4096) && key_hash(key) != 0)
        .unwrap();
    let mut seen: HashMap<u32, String> = HashMap::new();
    let (first, second) = (0..1_000_000)
        .find_map(|n| {
            let name = format!("s{n}");
            let low = server_hash(&name.as_str().into()) & 0xf_ffff;
            seen.insert(low, name.clone())
                .map(|earlier| (earlier, name))
        })
        .unwrap();
    let lower = first.clone().min(second.clone());
    assert_eq!(
        selected_server(&[&first, &second], request(1, &key, 5_000 * MS)),
        lower
    );
    assert_eq!(
        selected_server(&[&second, &first], request(1, &key, 5_000 * MS)),
        lower
    );
}

#[test]
fn the_group_key_has_precedence_over_the_client_key() {
    let mut info = request(1, "client", 5_000 * MS);
    info.group = Some("c:team".into());
    assert_eq!(
        selected_server(&NAMES, info),
        highest_ranked(&NAMES, "c:team")
    );
}

#[test]
fn a_request_without_any_key_is_placed() {
    let mut info = request(1, "", 5_000 * MS);
    info.key = None;
    assert!(NAMES.contains(&selected_server(&NAMES, info).as_str()));
}

#[test]
fn removing_a_server_moves_only_its_own_keys() {
    for n in 0..200 {
        let key = format!("user:{n}");
        let before = selected_server(&NAMES, request(1, &key, 5_000 * MS));
        let after = selected_server(&NAMES[1..], request(1, &key, 5_000 * MS));
        assert!(before == after || before == NAMES[0]);
    }
}

#[test]
fn a_rejected_or_unconnected_attempt_is_retried_at_the_next_highest_score() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::with_servers(settings(RetrySafety::NotIdempotent), &NAMES);
        harness.receive(request(1, "user:7", 9_000 * MS));
        let mut remaining: Vec<&str> = NAMES.to_vec();
        for _ in 0..3 {
            let expected = highest_ranked(&remaining, "user:7");
            assert_eq!(harness.server_of(1).unwrap(), expected);
            remaining.retain(|name| *name != expected);
            harness.end_attempt(1, outcome);
        }
    }
}

#[test]
fn a_timed_out_attempt_is_retried_but_a_lost_established_connection_is_not() {
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &NAMES);
    harness.receive(request(1, "user:7", 9_000 * MS));
    harness.end_attempt(1, Outcome::TimedOut);
    assert_eq!(harness.requests[&1].attempts.len(), 2);
    harness.establish(1);
    harness.end_attempt(1, Outcome::Reset);
    assert_eq!(harness.requests[&1].attempts.len(), 2);
    assert_eq!(harness.requests[&1].final_answer_count, 1);
    // After an error on an established connection that does not finish the request, the balancer fails the request.
    harness.receive(request(2, "user:8", 9_000 * MS));
    harness.establish(2);
    harness.end_attempt(2, Outcome::Error);
    assert_eq!(harness.last_actions, vec![Action::Fail(RequestId(2))]);
}

#[test]
fn mid_flow_requests_reach_a_draining_server_within_the_grace_period_only() {
    let key = "user:7";
    let holder = highest_ranked(&NAMES, key);
    let mut harness = Harness::with_servers(settings(RetrySafety::Idempotent), &NAMES);
    harness.change_endpoint(Endpoint {
        health: Health::Draining,
        ..endpoint(&holder)
    });
    let mid_flow = |id, now: u64| RequestInfo {
        is_mid_flow: true,
        ..request(id, key, now + 3_000 * MS)
    };
    harness.receive(mid_flow(1, harness.now));
    assert_eq!(harness.server_of(1).unwrap(), holder);
    harness.receive(request(2, key, harness.now + 3_000 * MS));
    assert_ne!(harness.server_of(2).unwrap(), holder);
    harness.advance_ms(600);
    harness.receive(mid_flow(3, harness.now));
    assert_ne!(harness.server_of(3).unwrap(), holder);
}

/// The usual selection in a large fleet: the highest score of all servers, ties to the lower id.
#[test]
fn the_highest_score_of_150_servers_is_selected() {
    let names: Vec<String> = (0..150).map(|n| format!("10.0.{n}.7:9000")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut harness = Harness::with_servers(
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
        harness.receive(request(id, &key, harness.now + 3_000 * MS));
        assert_eq!(harness.server_of(id).as_deref(), best);
        harness.establish(id);
        harness.end_attempt(id, Outcome::Served);
    }
}
