//! System calls that fail in the ways that Linux documents: no request, line or signal is lost because of them.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig, SyscallFaults};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests that one test sends, `CONCURRENT_REQUESTS` at once.
const REQUESTS: usize = 200;
const CONCURRENT_REQUESTS: usize = 20;
const DESCRIPTORS: usize = 1024;
/// Lines that are exchanged on each established connection.
const LINES: usize = 5;
/// Time from SIGTERM to the earliest SIGKILL if the longest deadline is 2 s.
const KILL_DELAY: Duration = Duration::from_millis(2700);

/// Starts a node in which calls fail. No delay of this machine counts as a server's overload, which would reject
/// requests.
fn start(server_count: usize, plan: &str) -> Rig {
    let faults = SyscallFaults::new(plan, 7);
    let mut rig = Rig::start_changed(server_count, DESCRIPTORS, Some(faults), |_| {});
    rig.allow_long_delays();
    rig
}

/// The first word of a client's answer, or `closed`.
fn outcome(client: &mut LineStream) -> String {
    match client.try_receive() {
        Some(line) => line.split(' ').next().unwrap_or_default().to_string(),
        None => "closed".to_string(),
    }
}

/// Sends the requests, a few at a time; returns the number of each outcome, and the clients that were served.
fn send_requests(rig: &mut Rig) -> (BTreeMap<String, usize>, Vec<LineStream>) {
    let mut outcomes = BTreeMap::new();
    let mut served = Vec::new();
    for round in 0..REQUESTS / CONCURRENT_REQUESTS {
        let clients: Vec<LineStream> = (0..CONCURRENT_REQUESTS)
            .map(|n| rig.send_request(&format!("d=2000,g={round}-{n}")).0)
            .collect();
        for mut client in clients {
            let outcome = outcome(&mut client);
            if outcome == "UP" {
                served.push(client);
            }
            *outcomes.entry(outcome).or_default() += 1;
        }
    }
    (outcomes, served)
}

fn assert_all_served(outcomes: &BTreeMap<String, usize>) {
    let expected = BTreeMap::from([("UP".to_string(), REQUESTS)]);
    assert_eq!(outcomes, &expected, "every request is served");
}

/// Sends lines and asserts that each is echoed unchanged.
fn exchange_lines(client: &mut LineStream) {
    for number in 0..LINES {
        let line = format!("line {number}{}", "x".repeat(number * 300));
        client.try_send(&format!("{line}\r\n")).unwrap();
        assert_eq!(client.try_receive(), Some(line));
    }
}

/// Asserts that all clients receive `MOVE` and the process exits before it may be killed.
fn assert_graceful_shutdown(rig: &mut Rig, clients: Vec<LineStream>) {
    let started_at = Instant::now();
    rig.signal("-TERM");
    for mut client in clients {
        assert_eq!(client.try_receive().as_deref(), Some("MOVE"));
    }
    assert!(rig.wait_for_exit().success());
    assert!(
        started_at.elapsed() < KILL_DELAY,
        "{:?}",
        started_at.elapsed()
    );
}

