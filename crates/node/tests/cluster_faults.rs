//! A cluster of real nodes whose wall clocks are stepped and whose disks fail for a while.

mod common;
use common::{wait_until, Cluster, SyscallFaults};
use rstest::rstest;
use std::time::{Duration, Instant};

const NODES: usize = 5;
/// A process that starts again is a member and a new leader is found in this time.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Killed, and started again after so long with its wall clock an hour back or ahead: at once a member for all others.
#[rstest]
fn a_node_that_starts_again_with_another_clock_is_a_member_at_once(
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

/// A process that ends in good order leaves the cluster, and says nothing of a later process of its name.
#[test]
fn a_node_that_ends_in_good_order_is_not_told_that_it_was_replaced() {
    let mut cluster = Cluster::start(3);
    for node in 0..3 {
        cluster.wait_for_member_count(node, 3);
    }
    cluster.terminate(1);
    let log = cluster.log(1);
    assert!(log.contains("left the cluster"), "{log}");
    assert!(!log.contains("replaced by a later process"), "{log}");
}

/// The disks of three nodes of five fail for a while, the leader's among them: with its leader killed the group elects
/// another one, and all that was stored before is there after all have started again.
#[rstest]
fn a_disk_that_fails_for_a_while_costs_no_member(
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
    // Something has to be written meanwhile: members and terms change.
    cluster.kill(4);
    std::thread::sleep(Duration::from_secs(5));
    faults.iter().for_each(SyscallFaults::switch_off);
    cluster.wait_for_leader(&[0, 1, 2, 3]);
    cluster.spawn(4, None);
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    // Now two nodes whose disks never failed go: the others have to go on alone.
    cluster.kill(3);
    cluster.kill(4);
    let before = cluster.applied_index(0);
    cluster.wait_for_leader(&[0, 1, 2]);
    cluster.spawn(3, None);
    cluster.spawn(4, None);
    cluster.wait_for_leader(&[0, 1, 2, 3, 4]);
    wait_until("what was stored before", || {
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

/// Processes are killed while their disks fail, and start again with what they had stored.
#[test]
fn a_kill_while_the_disk_fails_leaves_a_file_that_goes_on() {
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
    assert!(!logs.contains("set aside"), "a file was damaged: {logs}");
    let bootstraps = logs.matches("control group bootstrapped").count();
    assert_eq!(bootstraps, 1, "the group goes on, and no other one begins");
}
