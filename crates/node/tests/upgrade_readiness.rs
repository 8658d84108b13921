//! When a new process of a node says that it can serve: while discovery can't be reached, or the older process is held up.

mod common;
use common::{send_signal, wait_until, Rig};
use std::time::{Duration, Instant};

/// A new process has to be ready within this time.
const READINESS_LIMIT: Duration = Duration::from_secs(6);
/// Changes count as told this long after discovery had them at the latest.
const MAX_CURRENT_LIST_AGE: Duration = Duration::from_secs(6);

/// Starts a node whose discovery tells it that a server drains, and fails then. The second value keeps discovery's address
/// reserved.
fn start_told_before_an_outage() -> (Rig, impl Sized) {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("endpoint list changed");
    let reserved = rig.stop_discovery();
    (rig, reserved)
}

/// A process said yes 6.0 s after its start, where it is due within 6 s.
#[test]
fn a_process_that_reaches_neither_discovery_nor_another_process_is_ready_in_time() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let _reserved = rig.stop_discovery();
    rig.signal("-KILL");
    rig.wait_for_exit();
    let started_at = Instant::now();
    rig.start_successor();
    rig.wait_until_ready();
    let elapsed = started_at.elapsed();
    assert!(elapsed < READINESS_LIMIT, "{elapsed:?}");
    rig.establish();
}

/// A process with the current list of the one before it waited 6 s for discovery, which was down.
#[test]
fn a_successor_with_a_current_list_does_not_wait_for_discovery_that_is_down() {
    let (mut rig, _reserved) = start_told_before_an_outage();
    let started_at = Instant::now();
    rig.start_successor();
    rig.wait_until_ready();
    let elapsed = started_at.elapsed();
    assert!(elapsed < READINESS_LIMIT / 2, "{elapsed:?}");
}

/// An older process that lost its watch long ago knows no more of the present than the file does: its successor waits for
/// discovery, and then goes by the better list.
#[test]
fn a_list_that_discovery_confirmed_long_ago_is_no_answer_of_discovery() {
    let (mut rig, _reserved) = start_told_before_an_outage();
    let lost_at = Instant::now();
    wait_until("the list is old", || {
        (lost_at.elapsed() > MAX_CURRENT_LIST_AGE).then_some(())
    });
    let started_at = Instant::now();
    rig.start_successor();
    rig.wait_for_log("endpoint list received from peer process, entries: 2, seq: 2");
    assert_eq!(
        rig.admin_call("check\r\n"),
        "error discovery has not told the list yet"
    );
    rig.wait_until_ready();
    let elapsed = started_at.elapsed();
    assert!(elapsed < READINESS_LIMIT, "{elapsed:?}");
    rig.terminate_predecessor();
    let _connections = rig.establish_all_at(1);
}

/// A process that discovery had answered accepted clients before it had the list of the other process, which was held up.
#[test]
fn a_successor_accepts_clients_once_it_has_the_list_of_its_predecessor() {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("endpoint list changed");
    let older_watch = rig.watch.take();
    rig.pause();
    rig.start_successor();
    // Discovery is late on this watch: it tells no change.
    rig.accept_watch();
    rig.wait_for_log_count("endpoint watch established", 2);
    assert_eq!(
        rig.admin_call("check\r\n"),
        "error the process before this one has not been reached yet"
    );
    send_signal(rig.oldest_process(), "-CONT");
    rig.wait_until_ready();
    rig.terminate_predecessor();
    let _connections = rig.establish_all_at(1);
    drop(older_watch);
}
