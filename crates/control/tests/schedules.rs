//! Control nodes under drawn schedules of faults: whatever happens, what all nodes may use within a second never exceeds
//! the capacity.

mod sim;

use lupincrank_control::lease::{LeaseRequest, LeaseTerms};
use lupincrank_control::member::ClusterId;
use lupincrank_control::message::ControlMessage;
use proptest::prelude::*;
use rstest::rstest;
use sim::{
    group_with_disks, group_with_drift, DiskSpeed, Fault, RestartIdentity, Simulation,
    SimulationBuilder, WriteReport, CAPACITY, FLOOR,
};
use std::cell::RefCell;
use std::time::Duration;

fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(count)
    }
}

/// How many schedules are drawn, unless the environment says another number.
fn schedule_count() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(24)
}

/// A node or a link fails.
fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..5usize, 0..5usize).prop_map(|(from, to)| Fault::CutLink(from, to)),
        2 => Just(Fault::Heal),
        2 => (0..5usize).prop_map(Fault::Freeze),
        2 => (0..5usize).prop_map(Fault::Thaw),
        3 => (0..5usize).prop_map(Fault::RestartFromNothing),
        1 => (0..5usize).prop_map(Fault::Kill),
        1 => (0..5usize).prop_map(Fault::Leave),
        1 => (0..60u32).prop_map(Fault::LoseMessages),
    ]
}

proptest! {
    #![proptest_config(cases(schedule_count()))]

    #[test]
    fn usage_never_exceeds_the_capacity(
        node_count in 2..6usize,
        drift in 0.0..0.014f64,
        seed in any::<u64>(),
        faults in proptest::collection::vec((100..3000u64, any_fault()), 1..12),
    ) {
        let mut simulation = SimulationBuilder::new(node_count, seed).clock_drift(drift).start();
        simulation.run(Duration::from_secs(9));
        for (after, fault) in &faults {
            simulation.inject(fault);
            simulation.run(Duration::from_millis(*after));
            prop_assert!(simulation.peak_usage <= CAPACITY, "{} in use of {CAPACITY} after {fault:?}, {:?}",
                simulation.peak_usage, simulation.now);
        }
        // A recovery of the quorum while nodes still hold leases.
        for node in 0..node_count {
            simulation.inject(&Fault::Thaw(node));
        }
        simulation.inject(&Fault::Heal);
        simulation.run(Duration::from_millis(300));
        simulation.inject(&Fault::RecoverQuorum(seed as usize % node_count));
        simulation.run(Duration::from_secs(10));
        prop_assert!(simulation.peak_usage <= CAPACITY, "{} in use of {CAPACITY}", simulation.peak_usage);
    }
}

/// With disks a node that restarts goes on as the voter it was, whatever of its last writes was lost.
fn any_fault_with_disks() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (0..5usize).prop_map(Fault::RestartFromDisk),
        1 => (0..5usize).prop_map(Fault::RestartFromNothing),
        3 => any_fault(),
    ]
}

fn assert_within_capacity(simulation: &Simulation, context: &str) {
    let peak = simulation.peak_usage;
    assert!(peak <= CAPACITY, "{peak} in use of {CAPACITY}, {context}");
}

/// All but what is just changing hands is in use.
fn assert_capacity_is_used(simulation: &mut Simulation, context: &str) {
    let usage = simulation.total_usage();
    assert!(
        (CAPACITY - 2..=CAPACITY).contains(&usage),
        "{usage} of {CAPACITY}, {context}"
    );
}

proptest! {
    #![proptest_config(cases(schedule_count()))]

    #[test]
    fn usage_never_exceeds_the_capacity_with_disks(
        node_count in 2..6usize,
        seed in any::<u64>(),
        faults in proptest::collection::vec((20..3000u64, any_fault_with_disks()), 1..16),
    ) {
        let mut simulation = group_with_disks(node_count, seed);
        simulation.run(Duration::from_secs(9));
        for (after, fault) in &faults {
            simulation.inject(fault);
            simulation.run(Duration::from_millis(*after));
            prop_assert!(simulation.peak_usage <= CAPACITY, "{} in use of {CAPACITY} after {fault:?}, {:?}",
                simulation.peak_usage, simulation.now);
        }
    }
}

