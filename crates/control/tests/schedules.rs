//! The real machines under drawn schedules of faults: whatever happens, what all nodes might send within a second never
//! passes the capacity.

mod sim;

use lupincrank_control::lease::LeaseTerms;
use proptest::prelude::*;
use rstest::rstest;
use sim::{Fault, Sim, CAPACITY, FLOOR};
use std::time::Duration;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..5usize, 0..5usize).prop_map(|(from, to)| Fault::Cut(from, to)),
        2 => Just(Fault::Mend),
        2 => (0..5usize).prop_map(Fault::Freeze),
        2 => (0..5usize).prop_map(Fault::Wake),
        3 => (0..5usize).prop_map(Fault::Restart),
        1 => (0..5usize).prop_map(Fault::Kill),
        1 => (0..5usize).prop_map(Fault::Leave),
        1 => (0..60u32).prop_map(Fault::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(24)) })]

    #[test]
    fn the_sum_never_passes_the_whole(
        nodes in 2..6usize,
        drift in 0.0..0.014f64,
        seed in any::<u64>(),
        faults in proptest::collection::vec((100..3000u64, fault()), 1..12),
    ) {
        let mut sim = Sim::new(nodes, drift, LeaseTerms::default(), seed);
        sim.run(Duration::from_secs(9));
        for (after, fault) in &faults {
            sim.fault(fault);
            sim.run(Duration::from_millis(*after));
            prop_assert!(sim.worst <= CAPACITY, "{} in use of {CAPACITY} after {fault:?}, {:?}", sim.worst, sim.now);
        }
        // A reseeding while those that hold leases are still about.
        for node in 0..nodes {
            sim.fault(&Fault::Wake(node));
        }
        sim.fault(&Fault::Mend);
        sim.run(Duration::from_millis(300));
        sim.fault(&Fault::Reseed(seed as usize % nodes));
        sim.run(Duration::from_secs(10));
        prop_assert!(sim.worst <= CAPACITY, "{} in use of {CAPACITY}", sim.worst);
    }
}

/// With disks: whoever restarts goes on as the voter it was, whatever of its last writes was lost.
fn returns() -> impl Strategy<Value = Fault> {
    prop_oneof![4 => (0..5usize).prop_map(Fault::Return), 1 => (0..5usize).prop_map(Fault::Restart), 3 => fault()]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(24)) })]

    #[test]
    fn the_sum_never_passes_the_whole_with_disks(
        nodes in 2..6usize,
        seed in any::<u64>(),
        faults in proptest::collection::vec((20..3000u64, returns()), 1..16),
    ) {
        let mut sim = Sim::on_disks(nodes, LeaseTerms::default(), seed);
        sim.run(Duration::from_secs(9));
        for (after, fault) in &faults {
            sim.fault(fault);
            sim.run(Duration::from_millis(*after));
            prop_assert!(sim.worst <= CAPACITY, "{} in use of {CAPACITY} after {fault:?}, {:?}", sim.worst, sim.now);
        }
    }
}

/// All start again in one moment, some of their last writes lost: the same council goes on, and nobody founds another.
#[test]
fn a_council_on_disks_outlives_all_of_its_processes() {
    for seed in 0..6 {
        let mut sim = Sim::on_disks(5, LeaseTerms::default(), seed);
        sim.run(Duration::from_secs(10));
        let stamp =
            |sim: &Sim, n: usize| sim.nodes[n].council.state().map(|state| state.cluster_id);
        let before = stamp(&sim, 0);
        assert!(before.is_some(), "seed {seed}");
        for _ in 0..3 {
            (0..5).for_each(|n| sim.fault(&Fault::Return(n)));
            sim.run(Duration::from_secs(10));
            assert_eq!(sim.led(), 5, "seed {seed}");
            assert_eq!(
                (0..5).map(|n| stamp(&sim, n)).collect::<Vec<_>>(),
                [before; 5],
                "seed {seed}"
            );
            let sum = sim.sum();
            assert!(
                (CAPACITY - 2..=CAPACITY).contains(&sum),
                "{sum} of {CAPACITY}, seed {seed}"
            );
        }
        assert!(
            sim.worst <= CAPACITY,
            "{} in use of {CAPACITY}, seed {seed}",
            sim.worst
        );
    }
}