#[rstest]
#[case::seldom("recv=EINTR:2,send=EINTR:2,accept=EINTR:2,wait=EINTR:2")]
#[case::often("recv=EINTR:20,send=EINTR:20,accept=EINTR:20,wait=EINTR:20")]
#[case::short("recv=SHORT:50,send=SHORT:50")]
#[case::short_and_interrupted("recv=EINTR:20,send=EINTR:20,recv=SHORT:50,send=SHORT:50")]
fn interrupted_and_short_calls_lose_no_request_line_or_signal(#[case] plan: &str) {
    let mut rig = start(3, plan);
    let _servers = EchoServers::start(&rig);
    let (outcomes, mut served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    served.iter_mut().for_each(exchange_lines);
    rig.signal("-HUP");
    rig.wait_for_log("configuration reloaded");
    assert_graceful_shutdown(&mut rig, served);
    assert!(!rig.log().contains("discovery failed"), "{}", rig.log());
}

#[rstest]
#[case::aborted("accept=ECONNABORTED:20")]
#[case::files("accept=ENFILE:20")]
#[case::descriptors("accept=EMFILE:20")]
#[case::buffers("accept=ENOBUFS:20")]
#[case::memory("accept=ENOMEM:20")]
#[case::network_down("accept=ENETDOWN:20")]
#[case::unreachable("accept=EHOSTUNREACH:20")]
fn an_accept_that_fails_for_a_moment_loses_no_client(#[case] plan: &str) {
    let mut rig = start(3, plan);
    let _servers = EchoServers::start(&rig);
    let (outcomes, served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    assert_graceful_shutdown(&mut rig, served);
}

/// A local fault must neither cause a rejection nor count as a failure of a server.
#[rstest]
#[case::network("connect=ENETUNREACH:20")]
#[case::network_down("connect=ENETDOWN:20")]
#[case::ports("connect=EADDRNOTAVAIL:20")]
#[case::interrupted("connect=EINTR:20")]
#[case::files("socket=ENFILE:20")]
#[case::descriptors("socket=EMFILE:20")]
#[case::buffers("socket=ENOBUFS:20")]
fn a_connect_that_fails_locally_for_a_moment_rejects_no_request(#[case] plan: &str) {
    let mut rig = start(3, plan);
    let servers = EchoServers::start(&rig);
    let (outcomes, served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    let mut ids: Vec<String> = servers
        .first_lines()
        .iter()
        .map(|line| line.split(' ').nth(1).unwrap().to_string())
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(
        ids.len(),
        servers.first_lines().len(),
        "no request is sent twice"
    );
    assert!(!rig.log().contains("ejected"), "{}", rig.log());
    drop(served);
}

/// A stream that cannot be registered with the poller for a moment must not lose its client or the client's bytes.
#[test]
fn a_client_whose_socket_cannot_be_registered_at_once_gets_its_answer() {
    let plan = "register=ENOMEM:20";
    let mut rig = start(3, plan);
    let _servers = EchoServers::start(&rig);
    let (outcomes, served) = send_requests(&mut rig);
    let closed = outcomes.get("closed").copied().unwrap_or_default();
    assert_eq!(closed, 0, "closed with no answer: {outcomes:?}");
    assert_graceful_shutdown(&mut rig, served);
}

/// Admin calls are answered even if reads and writes are interrupted or a socket cannot be registered at once.
#[rstest]
fn admin_calls_are_answered_while_calls_are_interrupted(
    #[values(
        "recv=EINTR:30,send=EINTR:30,accept=EINTR:30",
        "recv=SHORT:50,send=SHORT:50",
        "accept=ENFILE:20,register=ENOMEM:20"
    )]
    plan: &str,
) {
    let rig = Rig::start_with_faults(1, SyscallFaults::new(plan, 5));
    for _ in 0..100 {
        assert_eq!(rig.admin_call("check\r\n"), "done");
    }
}

/// Health checks continue while their calls are interrupted or cut short, and none counts as failed.
#[rstest]
fn health_checks_go_on_while_calls_fail(
    #[values(
        "recv=EINTR:30,send=EINTR:30",
        "recv=SHORT:60,send=SHORT:60",
        "connect=ENETUNREACH:20"
    )]
    plan: &str,
) {
    let faults = SyscallFaults::new(plan, 7);
    let mut rig = Rig::start_changed(3, DESCRIPTORS, Some(faults), |config| {
        config["settings"]["Limits"]["MayProbe"] = true.into();
        config["settings"]["Report"] = serde_json::json!({"How": "on_probe", "Fields": ["x0"]});
    });
    rig.allow_long_delays();
    let _servers = EchoServers::start(&rig);
    let (outcomes, served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    let log = rig.log();
    assert!(
        log.contains("health check completed"),
        "no health check was made"
    );
    assert!(!log.contains("health check failed"), "{log}");
    drop(served);
}

/// Nine in ten connects to discovery fail: the watch must be reopened, and a drain applied, in time.
#[test]
fn a_watch_is_opened_again_though_connects_fail_for_a_moment() {
    let mut rig = start(2, "connect=ENETUNREACH:90,recv=SHORT:50");
    let servers = EchoServers::start(&rig);
    for seq in 2..6 {
        let ended_at = Instant::now();
        rig.watch = None;
        rig.accept_watch();
        assert!(
            ended_at.elapsed() < Duration::from_secs(6),
            "{:?}",
            ended_at.elapsed()
        );
        let health = if seq % 2 == 0 { "DRAINING" } else { "SERVING" };
        rig.announce_health(0, health, seq);
        rig.wait_for_log(&format!("seq: {seq}"));
    }
    rig.announce_health(0, "DRAINING", 6);
    rig.wait_for_log("seq: 6");
    rig.switch_faults_off();
    let before = servers.first_line_count(0);
    let (outcomes, _served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    assert_eq!(
        servers.first_line_count(0),
        before,
        "a new request to the draining server"
    );
}

/// A signal is handled even if the signal handler's write to the event loop is interrupted each time.
#[test]
fn a_signal_whose_wake_up_is_interrupted_is_handled() {
    let mut rig = Rig::start_with_faults(1, SyscallFaults::new("send=EINTR:100", 1));
    rig.signal("-HUP");
    rig.wait_for_log("configuration reloaded");
    let terminated_at = Instant::now();
    rig.signal("-TERM");
    assert!(rig.wait_for_exit().success());
    assert!(
        terminated_at.elapsed() < KILL_DELAY,
        "{:?}",
        terminated_at.elapsed()
    );
}

/// Connections are handed over to another process while system calls are interrupted.
#[test]
fn a_handoff_loses_no_connection_while_calls_are_interrupted() {
    let faults = SyscallFaults::new("recv=EINTR:30,send=EINTR:30,accept=EINTR:30", 5);
    let mut rig = Rig::start_inheriting_with_faults(2, faults);
    rig.allow_long_delays();
    let _servers = EchoServers::start(&rig);
    let (outcomes, mut served) = send_requests(&mut rig);
    assert_all_served(&outcomes);
    rig.hand_over_to_successor();
    served.iter_mut().for_each(exchange_lines);
}

/// A read that fails because the network connection broke counts as a reset, whichever error reports it.
#[rstest]
fn a_connection_that_breaks_in_the_network_is_answered_or_closed(
    #[values("recv=ETIMEDOUT:3", "recv=EHOSTUNREACH:3")] plan: &str,
) {
    let mut rig = start(3, plan);
    let _servers = EchoServers::start(&rig);
    let (outcomes, served) = send_requests(&mut rig);
    let known = ["UP", "BUSY", "ERR", "closed"];
    assert!(outcomes
        .keys()
        .all(|outcome| known.contains(&outcome.as_str())));
    assert!(outcomes["UP"] > REQUESTS / 2, "{outcomes:?}");
    assert!(rig.is_running());
    drop(served);
    wait_until("the node answers", || {
        (rig.query("PING\r\n") == "PONG").then_some(())
    });
}