/// All restart in one moment, some of their last writes lost: the same group goes on, and nobody forms another.
#[test]
fn a_group_with_disks_outlives_all_of_its_processes() {
    for seed in 0..6 {
        let mut simulation = group_with_disks(5, seed);
        simulation.run(Duration::from_secs(10));
        let before = simulation.cluster_id(0);
        assert!(before.is_some(), "seed {seed}");
        for _ in 0..3 {
            (0..5).for_each(|node| simulation.inject(&Fault::RestartFromDisk(node)));
            simulation.run(Duration::from_secs(10));
            assert_eq!(simulation.led_node_count(), 5, "seed {seed}");
            assert_eq!(
                (0..5)
                    .map(|node| simulation.cluster_id(node))
                    .collect::<Vec<_>>(),
                [before; 5],
                "seed {seed}"
            );
            assert_capacity_is_used(&mut simulation, &format!("seed {seed}"));
        }
        assert_within_capacity(&simulation, &format!("seed {seed}"));
    }
}

/// A committed entry outlives all processes, whatever their disks had still to write: nothing is sent before it is synced.
/// The mutant reports writes as completed as soon as they are asked for.
#[rstest]
#[case::waits_for_the_disk(WriteReport::WhenSynced)]
#[case::the_mutant_that_does_not(WriteReport::BeforeSynced)]
fn committed_entries_outlive_slow_disks(#[case] report: WriteReport) {
    let mut lost_count = 0;
    for seed in 0..12 {
        let mut simulation = SimulationBuilder::new(5, seed)
            .disks(DiskSpeed::Slow, report)
            .start();
        simulation.run(Duration::from_secs(15));
        // Index and term identify an entry.
        let entries = |simulation: &Simulation, node: usize| -> Vec<(u64, u64)> {
            simulation.nodes[node]
                .control_node
                .log_lines()
                .map(|line| (line.index, line.term))
                .collect()
        };
        let last = (0..5)
            .filter_map(|node| entries(&simulation, node).last().copied())
            .max()
            .expect("a log");
        (0..5).for_each(|node| simulation.inject(&Fault::RestartFromDisk(node)));
        simulation.run(Duration::from_secs(8));
        let leader = simulation.leader();
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        lost_count += u32::from(!entries(&simulation, leader).contains(&last));
    }
    let is_mutant = report == WriteReport::BeforeSynced;
    assert_eq!(
        lost_count > 0,
        is_mutant,
        "{lost_count} of 12 have lost something"
    );
}

/// Three of four shut down within 0.2 s, each waited for until its removal is confirmed, for 3 s at the most: the one that
/// stays has a group, and after a while all of the capacity but the floors that stay set aside for the others.
#[test]
fn nodes_that_shut_down_leave_a_group_and_their_leases_behind() {
    for seed in 0..8 {
        let mut simulation = group_with_drift(4, seed);
        simulation.run(Duration::from_secs(10));
        for node in 0..3 {
            simulation.inject(&Fault::Leave((seed as usize + node) % 4));
            simulation.run(Duration::from_millis(75));
        }
        let remaining = (seed as usize + 3) % 4;
        let deadline = simulation.now + Duration::from_secs(10);
        while simulation.nodes[remaining]
            .control_node
            .lease_limit(simulation.local_time(remaining))
            .limit
            < CAPACITY - 3 * FLOOR
        {
            simulation.run(Duration::from_millis(100));
            assert!(
                simulation.now < deadline,
                "seed {seed}: {:?}",
                simulation.nodes[remaining]
                    .control_node
                    .status(simulation.local_time(remaining))
            );
        }
        assert!(
            simulation.nodes[remaining].control_node.is_leader(),
            "seed {seed}"
        );
        assert_within_capacity(&simulation, &format!("seed {seed}"));
    }
}

