//! Control nodes under random fault schedules: whatever faults occur, the total usage of all nodes within any one
//! second never exceeds the capacity.

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

/// The number of random schedules; `PROPTEST_CASES` overrides the default.
fn schedule_count() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(24)
}

/// Faults of links, and of nodes without disks.
fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..5usize, 0..5usize).prop_map(|(from, to)| Fault::CutLink(from, to)),
        2 => Just(Fault::Heal),
        2 => (0..5usize).prop_map(Fault::Freeze),
        2 => (0..5usize).prop_map(Fault::Thaw),
        3 => (0..5usize).prop_map(Fault::RestartWithoutState),
        1 => (0..5usize).prop_map(Fault::Kill),
        1 => (0..5usize).prop_map(Fault::ShutDown),
        1 => (0..60u32).prop_map(Fault::DropMessages),
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
        // A quorum recovery while nodes still hold leases.
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

/// Faults of nodes with disks: a restarted node resumes as the same voter, whichever of its last writes were lost.
fn any_fault_with_disks() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (0..5usize).prop_map(Fault::RestartFromDisk),
        1 => (0..5usize).prop_map(Fault::RestartWithoutState),
        3 => any_fault(),
    ]
}

fn assert_within_capacity(simulation: &Simulation, context: &str) {
    let peak = simulation.peak_usage;
    assert!(peak <= CAPACITY, "{peak} in use of {CAPACITY}, {context}");
}

