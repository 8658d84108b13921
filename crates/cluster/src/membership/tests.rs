use super::*;
use crate::membership::datagram::HEADER_BYTES;
use crate::membership::runtime::MAX_REJOINS_PER_WINDOW;
use crate::PROTOCOL_VERSION;
use proptest::prelude::*;
use rstest::rstest;

fn identity(number: u16, incarnation: u64, started_at_ms: u64) -> Identity {
    Identity {
        name: format!("n{number}"),
        incarnation,
        started_at_ms,
        generation: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number)),
        zone: "a".into(),
        region: String::new(),
        build: "0.1".into(),
        settings_hash: 0,
    }
}

fn seed_node(number: u16) -> SeedNode {
    SeedNode {
        name: format!("n{number}"),
        address: identity(number, 0, 0).address,
    }
}

fn config(cluster_tag: u32, random_seed: u64, seed_nodes: Vec<SeedNode>) -> MembershipConfig {
    MembershipConfig {
        cluster_tag,
        expected_node_count: 3,
        random_seed,
        seed_nodes,
    }
}

fn member(number: u16, incarnation: u64, started_at_ms: u64, cluster_tag: u32) -> Membership {
    let seed_nodes = (0..3).map(seed_node).collect();
    Membership::new(
        identity(number, incarnation, started_at_ms),
        config(cluster_tag, incarnation, seed_nodes),
    )
}

/// The first members of cluster 5, without news of each other yet.
fn members(count: u16) -> Vec<Membership> {
    (0..count)
        .map(|number| member(number, 100 + u64::from(number), 1, 5))
        .collect()
}

/// Time for all of them; what `is_lost` selects does not get through, from the first to the second.
fn run(
    all: &mut [Membership],
    from: Duration,
    to: Duration,
    is_lost: impl Fn(usize, usize) -> bool,
) -> Vec<(usize, MembershipOutput)> {
    let (mut now, mut outputs) = (from, Vec::new());
    while now < to {
        now += Duration::from_millis(10);
        for n in 0..all.len() {
            all[n].on_deadline(now);
            while let Some(out) = all[n].next_output() {
                let MembershipOutput::Datagram { to: at, bytes } = out else {
                    outputs.push((n, out));
                    continue;
                };
                let to: Vec<usize> = (0..all.len())
                    .filter(|to| all[*to].local_identity().address == at && *to != n)
                    .collect();
                to.into_iter()
                    .filter(|to| !is_lost(n, *to))
                    .for_each(|to| all[to].on_datagram(now, &bytes));
            }
        }
    }
    outputs
}

const SECONDS: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn a_dead_member_is_detected_and_rejoins_under_its_incarnation() {
    let mut all = members(3);
    run(&mut all, SECONDS(0), SECONDS(3), |_, _| false);
    assert!(all.iter().all(|one| one.alive().count() == 2));
    // The last one is cut off both ways for long enough to be declared dead.
    let outputs = run(&mut all, SECONDS(3), SECONDS(12), |from, to| {
        from == 2 || to == 2
    });
    assert!(outputs.iter().any(|(n, out)| *n == 0
        && matches!(out, MembershipOutput::MemberDown(who) if who.incarnation == 102)));
    let outputs = run(&mut all, SECONDS(12), SECONDS(20), |_, _| false);
    assert!(
        outputs
            .iter()
            .any(|(n, out)| *n == 2 && matches!(out, MembershipOutput::Rejoined { generation: 1 })),
        "{outputs:?}"
    );
    assert!(all[0]
        .alive()
        .any(|who| who.incarnation == 102 && who.generation == 1));
}

/// All learn of the later incarnation, and the earlier one yields instead of rejoining each time it is refused.
#[test]
fn the_earlier_incarnation_of_a_name_yields() {
    let mut all = members(3);
    run(&mut all, SECONDS(0), SECONDS(3), |_, _| false);
    let other = Identity {
        address: identity(7, 0, 0).address,
        ..identity(1, 300, 2)
    };
    all.push(Membership::new(other, config(5, 300, vec![seed_node(0)])));
    let outputs = run(&mut all, SECONDS(3), SECONDS(20), |_, _| false);
    let of_earlier = |out: &MembershipOutput| {
        outputs
            .iter()
            .filter(|(n, seen)| *n == 1 && seen == out)
            .count()
    };
    assert_eq!(of_earlier(&MembershipOutput::Replaced), 1, "{outputs:?}");
    assert!(
        all[1].local_identity().generation <= 1 + MAX_REJOINS_PER_WINDOW,
        "{} returns",
        all[1].local_identity().generation
    );
    assert!(
        all[0].alive().any(|who| who.incarnation == 300)
            && all[0].alive().all(|who| who.incarnation != 101)
    );
}

#[test]
fn a_leaving_member_is_down_at_once_and_stays_so() {
    let mut all = members(3);
    run(&mut all, SECONDS(0), SECONDS(3), |_, _| false);
    all[1].leave(SECONDS(3));
    run(&mut all, SECONDS(3), SECONDS(5), |_, _| false);
    assert!([0, 2].iter().all(|n| all[*n].alive().count() == 1));
}