/// A voter that restarts from nothing is another member. The mutant votes under the id that it had: a node that was cut
/// off and knows none of the last grants is elected by it, and grants what others still hold.
#[rstest]
#[case::another_id(RestartIdentity::New)]
#[case::the_mutant(RestartIdentity::Reused)]
fn a_voter_that_restarts_from_nothing_is_another_member(#[case] identity: RestartIdentity) {
    let mut peak = 0;
    for seed in 0..8 {
        let mut simulation = SimulationBuilder::new(3, seed)
            .restart_identity(identity)
            .start();
        simulation.run(Duration::from_secs(10));
        // The others divide what the one that is cut off had ...
        simulation.isolate(2);
        simulation.run(Duration::from_secs(7));
        // ... then one of them starts from nothing, on its side of a cut.
        simulation.inject(&Fault::Heal);
        simulation.isolate(0);
        simulation.inject(&Fault::RestartFromNothing(1));
        simulation.run(Duration::from_secs(5));
        peak = peak.max(simulation.peak_usage);
    }
    let is_mutant = identity == RestartIdentity::Reused;
    assert_eq!(peak > CAPACITY, is_mutant, "{peak} in use of {CAPACITY}");
}

/// Clocks that differ by 14 parts in a thousand, and long leases, so that this is more than the window leaves over.
#[rstest]
#[case::waits_longer(0.03, false)]
#[case::the_mutant_that_trusts_clocks(0.0, true)]
fn a_granter_waits_for_slow_clocks(#[case] max_clock_drift: f64, #[case] exceeds: bool) {
    let terms = LeaseTerms {
        lease_duration: Duration::from_secs(60),
        max_clock_drift,
        ..LeaseTerms::default()
    };
    let mut peak = 0;
    for seed in 0..12 {
        let mut simulation = SimulationBuilder::new(3, seed)
            .clock_drift(0.014)
            .lease_terms(terms)
            .start();
        simulation.run(Duration::from_secs(75));
        simulation.isolate(seed as usize % 3);
        simulation.run(Duration::from_secs(66));
        peak = peak.max(simulation.peak_usage);
    }
    assert_eq!(peak > CAPACITY, exceeds, "{peak} in use of {CAPACITY}");
}

#[test]
fn a_group_recovers_from_each_fault_that_leaves_a_majority() {
    for (seed, fault) in [
        (1, Fault::Kill(0)),
        (2, Fault::Freeze(0)),
        (3, Fault::RestartFromNothing(0)),
        (4, Fault::CutLink(0, 1)),
    ] {
        let mut simulation = group_with_drift(5, seed);
        simulation.run(Duration::from_secs(10));
        assert_eq!(simulation.led_node_count(), 5, "seed {seed}");
        simulation.inject(&fault);
        simulation.run(Duration::from_secs(12));
        assert!(
            simulation.led_node_count() >= 4,
            "{} know a leader after {fault:?}",
            simulation.led_node_count()
        );
        // The lease of a node that is gone is in use again, but for its floor.
        assert_capacity_is_used(&mut simulation, &format!("after {fault:?}"));
    }
}

/// A new incarnation is sent a snapshot first: one that gets lost must be sent again, and nobody votes without it.
#[test]
fn leaders_restart_from_nothing_one_after_the_other_while_messages_get_lost() {
    let mut simulation = group_with_drift(5, 6);
    simulation.run(Duration::from_secs(10));
    for round in 0..6 {
        let leader = simulation.leader().expect("a leader");
        simulation.inject(&Fault::LoseMessages(40));
        simulation.inject(&Fault::RestartFromNothing(leader));
        simulation.run(Duration::from_secs(7));
        simulation.inject(&Fault::Heal);
        simulation.run(Duration::from_secs(6));
        assert_eq!(simulation.led_node_count(), 5, "round {round}");
        let member_counts: Vec<usize> = simulation
            .nodes
            .iter()
            .map(|node| {
                node.control_node
                    .state()
                    .map_or(0, |state| state.members.len())
            })
            .collect();
        assert_eq!(member_counts, [5; 5], "round {round}");
    }
}