/// What once stood in the log stands there after all have died, whatever their disks had still to write: nothing is said
/// before it is on them. The mutant says that writes are done as soon as they are asked for.
#[rstest]
#[case::waits_for_the_disk(false)]
#[case::the_mutant_that_does_not(true)]
fn what_stood_in_the_log_outlives_slow_disks(#[case] hasty: bool) {
    let mut lost = 0;
    for seed in 0..12 {
        let mut sim = Sim::on_disks(5, LeaseTerms::default(), seed);
        (sim.hasty, sim.slow_disks) = (hasty, true);
        sim.run(Duration::from_secs(15));
        // An entry is one by its place and the leadership that it was written under.
        let entries = |sim: &Sim, n: usize| -> Vec<(u64, u64)> {
            sim.nodes[n]
                .council
                .log_lines()
                .map(|told| (told.index, told.term))
                .collect()
        };
        let last = (0..5)
            .filter_map(|n| entries(&sim, n).last().copied())
            .max()
            .expect("a log");
        (0..5).for_each(|n| sim.fault(&Fault::Return(n)));
        sim.run(Duration::from_secs(8));
        let leader = (0..5).find(|n| sim.nodes[*n].council.is_leader());
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        lost += u32::from(!entries(&sim, leader).contains(&last));
    }
    assert_eq!(lost > 0, hasty, "{lost} of 12 have lost something");
}

/// Three of four end within 0.2 s, each waited for until it is let go, for 3 s at the most: the one that stays has a council,
/// and after a while all of the capacity but the floors that stay set aside for the names of the others.
#[test]
fn nodes_that_end_in_good_order_leave_a_council_and_their_slices_behind() {
    for seed in 0..8 {
        let mut sim = Sim::new(4, 0.01, LeaseTerms::default(), seed);
        sim.run(Duration::from_secs(10));
        for n in 0..3 {
            sim.fault(&Fault::Leave((seed as usize + n) % 4));
            sim.run(Duration::from_millis(75));
        }
        let stays = (seed as usize + 3) % 4;
        let deadline = sim.now + Duration::from_secs(10);
        while sim.nodes[stays].council.lease_limit(sim.local(stays)).limit < CAPACITY - 3 * FLOOR {
            sim.run(Duration::from_millis(100));
            assert!(
                sim.now < deadline,
                "seed {seed}: {:?}",
                sim.nodes[stays].council.status(sim.local(stays))
            );
        }
        assert!(sim.nodes[stays].council.is_leader(), "seed {seed}");
        assert!(
            sim.worst <= CAPACITY,
            "{} in use of {CAPACITY}, seed {seed}",
            sim.worst
        );
    }
}

/// A voter that comes back from nothing is another one. The mutant votes under the id that it had: a node that was cut off
/// and knows none of the last grants is elected by it, and hands out what others still hold.
#[rstest]
#[case::another_id(false)]
#[case::the_mutant(true)]
fn a_voter_from_nothing_is_another_one(#[case] same_id: bool) {
    let mut worst = 0;
    for seed in 0..8 {
        let mut sim = Sim::with(3, 0.0, LeaseTerms::default(), seed, same_id);
        sim.run(Duration::from_secs(10));
        let alone = |sim: &mut Sim, one: usize| {
            (0..3).filter(|other| *other != one).for_each(|other| {
                sim.fault(&Fault::Cut(one, other));
                sim.fault(&Fault::Cut(other, one));
            });
        };
        // The others divide what the one that is cut off had ...
        alone(&mut sim, 2);
        sim.run(Duration::from_secs(7));
        // ... then one of them starts from nothing, on its side of a cut.
        sim.fault(&Fault::Mend);
        alone(&mut sim, 0);
        sim.fault(&Fault::Restart(1));
        sim.run(Duration::from_secs(5));
        worst = worst.max(sim.worst);
    }
    assert_eq!(worst > CAPACITY, same_id, "{worst} in use of {CAPACITY}");
}

/// Clocks that differ by 14 parts in a thousand, and long leases, so that this is more than the window leaves over.
#[rstest]
#[case::waits_longer(0.03, false)]
#[case::the_mutant_that_trusts_clocks(0.0, true)]
fn a_granter_waits_for_slow_clocks(#[case] drift: f64, #[case] breaks: bool) {
    let terms = LeaseTerms {
        lease_duration: Duration::from_secs(60),
        max_clock_drift: drift,
        ..LeaseTerms::default()
    };
    let mut worst = 0;
    for seed in 0..12 {
        let mut sim = Sim::new(3, 0.014, terms, seed);
        sim.run(Duration::from_secs(75));
        let holder = seed as usize % 3;
        (0..3).for_each(|other| {
            sim.fault(&Fault::Cut(holder, other));
            sim.fault(&Fault::Cut(other, holder));
        });
        sim.run(Duration::from_secs(66));
        worst = worst.max(sim.worst);
    }
    assert_eq!(worst > CAPACITY, breaks, "{worst} in use of {CAPACITY}");
}

