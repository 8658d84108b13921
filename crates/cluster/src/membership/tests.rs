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

/// The first members of cluster 5, which do not know each other yet.
fn members(count: u16) -> Vec<Membership> {
    (0..count)
        .map(|number| member(number, 100 + u64::from(number), 1, 5))
        .collect()
}

/// Runs all members from `from` to `to` and returns their outputs other than datagrams. A datagram is lost if `is_lost`
/// returns true for the indices of its sender and its receiver.
fn run(
    nodes: &mut [Membership],
    from: Duration,
    to: Duration,
    is_lost: impl Fn(usize, usize) -> bool,
) -> Vec<(usize, MembershipOutput)> {
    let (mut now, mut outputs) = (from, Vec::new());
    while now < to {
        now += Duration::from_millis(10);
        for index in 0..nodes.len() {
            nodes[index].on_deadline(now);
            while let Some(output) = nodes[index].next_output() {
                let MembershipOutput::Datagram { to: address, bytes } = output else {
                    outputs.push((index, output));
                    continue;
                };
                let to: Vec<usize> = (0..nodes.len())
                    .filter(|to| nodes[*to].local_identity().address == address && *to != index)
                    .collect();
                to.into_iter()
                    .filter(|to| !is_lost(index, *to))
                    .for_each(|to| nodes[to].on_datagram(now, &bytes));
            }
        }
    }
    outputs
}

const SECONDS: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn an_unreachable_member_is_detected_and_rejoins_with_its_incarnation() {
    let mut nodes = members(3);
    run(&mut nodes, SECONDS(0), SECONDS(3), |_, _| false);
    assert!(nodes.iter().all(|node| node.live_members().count() == 2));
    // The last member is partitioned in both directions for long enough to be declared down.
    let outputs = run(&mut nodes, SECONDS(3), SECONDS(12), |from, to| {
        from == 2 || to == 2
    });
    assert!(outputs.iter().any(|(index, output)| *index == 0
        && matches!(output, MembershipOutput::MemberDown(peer) if peer.incarnation == 102)));
    let outputs = run(&mut nodes, SECONDS(12), SECONDS(20), |_, _| false);
    assert!(
        outputs.iter().any(|(index, output)| *index == 2
            && matches!(output, MembershipOutput::Rejoined { generation: 1 })),
        "{outputs:?}"
    );
    assert!(nodes[0]
        .live_members()
        .any(|peer| peer.incarnation == 102 && peer.generation == 1));
}

/// All members learn of the later incarnation, and the earlier one yields instead of rejoining after each rejection.
#[test]
fn the_earlier_incarnation_of_a_name_yields() {
    let mut nodes = members(3);
    run(&mut nodes, SECONDS(0), SECONDS(3), |_, _| false);
    let other = Identity {
        address: identity(7, 0, 0).address,
        ..identity(1, 300, 2)
    };
    nodes.push(Membership::new(other, config(5, 300, vec![seed_node(0)])));
    let outputs = run(&mut nodes, SECONDS(3), SECONDS(20), |_, _| false);
    let count_of_earlier = |output: &MembershipOutput| {
        outputs
            .iter()
            .filter(|(index, seen)| *index == 1 && seen == output)
            .count()
    };
    assert_eq!(
        count_of_earlier(&MembershipOutput::Replaced),
        1,
        "{outputs:?}"
    );
    assert!(
        nodes[1].local_identity().generation <= 1 + MAX_REJOINS_PER_WINDOW,
        "{} rejoins",
        nodes[1].local_identity().generation
    );
    assert!(
        nodes[0].live_members().any(|peer| peer.incarnation == 300)
            && nodes[0].live_members().all(|peer| peer.incarnation != 101)
    );
}

#[test]
fn a_leaving_member_is_down_at_once_and_stays_so() {
    let mut nodes = members(3);
    run(&mut nodes, SECONDS(0), SECONDS(3), |_, _| false);
    nodes[1].leave(SECONDS(3));
    run(&mut nodes, SECONDS(3), SECONDS(5), |_, _| false);
    assert!([0, 2]
        .iter()
        .all(|index| nodes[*index].live_members().count() == 1));
}

/// Guards against a leaving node that logs that a later process of its name has started: the membership library reports
/// the node's own leave as `Defunct`, the same notification as for an identity that was replaced.
#[test]
fn a_member_that_leaves_is_not_reported_as_replaced() {
    let mut nodes = members(3);
    run(&mut nodes, SECONDS(0), SECONDS(3), |_, _| false);
    nodes[1].leave(SECONDS(3));
    let outputs = run(&mut nodes, SECONDS(3), SECONDS(5), |_, _| false);
    let is_replaced =
        |(_, output): &(usize, MembershipOutput)| matches!(output, MembershipOutput::Replaced);
    assert!(!outputs.iter().any(is_replaced), "{outputs:?}");
}