/// Checks that the capacity is in use except for units that are being moved between nodes.
fn assert_capacity_is_used(simulation: &mut Simulation, context: &str) {
    let usage = simulation.total_usage();
    assert!(
        (CAPACITY - 2..=CAPACITY).contains(&usage),
        "{usage} of {CAPACITY} in use, {context}"
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

/// A node of two that leaves and is started again from its disk was granted more than the capacity leaves it.
#[test]
fn a_node_that_leaves_and_resumes_from_its_disk_stays_within_the_capacity() {
    for seed in 0..20 {
        let mut simulation = group_with_disks(2, seed);
        simulation.run(Duration::from_secs(9));
        simulation.inject(&Fault::ShutDown(1));
        simulation.run(Duration::from_millis(710));
        simulation.inject(&Fault::RestartFromDisk(1));
        simulation.run(Duration::from_secs(2));
        assert_within_capacity(&simulation, &format!("seed {seed}"));
    }
}

/// All nodes restart at the same time and lose some of their last writes. The same group must resume, and no node may
/// form another.
#[test]
fn a_group_with_disks_survives_the_restart_of_all_nodes() {
    for seed in 0..6 {
        let mut simulation = group_with_disks(5, seed);
        simulation.run(Duration::from_secs(10));
        let before = simulation.cluster_id(0);
        assert!(before.is_some(), "seed {seed}");
        for _ in 0..3 {
            (0..5).for_each(|node| simulation.inject(&Fault::RestartFromDisk(node)));
            simulation.run(Duration::from_secs(10));
            assert_eq!(simulation.count_nodes_with_leader(), 5, "seed {seed}");
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

/// A committed entry survives the restart of all processes, whichever writes were pending, since messages are held
/// back until the writes are synced. The mutant reports writes as completed as soon as they are requested.
#[rstest]
#[case::waits_for_the_disk(WriteReport::WhenSynced)]
#[case::mutant_reports_writes_early(WriteReport::BeforeSynced)]
fn committed_entries_survive_restarts_with_slow_disks(#[case] report: WriteReport) {
    let mut lost_count = 0;
    for seed in 0..12 {
        let mut simulation = SimulationBuilder::new(5, seed)
            .disks(DiskSpeed::Slow, report)
            .start();
        simulation.run(Duration::from_secs(15));
        // An entry is identified by index and term.
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
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader"));
        lost_count += u32::from(!entries(&simulation, leader).contains(&last));
    }
    let is_mutant = report == WriteReport::BeforeSynced;
    assert_eq!(
        lost_count > 0,
        is_mutant,
        "{lost_count} of 12 groups lost a committed entry"
    );
}

/// Three of four nodes shut down within 0.2 s. Each runs until its removal is confirmed, for at most 3 s. The
/// remaining node must lead a group and get the whole capacity, except for the floors that remain reserved for the
/// others.
#[test]
fn the_remaining_node_gets_the_leases_of_nodes_that_shut_down() {
    for seed in 0..8 {
        let mut simulation = group_with_drift(4, seed);
        simulation.run(Duration::from_secs(10));
        for node in 0..3 {
            simulation.inject(&Fault::ShutDown((seed as usize + node) % 4));
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

/// A voter that restarts without stored state is another member. The mutant votes under its previous id: it elects a
/// node that was partitioned and lacks the latest grants, and that node grants units that others still hold.
#[rstest]
#[case::new_id(RestartIdentity::New)]
#[case::mutant_reuses_the_id(RestartIdentity::Reused)]
fn a_voter_that_restarts_without_state_is_another_member(#[case] identity: RestartIdentity) {
    let mut peak = 0;
    for seed in 0..8 {
        let mut simulation = SimulationBuilder::new(3, seed)
            .restart_identity(identity)
            .start();
        simulation.run(Duration::from_secs(10));
        // The other nodes divide the lease of the isolated node.
        simulation.isolate(2);
        simulation.run(Duration::from_secs(7));
        // One of them restarts without stored state, on the same side of a partition as that node.
        simulation.inject(&Fault::Heal);
        simulation.isolate(0);
        simulation.inject(&Fault::RestartWithoutState(1));
        simulation.run(Duration::from_secs(5));
        peak = peak.max(simulation.peak_usage);
    }
    let is_mutant = identity == RestartIdentity::Reused;
    assert_eq!(peak > CAPACITY, is_mutant, "{peak} in use of {CAPACITY}");
}

/// Clocks that are fast or slow by 1.4%, with leases long enough that the difference exceeds the margin of the
/// accounting window.
#[rstest]
#[case::waits_for_the_maximum_drift(0.03, false)]
#[case::mutant_ignores_drift(0.0, true)]
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
        (3, Fault::RestartWithoutState(0)),
        (4, Fault::CutLink(0, 1)),
    ] {
        let mut simulation = group_with_drift(5, seed);
        simulation.run(Duration::from_secs(10));
        assert_eq!(simulation.count_nodes_with_leader(), 5, "seed {seed}");
        simulation.inject(&fault);
        simulation.run(Duration::from_secs(12));
        assert!(
            simulation.count_nodes_with_leader() >= 4,
            "{} nodes know a leader after {fault:?}",
            simulation.count_nodes_with_leader()
        );
        // Other nodes use the units of the failed node's lease, but not its floor.
        assert_capacity_is_used(&mut simulation, &format!("after {fault:?}"));
    }
}

/// A new incarnation receives a snapshot first and can't vote without it, so a lost snapshot must be resent.
#[test]
fn leaders_restart_without_state_one_after_another_under_message_loss() {
    let mut simulation = group_with_drift(5, 6);
    simulation.run(Duration::from_secs(10));
    for round in 0..6 {
        let leader = simulation.leader().expect("a leader");
        simulation.inject(&Fault::DropMessages(40));
        simulation.inject(&Fault::RestartWithoutState(leader));
        simulation.run(Duration::from_secs(7));
        simulation.inject(&Fault::Heal);
        simulation.run(Duration::from_secs(6));
        assert_eq!(simulation.count_nodes_with_leader(), 5, "round {round}");
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
    // A majority of the voters restarts at the same time without stored state.
    for node in [0, 1, 2] {
        simulation.inject(&Fault::RestartWithoutState(node));
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
        simulation.count_nodes_with_leader() == 0
            || epochs(&simulation).iter().all(|epoch| *epoch == Some(1)),
        "{:?}",
        epochs(&simulation)
    );
    if simulation.count_nodes_with_leader() == 0 {
        simulation.inject(&Fault::RecoverQuorum(3));
        simulation.run(Duration::from_secs(10));
        assert_eq!(epochs(&simulation), vec![Some(2); 5]);
        assert_eq!(simulation.count_nodes_with_leader(), 5);
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
            // By design, every incarnation switches to a group with a higher id, so a foreign group gets a lower one
            // here.
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
                // `Leaving` is not tested: the leader relies on a member's statement that it has stopped using its
                // lease, as it relies on the usage that the member reports.
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
