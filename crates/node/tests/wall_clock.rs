//! Steps of the wall clock: deadlines, windows and the slow start of servers depend on elapsed time only.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig, SyscallFaults};
use rstest::rstest;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const DESCRIPTORS: usize = 1024;
const LONG_NS: u64 = 20_000_000_000;
/// Requests to a fleet of two warm servers and one that has just started.
const REQUESTS: usize = 150;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Allowed difference between two counts of the same plan, because the durations of connects and answers vary.
const COUNT_TOLERANCE: usize = 4;

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since_epoch.as_millis() as u64
}

/// The answer of discovery from which the node learns that a server has started.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportedIn {
    /// A change sent on an open watch.
    Watch,
    /// The first list, with a `Date` header as HTTP requires it of a service that has a clock.
    DatedFirstList,
    /// The first list, without a `Date` header.
    UndatedFirstList,
    /// The first list, without a `Date` header and with another server that started at the same time.
    UndatedFirstListWithAnother,
}

/// Returns the number of requests that go to a server that is reported `age` after its start, if the node's wall clock
/// is ahead by `clock_offset_seconds` from the node's start on.
fn requests_to_starting_server(
    reported_in: ReportedIn,
    clock_offset_seconds: i64,
    age: Duration,
) -> usize {
    let faults = SyscallFaults::new(&format!("clock={clock_offset_seconds}"), 1);
    let mut rig = Rig::launch_with_faults(3, DESCRIPTORS, faults, |config| {
        let known = config["known"]["hosts"].as_array_mut().unwrap();
        known.truncate(2);
        config["settings"]["FamilyInfo"]["MessageAimNs"] = vec![LONG_NS].into();
    });
    let servers = EchoServers::start(&rig);
    let started_at_ms = unix_ms() - age.as_millis() as u64;
    let mut list = rig.endpoint_list(&["SERVING"; 3], 2, true);
    list["hosts"][2]["born_ms"] = started_at_ms.into();
    if reported_in == ReportedIn::UndatedFirstListWithAnother {
        list["hosts"][1]["born_ms"] = started_at_ms.into();
    }
    match reported_in {
        ReportedIn::Watch => {
            rig.accept_watch();
            rig.wait_for_pong();
            rig.announce_start(2, started_at_ms, 2);
        }
        ReportedIn::DatedFirstList => {
            rig.accept_watch_with_list(&list.to_string(), Some(SystemTime::now()));
        }
        ReportedIn::UndatedFirstList | ReportedIn::UndatedFirstListWithAnother => {
            rig.accept_watch_with_list(&list.to_string(), None);
        }
    }
    rig.wait_for_log("seq: 2");
    rig.wait_for_pong();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        clients.push(rig.send_request(&format!("d=2000,g={number}")).0);
        std::thread::sleep(REQUEST_INTERVAL);
    }
    for client in &mut clients {
        client.receive();
    }
    servers.first_line_count(2)
}

/// Asserts that the server receives about as many requests as with a correct clock: at least half of them, and no more,
/// within `COUNT_TOLERANCE`.
fn assert_slow_start(reported_in: ReportedIn, clock_offset_seconds: i64, age: Duration) {
    let expected = requests_to_starting_server(reported_in, 0, age);
    let count = requests_to_starting_server(reported_in, clock_offset_seconds, age);
    println!("requests to the starting server: {count}, with a correct clock {expected}");
    assert!(
        expected < REQUESTS / 4,
        "slow start does not limit the server: {expected}"
    );
    assert!(
        count <= expected + COUNT_TOLERANCE,
        "{count}, with a correct clock {expected}"
    );
    assert!(
        count + COUNT_TOLERANCE >= expected / 2,
        "{count}, with a correct clock {expected}"
    );
}

#[rstest]
fn a_server_that_starts_is_in_slow_start_whatever_the_wall_clock_says(
    #[values(3600, 30, -3600, -30)] clock_offset_seconds: i64,
) {
    assert_slow_start(
        ReportedIn::Watch,
        clock_offset_seconds,
        Duration::from_millis(500),
    );
}

/// A node whose wall clock is ahead at its start must not send a server in slow start its full share of requests at
/// once.
#[rstest]
fn a_server_of_the_first_list_is_in_slow_start_whatever_the_wall_clock_says(
    #[values(3600, 30, -3600, -30)] clock_offset_seconds: i64,
) {
    assert_slow_start(
        ReportedIn::DatedFirstList,
        clock_offset_seconds,
        Duration::from_millis(2500),
    );
}

/// The node's clock is wrong from its start on, and discovery sends no `Date` header, so no input contradicts the
/// clock.
#[rstest]
fn a_server_of_an_undated_first_list_is_in_slow_start_too(
    #[values(3600, 30, -3600, -30)] clock_offset_seconds: i64,
) {
    assert_slow_start(
        ReportedIn::UndatedFirstList,
        clock_offset_seconds,
        Duration::from_millis(2500),
    );
}

/// The node's clock is wrong, discovery sends no `Date` header, and most servers started at the same time, as after a
/// power failure.
#[rstest]
fn servers_of_an_undated_first_list_that_started_together_are_in_slow_start(
    #[values(3600, 30)] clock_offset_seconds: i64,
) {
    assert_slow_start(
        ReportedIn::UndatedFirstListWithAnother,
        clock_offset_seconds,
        Duration::from_millis(2500),
    );
}

/// A step of the clock while the node runs moves no deadline: of a request, of a first line, or of the shutdown.
#[rstest]
fn a_step_of_the_wall_clock_moves_no_deadline(#[values(3600, -3600)] offset_seconds: i64) {
    let faults = SyscallFaults::new(&format!("clock={offset_seconds}"), 1);
    let mut rig = Rig::start_changed(1, DESCRIPTORS, Some(faults), |config| {
        config["settings"]["Limits"]["SendCap"] = 1.into();
    });
    let (mut waiting, _) = rig.send_request("d=900,g=a");
    let sent_at = Instant::now();
    let (_, _silent_server) = rig.accept_attempt();
    let mut slow = rig.connect_client();
    slow.send("OPEN 9b1f03");
    rig.switch_faults_off();
    std::thread::sleep(Duration::from_millis(200));
    rig.switch_faults_on();
    assert!(["BUSY", "ERR"].contains(&waiting.receive().split(' ').next().unwrap()));
    let waited = sent_at.elapsed();
    assert!(waited > Duration::from_millis(800), "{waited:?}");
    assert!(waited < Duration::from_millis(1400), "{waited:?}");
    assert_eq!(slow.receive(), "ERR");
    assert!(sent_at.elapsed() > Duration::from_secs(2));
    assert!(sent_at.elapsed() < Duration::from_secs(3));
    drop((waiting, slow));
    let terminated_at = Instant::now();
    rig.signal("-TERM");
    let _idle: Vec<LineStream> = (0..3).map(|_| rig.connect_client()).collect();
    rig.switch_faults_off();
    wait_until("the node exits", || (!rig.is_running()).then_some(()));
    let duration = terminated_at.elapsed();
    assert!(
        duration > Duration::from_millis(700) && duration < Duration::from_millis(2700),
        "{duration:?}"
    );
}
