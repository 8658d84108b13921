//! A cluster of real nodes with stepped wall clocks and transient disk failures.

mod common;
use common::{wait_until, Cluster, SyscallFaults};
use rstest::rstest;
use std::time::{Duration, Instant};

const NODES: usize = 5;
/// Within this time a restarted process is a member and a new leader is elected.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// A node is killed and restarted, at once or after 4 s, with its wall clock an hour back or ahead: it must be a member
/// for all others within `RECOVERY_TIME`.
#[rstest]
fn a_node_that_restarts_with_another_clock_is_a_member_at_once(
    #[values("clock=-3600", "clock=3600")] clock: &str,
    #[values(0, 4)] down_seconds: u64,
) {
    let mut cluster = Cluster::start(NODES);
    for node in 0..NODES {
        cluster.wait_for_member_count(node, NODES);
    }
    cluster.kill(1);
    std::thread::sleep(Duration::from_secs(down_seconds));
    let faults = SyscallFaults::new(clock, 1);
    faults.switch_on();
    let started_at = Instant::now();
    cluster.spawn(1, Some(&faults));
    for node in 0..NODES {
        cluster.wait_for_member_count(node, NODES);
    }
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    assert!(
        started_at.elapsed() < RECOVERY_TIME,
        "{:?}",
        started_at.elapsed()
    );
    assert!(
        !cluster.log(1).contains("replaced by a later process"),
        "{}",
        cluster.log(1)
    );
}

/// A process that terminates gracefully leaves the cluster, and does not log that a later process replaced it.
#[test]
fn a_node_that_terminates_gracefully_does_not_log_that_it_was_replaced() {
    let mut cluster = Cluster::start(3);
    for node in 0..3 {
        cluster.wait_for_member_count(node, 3);
    }
    cluster.terminate(1);
    let log = cluster.log(1);
    assert!(log.contains("left the cluster"), "{log}");
    assert!(!log.contains("replaced by a later process"), "{log}");
}

/// The disks of three of five nodes, possibly the leader's among them, fail for a while. Later the two nodes whose disks
/// never failed are killed, so that the control group needs all three to elect a leader: none may have given up its vote
/// until a restart, and everything stored before must still be there.
#[rstest]
fn a_transient_disk_failure_costs_no_member(
    #[values("pwrite=ENOSPC:100", "sync=EIO:100", "pwrite=EIO:50,sync=EIO:50")] plan: &str,
) {
    let mut cluster = Cluster::new(NODES);
    let faults: Vec<SyscallFaults> = (0..3).map(|_| SyscallFaults::new(plan, 1)).collect();
    for node in 0..NODES {
        cluster.spawn(node, faults.get(node));
    }
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    for node in 0..NODES {
        cluster.wait_for_member_count(node, NODES);
    }
    faults.iter().for_each(SyscallFaults::switch_on);
    // Killing a node changes members and terms, so that nodes have to write while their disks fail.
    cluster.kill(4);
    std::thread::sleep(Duration::from_secs(5));
    faults.iter().for_each(SyscallFaults::switch_off);
    cluster.wait_for_leader(&[0, 1, 2, 3]);
    cluster.spawn(4, None);
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    // Kill the two nodes whose disks never failed: the other three are the smallest quorum.
    cluster.kill(3);
    cluster.kill(4);
    let before = cluster.applied_index(0);
    cluster.wait_for_leader(&[0, 1, 2]);
    cluster.spawn(3, None);
    cluster.spawn(4, None);
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    wait_until("the entries stored before", || {
        (cluster.applied_index(0) >= before).then_some(())
    });
    for node in 0..3 {
        assert!(
            !cluster.log(node).contains("until the next start"),
            "{}",
            cluster.log(node)
        );
    }
}

/// Processes are killed while their disks fail, and restart from their stored data.
#[test]
fn a_kill_while_the_disk_fails_leaves_a_usable_file() {
    let mut cluster = Cluster::new(NODES);
    let faults: Vec<SyscallFaults> = (0..NODES as u64)
        .map(|seed| SyscallFaults::new("pwrite=SHORT:30,pwrite=ENOSPC:30,sync=EIO:30", seed))
        .collect();
    for (node, faults) in faults.iter().enumerate() {
        cluster.spawn(node, Some(faults));
    }
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    for round in 0..4 {
        let node = round % NODES;
        faults.iter().for_each(SyscallFaults::switch_on);
        std::thread::sleep(Duration::from_millis(700));
        cluster.kill(node);
        faults.iter().for_each(SyscallFaults::switch_off);
        cluster.spawn(node, Some(&faults[node]));
        cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    }
    let logs: Vec<String> = (0..NODES).map(|node| cluster.log(node)).collect();
    let logs = logs.concat();
    assert!(!logs.contains("set aside"), "a file is damaged: {logs}");
    let bootstraps = logs.matches("control group bootstrapped").count();
    assert_eq!(
        bootstraps, 1,
        "the control group continues, and no other group is bootstrapped"
    );
}