/// A node that leaves logged that a later process of its name had started. The membership library reports its own `leave`
/// as `Defunct`, the same notification as for an identity that was taken over.
#[test]
fn a_member_that_leaves_is_not_told_that_it_was_replaced() {
    let mut all = members(3);
    run(&mut all, SECONDS(0), SECONDS(3), |_, _| false);
    all[1].leave(SECONDS(3));
    let outputs = run(&mut all, SECONDS(3), SECONDS(5), |_, _| false);
    let is_replaced =
        |(_, output): &(usize, MembershipOutput)| matches!(output, MembershipOutput::Replaced);
    assert!(!outputs.iter().any(is_replaced), "{outputs:?}");
}

#[test]
fn the_later_incarnation_of_a_name_stays_a_member() {
    let mut all = vec![
        member(0, 100, 1, 5),
        member(1, 101, 1, 5),
        member(1, 201, 2, 5),
    ];
    let outputs = run(&mut all, SECONDS(0), SECONDS(8), |_, _| false);
    let alive: Vec<u64> = all[0].alive().map(|who| who.incarnation).collect();
    assert_eq!(alive, vec![201]);
    assert!(!outputs
        .iter()
        .any(|(n, out)| *n == 2 && matches!(out, MembershipOutput::Replaced)));
}

/// A process starts again after so long with its wall clock an hour back, under another incarnation or the same one.
#[rstest]
fn a_process_that_starts_again_with_an_earlier_clock_is_a_member(
    #[values(300, 4_000, 12_000)] down_ms: u64,
    #[values(101, 301)] incarnation: u64,
) {
    const HOUR_MS: u64 = 3_600_000;
    let mut all: Vec<Membership> = (0..5)
        .map(|number| member(number, 100 + u64::from(number), 10 * HOUR_MS, 5))
        .collect();
    run(&mut all, SECONDS(0), SECONDS(15), |_, _| false);
    let started_again_at = SECONDS(15) + Duration::from_millis(down_ms);
    run(&mut all, SECONDS(15), started_again_at, |from, to| {
        from == 1 || to == 1
    });
    all[1] = member(1, incarnation, 9 * HOUR_MS, 5);
    let outputs = run(
        &mut all,
        started_again_at,
        started_again_at + SECONDS(3),
        |_, _| false,
    );
    let is_replaced = |(n, output): &(usize, MembershipOutput)| {
        *n == 1 && matches!(output, MembershipOutput::Replaced)
    };
    assert!(!outputs.iter().any(is_replaced), "{outputs:?}");
    assert_eq!(all[1].alive().count(), 4);
    for other in [0, 2, 3, 4] {
        let known = all[other].alive().find(|who| who.name == "n1");
        assert_eq!(known, Some(all[1].local_identity()), "at node {other}");
    }
}

/// Two processes of one name run at once, and the clock of the one that started later is behind: the later one stays.
#[test]
fn of_two_processes_at_once_the_one_that_started_later_stays_whatever_its_clock() {
    let mut all = vec![
        member(0, 100, 500, 5),
        member(1, 101, 500, 5),
        member(2, 102, 500, 5),
    ];
    run(&mut all, SECONDS(0), SECONDS(15), |_, _| false);
    let later = Identity {
        address: identity(7, 0, 0).address,
        ..identity(1, 300, 2)
    };
    all.push(Membership::new(later, config(5, 300, vec![seed_node(0)])));
    let outputs = run(&mut all, SECONDS(15), SECONDS(35), |_, _| false);
    let replaced: Vec<usize> = outputs
        .iter()
        .filter(|(_, output)| matches!(output, MembershipOutput::Replaced))
        .map(|(n, _)| *n)
        .collect();
    assert_eq!(replaced, [1], "{outputs:?}");
    assert!(all[0].alive().any(|who| who.incarnation == 300));
}

/// Suspicions come at this loss, and each is refuted in time.
#[test]
fn lost_datagrams_let_nobody_be_declared_dead() {
    let mut all = members(10);
    run(&mut all, SECONDS(0), SECONDS(5), |_, _| false);
    let draw = std::cell::RefCell::new(Pcg64Mcg::new(7));
    let is_lost = |_, _| rand::Rng::random::<f64>(&mut *draw.borrow_mut()) < 0.3;
    let outputs = run(&mut all, SECONDS(5), SECONDS(65), is_lost);
    assert_eq!(
        outputs
            .iter()
            .filter(|(_, out)| matches!(out, MembershipOutput::MemberDown(_)))
            .count(),
        0
    );
}

#[test]
fn datagrams_of_another_cluster_are_counted_and_ignored() {
    let mut all = vec![member(0, 100, 1, 5), member(1, 101, 1, 6)];
    run(&mut all, SECONDS(0), SECONDS(4), |_, _| false);
    assert!(all
        .iter()
        .all(|one| one.alive().count() == 0 && one.rejected.foreign > 0));
}

proptest! {
    #[test]
    fn no_datagram_panics_or_adds_a_member(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500), ours in any::<bool>()) {
        let mut one = member(0, 100, 1, 5);
        if ours && bytes.len() >= HEADER_BYTES {
            bytes[..HEADER_BYTES].copy_from_slice(&[b'l', b'c', PROTOCOL_VERSION, 0, 0, 0, 5]);
        }
        one.on_datagram(SECONDS(1), &bytes);
        prop_assert!(one.rejected.foreign + one.rejected.version + one.rejected.unreadable + one.rejected.stale <= 1);
    }
}