#[test]
fn the_later_incarnation_of_a_name_stays_a_member() {
    let mut nodes = vec![
        member(0, 100, 1, 5),
        member(1, 101, 1, 5),
        member(1, 201, 2, 5),
    ];
    let outputs = run(&mut nodes, SECONDS(0), SECONDS(8), |_, _| false);
    let live_incarnations: Vec<u64> = nodes[0]
        .live_members()
        .map(|peer| peer.incarnation)
        .collect();
    assert_eq!(live_incarnations, vec![201]);
    assert!(!outputs
        .iter()
        .any(|(index, output)| *index == 2 && matches!(output, MembershipOutput::Replaced)));
}

/// A process restarts after `down_ms` with its wall clock set back by an hour, with the same or another incarnation.
#[rstest]
fn a_process_that_restarts_with_an_earlier_clock_is_a_member(
    #[values(300, 4_000, 12_000)] down_ms: u64,
    #[values(101, 301)] incarnation: u64,
) {
    const HOUR_MS: u64 = 3_600_000;
    let mut nodes: Vec<Membership> = (0..5)
        .map(|number| member(number, 100 + u64::from(number), 10 * HOUR_MS, 5))
        .collect();
    run(&mut nodes, SECONDS(0), SECONDS(15), |_, _| false);
    let restarted_at = SECONDS(15) + Duration::from_millis(down_ms);
    run(&mut nodes, SECONDS(15), restarted_at, |from, to| {
        from == 1 || to == 1
    });
    nodes[1] = member(1, incarnation, 9 * HOUR_MS, 5);
    let outputs = run(
        &mut nodes,
        restarted_at,
        restarted_at + SECONDS(3),
        |_, _| false,
    );
    let is_replaced = |(index, output): &(usize, MembershipOutput)| {
        *index == 1 && matches!(output, MembershipOutput::Replaced)
    };
    assert!(!outputs.iter().any(is_replaced), "{outputs:?}");
    assert_eq!(nodes[1].live_members().count(), 4);
    for other in [0, 2, 3, 4] {
        let known = nodes[other].live_members().find(|peer| peer.name == "n1");
        assert_eq!(known, Some(nodes[1].local_identity()), "at node {other}");
    }
}

/// Two processes of one name run at the same time. The one that started later stays, although its clock is behind.
#[test]
fn of_two_concurrent_processes_the_one_that_started_later_stays_whatever_its_clock() {
    let mut nodes = vec![
        member(0, 100, 500, 5),
        member(1, 101, 500, 5),
        member(2, 102, 500, 5),
    ];
    run(&mut nodes, SECONDS(0), SECONDS(15), |_, _| false);
    let later = Identity {
        address: identity(7, 0, 0).address,
        ..identity(1, 300, 2)
    };
    nodes.push(Membership::new(later, config(5, 300, vec![seed_node(0)])));
    let outputs = run(&mut nodes, SECONDS(15), SECONDS(35), |_, _| false);
    let replaced: Vec<usize> = outputs
        .iter()
        .filter(|(_, output)| matches!(output, MembershipOutput::Replaced))
        .map(|(index, _)| *index)
        .collect();
    assert_eq!(replaced, [1], "{outputs:?}");
    assert!(nodes[0].live_members().any(|peer| peer.incarnation == 300));
}

/// At this loss rate members are suspected, and each suspicion is refuted in time.
#[test]
fn lost_datagrams_cause_no_member_to_be_declared_down() {
    let mut nodes = members(10);
    run(&mut nodes, SECONDS(0), SECONDS(5), |_, _| false);
    let rng = std::cell::RefCell::new(Pcg64Mcg::new(7));
    let is_lost = |_, _| rand::Rng::random::<f64>(&mut *rng.borrow_mut()) < 0.3;
    let outputs = run(&mut nodes, SECONDS(5), SECONDS(65), is_lost);
    assert_eq!(
        outputs
            .iter()
            .filter(|(_, output)| matches!(output, MembershipOutput::MemberDown(_)))
            .count(),
        0
    );
}

#[test]
fn datagrams_of_another_cluster_are_counted_and_ignored() {
    let mut nodes = vec![member(0, 100, 1, 5), member(1, 101, 1, 6)];
    run(&mut nodes, SECONDS(0), SECONDS(4), |_, _| false);
    assert!(nodes
        .iter()
        .all(|node| node.live_members().count() == 0 && node.rejected.foreign > 0));
}

proptest! {
    #[test]
    fn no_datagram_panics_or_adds_a_member(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500), has_valid_header in any::<bool>()) {
        let mut node = member(0, 100, 1, 5);
        if has_valid_header && bytes.len() >= HEADER_BYTES {
            bytes[..HEADER_BYTES].copy_from_slice(&[b'l', b'c', PROTOCOL_VERSION, 0, 0, 0, 5]);
        }
        node.on_datagram(SECONDS(1), &bytes);
        prop_assert!(node.rejected.foreign + node.rejected.version + node.rejected.unreadable + node.rejected.stale <= 1);
    }
}