#[test]
fn after_a_lost_majority_only_an_operator_recovers_the_quorum_and_the_old_group_is_fenced() {
    let mut simulation = group_with_drift(5, 9);
    simulation.run(Duration::from_secs(10));
    // More than half of the voters are gone in one moment, and come back with no memory.
    for node in [0, 1, 2] {
        simulation.inject(&Fault::RestartFromNothing(node));
    }
    simulation.run(Duration::from_secs(8));
    let epochs = |simulation: &Simulation| -> Vec<Option<u64>> {
        simulation
            .nodes
            .iter()
            .map(|node| {
                node.control_node
                    .state()
                    .map(|state| state.cluster_id.epoch)
            })
            .collect()
    };
    assert!(
        simulation.led_node_count() == 0
            || epochs(&simulation).iter().all(|epoch| *epoch == Some(1)),
        "{:?}",
        epochs(&simulation)
    );
    if simulation.led_node_count() == 0 {
        simulation.inject(&Fault::RecoverQuorum(3));
        simulation.run(Duration::from_secs(10));
        assert_eq!(epochs(&simulation), vec![Some(2); 5]);
        assert_eq!(simulation.led_node_count(), 5);
    }
    assert!(
        simulation.peak_usage <= CAPACITY,
        "{} in use of {CAPACITY}",
        simulation.peak_usage
    );
}

proptest! {
    #![proptest_config(cases(200))]

    #[test]
    fn no_received_message_disrupts_a_leader(
        kind in 0..7u8,
        is_own_group in any::<bool>(),
        from in 0..3usize,
        bytes in proptest::collection::vec(any::<u8>(), 0..80),
    ) {
        thread_local!(static GROUP: RefCell<Simulation> = RefCell::new({
            let mut simulation = SimulationBuilder::new(3, 4).start();
            simulation.run(Duration::from_secs(8));
            simulation
        }));
        GROUP.with_borrow_mut(|simulation| {
            let to = simulation.leader().unwrap();
            let own_cluster_id = simulation.cluster_id(to).unwrap();
            // A higher id would be another group, which every incarnation prefers: that is the rule.
            let cluster_id = if is_own_group { own_cluster_id } else { ClusterId { epoch: 0, bootstrap_id: 3 } };
            let from = if from == to { (to + 1) % 3 } else { from };
            let id = simulation.nodes[from].id;
            let message = match kind {
                0 => ControlMessage::ClusterQuery,
                1 => ControlMessage::KnownCluster(Some(cluster_id)),
                2 | 3 => ControlMessage::Raft(cluster_id, bytes),
                4 => ControlMessage::LeaseRequest(cluster_id, LeaseRequest {
                    request_number: bytes.len() as u64,
                    in_use: u32::MAX,
                    demand: u32::MAX,
                }),
                5 => ControlMessage::LeaseGranted { cluster_id, request_number: bytes.len() as u64, limit: u32::MAX },
                // That a member is leaving only that member says, as with what it uses.
                _ => ControlMessage::Removed(cluster_id),
            };
            let now = simulation.local_time(to);
            simulation.nodes[to].control_node.on_message(now, id, message);
            simulation.run(Duration::from_millis(50));
            prop_assert!(simulation.nodes[to].control_node.state().is_some());
            prop_assert!(simulation.peak_usage <= CAPACITY, "{} in use of {CAPACITY}", simulation.peak_usage);
            Ok(())
        })?;
    }
}