#[test]
fn a_council_stands_again_after_each_fault_that_leaves_a_majority() {
    for (seed, fault) in [
        (1, Fault::Kill(0)),
        (2, Fault::Freeze(0)),
        (3, Fault::Restart(0)),
        (4, Fault::Cut(0, 1)),
    ] {
        let mut sim = Sim::new(5, 0.01, LeaseTerms::default(), seed);
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.led(), 5, "seed {seed}");
        sim.fault(&fault);
        sim.run(Duration::from_secs(12));
        assert!(sim.led() >= 4, "{} are led after {fault:?}", sim.led());
        // What a node that is gone held is in use again, but for its floor and what is just changing hands.
        let sum = sim.sum();
        assert!(
            (CAPACITY - 2..=CAPACITY).contains(&sum),
            "{sum} of {CAPACITY} after {fault:?}"
        );
    }
}

/// What is sent to a new incarnation first is a snapshot: one that gets lost must come again, and nobody votes without it.
#[test]
fn one_leader_after_the_other_starts_from_nothing_while_messages_get_lost() {
    let mut sim = Sim::new(5, 0.01, LeaseTerms::default(), 6);
    sim.run(Duration::from_secs(10));
    for round in 0..6 {
        let leader = (0..5)
            .find(|n| sim.nodes[*n].council.is_leader())
            .expect("a leader");
        sim.fault(&Fault::Lose(40));
        sim.fault(&Fault::Restart(leader));
        sim.run(Duration::from_secs(7));
        sim.fault(&Fault::Mend);
        sim.run(Duration::from_secs(6));
        assert_eq!(sim.led(), 5, "round {round}");
        let known: Vec<usize> = sim
            .nodes
            .iter()
            .map(|node| node.council.state().map_or(0, |state| state.members.len()))
            .collect();
        assert_eq!(known, [5; 5], "round {round}");
    }
}

#[test]
fn after_a_lost_majority_only_a_person_founds_anew_and_the_old_council_is_fenced() {
    let mut sim = Sim::new(5, 0.01, LeaseTerms::default(), 9);
    sim.run(Duration::from_secs(10));
    // More than half of the voters are gone in one moment, and come back with no memory.
    for node in [0, 1, 2] {
        sim.fault(&Fault::Restart(node));
    }
    sim.run(Duration::from_secs(8));
    let epochs = |sim: &Sim| -> Vec<Option<u64>> {
        sim.nodes
            .iter()
            .map(|node| node.council.state().map(|state| state.cluster_id.epoch))
            .collect()
    };
    assert!(
        sim.led() == 0 || epochs(&sim).iter().all(|epoch| *epoch == Some(1)),
        "{:?}",
        epochs(&sim)
    );
    if sim.led() == 0 {
        sim.fault(&Fault::Reseed(3));
        sim.run(Duration::from_secs(10));
        assert_eq!(epochs(&sim), vec![Some(2); 5]);
        assert_eq!(sim.led(), 5);
    }
    assert!(sim.worst <= CAPACITY, "{} in use of {CAPACITY}", sim.worst);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn no_message_from_outside_breaks_a_council_that_leads(
        kind in 0..7u8,
        stamp in any::<bool>(),
        from in 0..3usize,
        bytes in proptest::collection::vec(any::<u8>(), 0..80),
    ) {
        use lupincrank_control::message::ControlMessage;
        use lupincrank_control::lease::LeaseRequest;
        use lupincrank_control::member::ClusterId;
        thread_local!(static LED: std::cell::RefCell<Sim> = std::cell::RefCell::new({
            let mut sim = Sim::new(3, 0.0, LeaseTerms::default(), 4);
            sim.run(Duration::from_secs(8));
            sim
        }));
        LED.with_borrow_mut(|sim| {
            let to = (0..3).find(|n| sim.nodes[*n].council.is_leader()).unwrap();
            let mine = sim.nodes[to].council.state().unwrap().cluster_id;
            // A higher stamp would be another council, which every incarnation prefers: that is the rule.
            let stamp = if stamp { mine } else { ClusterId { epoch: 0, bootstrap_id: 3 } };
            let from = if from == to { (to + 1) % 3 } else { from };
            let id = sim.nodes[from].id;
            let said = match kind {
                0 => ControlMessage::ClusterQuery,
                1 => ControlMessage::KnownCluster(Some(stamp)),
                2 | 3 => ControlMessage::Raft(stamp, bytes),
                4 => ControlMessage::LeaseRequest(stamp, LeaseRequest { request_number: bytes.len() as u64, in_use: u32::MAX, demand: u32::MAX }),
                5 => ControlMessage::LeaseGranted { cluster_id: stamp, request_number: bytes.len() as u64, limit: u32::MAX },
                // That a member leaves is its own word, as is what it uses.
                _ => ControlMessage::Removed(stamp),
            };
            let now = sim.local(to);
            sim.nodes[to].council.on_message(now, id, said);
            sim.run(Duration::from_millis(50));
            prop_assert!(sim.nodes[to].council.state().is_some());
            prop_assert!(sim.worst <= CAPACITY, "{} in use of {CAPACITY}", sim.worst);
            Ok(())
        })?;
    }
}
