//! Shutdown, from SIGTERM to the earliest SIGKILL: clients keep using their connections, and every request is answered.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig, SyscallFaults};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The earliest SIGKILL comes this long after the longest deadline, which counts as `MAX_DEADLINE_MS` at most.
const KILL_DELAY_MS: u64 = 700;
const MAX_DEADLINE_MS: u64 = 3000;
/// New connections keep arriving for this long after SIGTERM.
const NEW_CONNECTIONS_MS: u64 = 400;
const NEW_CLIENTS: usize = 10;
/// Limit of the node's descriptors.
const DESCRIPTORS: usize = 1024;
/// Time limit for the setup of the relays before SIGTERM, long enough for a busy machine.
const RELAY_SETUP_MS: u64 = 15_000;
/// Request ids from here on are not used by the rig.
const FIRST_REQUEST_ID: u64 = 1 << 32;
/// The default number of seeds; the variable sets another one for a long manual run.
const SOAK_SEEDS: u64 = 4;
const SOAK_SEEDS_VARIABLE: &str = "LUPINCRANK_SOAK_SEEDS";
const NS_PER_MS: u64 = 1_000_000;

/// The signal that follows SIGTERM.
#[derive(Clone, Copy, Debug)]
enum LaterSignal {
    None,
    SecondTermination,
    Reload,
    ReloadWithShorterDeadline,
}

/// The connections and signals of one shutdown.
struct Plan {
    longest_deadline_ms: u64,
    later_signal: LaterSignal,
    /// Connections that exchange lines throughout.
    relays: usize,
    /// Connections that are open before SIGTERM and send their first line at a random time after it.
    idle: usize,
    /// Connections that never send anything.
    silent: usize,
}

fn set_deadline(config: &mut serde_json::Value, deadline_ms: u64) {
    let settings = &mut config["settings"];
    settings["Categories"][0]["DeadlineNs"] = (deadline_ms * NS_PER_MS).into();
    settings["Categories"][0]["PromiseNs"] = (20_000 * NS_PER_MS).into();
    settings["FamilyInfo"]["MessageAimNs"] = vec![20_000 * NS_PER_MS].into();
}

/// Sends lines one after the other until the client receives `MOVE`; panics if a line is lost or changed.
fn exchange_until_moved(mut client: LineStream) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for number in 0.. {
            let line = format!("line {number}");
            let is_sent = client.try_send(&format!("{line}\r\n")).is_ok();
            let reply = client.try_receive();
            if reply.as_deref() == Some("MOVE") {
                return;
            }
            assert!(is_sent, "cut off without MOVE");
            assert_eq!(reply, Some(line), "a line was lost");
            std::thread::sleep(Duration::from_millis(3));
        }
    })
}

/// The outcome for a client that sends its first line at a random time.
#[derive(Debug, PartialEq, Eq)]
enum RequestOutcome {
    Answered,
    /// The node had closed the connection before the line was sent.
    ClosedBeforeSend,
    Lost,
}

fn send_first_line(client: &mut LineStream, id: u64, deadline_ms: u64) -> Option<()> {
    if !client.is_quiet() {
        return None;
    }
    let line = format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=chat,d={deadline_ms},g={id}\r\n");
    client.try_send(&line).ok()
}

fn request_outcome(client: &mut LineStream, was_sent: bool) -> RequestOutcome {
    match client.try_receive() {
        Some(line) if ["UP", "BUSY", "ERR"].contains(&line.split(' ').next().unwrap()) => {
            RequestOutcome::Answered
        }
        _ if was_sent => RequestOutcome::Lost,
        _ => RequestOutcome::ClosedBeforeSend,
    }
}

/// Runs one shutdown with send times from this seed, and returns the outcomes of the requests.
fn run_shutdown(plan: &Plan, seed: u64) -> Vec<RequestOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let deadline_ms = plan.longest_deadline_ms;
    let mut rig = Rig::start_with_config(3, |config| set_deadline(config, deadline_ms));
    let servers = EchoServers::start(&rig);
    let relays: Vec<_> = (0..plan.relays)
        .map(|n| {
            let (mut client, _) = rig.send_request(&format!("d={RELAY_SETUP_MS},g={n}"));
            assert_eq!(client.receive(), "UP r1");
            exchange_until_moved(client)
        })
        .collect();
    let _silent: Vec<_> = (0..plan.silent).map(|_| rig.connect_client()).collect();
    let kill_ms = deadline_ms.min(MAX_DEADLINE_MS) + KILL_DELAY_MS;
    let mut sends: Vec<(u64, Option<LineStream>)> = (0..plan.idle)
        .map(|_| (rng.random_range(0..kill_ms), Some(rig.connect_client())))
        .collect();
    sends.extend((0..NEW_CLIENTS).map(|_| (rng.random_range(0..NEW_CONNECTIONS_MS), None)));
    sends.sort_by_key(|(send_ms, _)| *send_ms);
    wait_until("all connections are accepted", || {
        (rig.open_descriptor_count() > plan.idle + plan.silent + 2 * plan.relays).then_some(())
    });
    let exit = rig.watch_exit();
    let started_at = Instant::now();
    rig.signal("-TERM");
    let later_signal_after = Duration::from_millis(rng.random_range(20..200));
    let mut later_signal = Some(plan.later_signal);
    let mut sent = Vec::new();
    for (number, (send_ms, client)) in sends.into_iter().enumerate() {
        let send_after = Duration::from_millis(send_ms);
        if send_after >= later_signal_after {
            if let Some(later_signal) = later_signal.take() {
                send_later_signal(&mut rig, later_signal, deadline_ms);
            }
        }
        std::thread::sleep(send_after.saturating_sub(started_at.elapsed()));
        let mut client = client.unwrap_or_else(|| rig.connect_client());
        let was_sent = send_first_line(&mut client, FIRST_REQUEST_ID + number as u64, deadline_ms);
        sent.push((client, was_sent.is_some()));
    }
    let outcomes = sent
        .iter_mut()
        .map(|(client, was_sent)| request_outcome(client, *was_sent))
        .collect();
    // The clients keep their connections open: the process must exit without waiting for them.
    assert!(rig.wait_for_exit().success());
    drop(sent);
    let duration = exit.join().unwrap() - started_at;
    assert!(
        duration < Duration::from_millis(kill_ms),
        "exit after the earliest SIGKILL: {duration:?}"
    );
    for relay in relays {
        relay.join().unwrap();
    }
    let first_lines = servers.first_lines();
    let mut ids: Vec<&str> = first_lines.iter().map(|line| &line[..21]).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), first_lines.len(), "a request was sent twice");
    outcomes
}

fn send_later_signal(rig: &mut Rig, later_signal: LaterSignal, deadline_ms: u64) {
    match later_signal {
        LaterSignal::None => {}
        LaterSignal::SecondTermination => rig.signal("-TERM"),
        LaterSignal::Reload => rig.signal("-HUP"),
        LaterSignal::ReloadWithShorterDeadline => {
            set_deadline(&mut rig.config, deadline_ms / 2);
            rig.reload_config(&rig.config.to_string());
        }
    }
}

#[rstest]
fn every_request_is_answered_until_the_earliest_kill(
    #[values(300, 500, 1000, 3000, 10_000)] longest_deadline_ms: u64,
    #[values(
        LaterSignal::None,
        LaterSignal::SecondTermination,
        LaterSignal::Reload,
        LaterSignal::ReloadWithShorterDeadline
    )]
    later_signal: LaterSignal,
) {
    let plan = Plan {
        longest_deadline_ms,
        later_signal,
        relays: 10,
        idle: 40,
        silent: 0,
    };
    let outcomes = run_shutdown(&plan, longest_deadline_ms);
    let lost = outcomes
        .iter()
        .filter(|outcome| **outcome == RequestOutcome::Lost)
        .count();
    assert_eq!(lost, 0, "{outcomes:?}");
}

/// A node without connections keeps listening for as long as new ones may arrive after SIGTERM.
#[rstest]
fn a_node_without_clients_answers_those_that_come_after_sigterm(
    #[values(300, 3000)] deadline_ms: u64,
) {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, deadline_ms));
    let started_at = Instant::now();
    rig.signal("-TERM");
    for arrival_ms in [100, 200, 300, NEW_CONNECTIONS_MS] {
        std::thread::sleep(Duration::from_millis(arrival_ms).saturating_sub(started_at.elapsed()));
        let (mut client, _) = rig.send_request(&format!("d={deadline_ms},g={arrival_ms}"));
        let is_forwarded = || {
            let is_attempted = rig.servers[0].as_ref().unwrap().accept().is_ok();
            (is_attempted || !client.is_quiet()).then_some(is_attempted)
        };
        if !wait_until("an attempt or an answer", is_forwarded) {
            assert!(
                client.receive().starts_with("BUSY"),
                "{arrival_ms} ms after SIGTERM"
            );
        }
    }
    assert!(rig.wait_for_exit().success());
}

/// A configuration with another longest deadline is loaded before SIGTERM: the shorter one determines the earliest
/// SIGKILL, by which the process must have exited.
#[rstest]
#[case::shorter(3000, 500)]
#[case::longer(500, 3000)]
fn the_shorter_of_two_longest_deadlines_decides_the_exit(
    #[case] before_ms: u64,
    #[case] after_ms: u64,
) {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, before_ms));
    let _idle: Vec<_> = (0..5).map(|_| rig.connect_client()).collect();
    set_deadline(&mut rig.config, after_ms);
    rig.reload_config(&rig.config.to_string());
    rig.wait_for_log("configuration reloaded");
    let started_at = Instant::now();
    rig.signal("-TERM");
    assert!(rig.wait_for_exit().success());
    let kill_after = Duration::from_millis(before_ms.min(after_ms) + KILL_DELAY_MS);
    assert!(
        started_at.elapsed() < kill_after,
        "{:?}",
        started_at.elapsed()
    );
}

/// Successive seeded shutdowns, every other one with many connections that send nothing.
#[test]
fn soak_of_shutdowns_loses_no_request() {
    let seeds =
        std::env::var(SOAK_SEEDS_VARIABLE).map_or(SOAK_SEEDS, |seeds| seeds.parse().unwrap());
    let mut lost = Vec::new();
    for seed in 1..=seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let later_signals = [
            LaterSignal::None,
            LaterSignal::SecondTermination,
            LaterSignal::Reload,
            LaterSignal::ReloadWithShorterDeadline,
        ];
        let plan = Plan {
            longest_deadline_ms: rng.random_range(300..4000),
            later_signal: later_signals[rng.random_range(0..later_signals.len())],
            relays: 30,
            idle: 100,
            silent: if seed % 2 == 0 { 150 } else { 0 },
        };
        let outcomes = run_shutdown(&plan, seed);
        let count = outcomes
            .iter()
            .filter(|outcome| **outcome == RequestOutcome::Lost)
            .count();
        if count > 0 {
            lost.push(format!("seed {seed}: {count} of {}", outcomes.len()));
        }
    }
    assert!(lost.is_empty(), "{lost:?}");
}

/// The process is paused past the end of the shutdown: requests that arrive meanwhile are answered before it exits.
#[test]
fn requests_that_arrive_while_the_process_is_paused_at_its_exit_are_answered() {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, 300));
    let mut idle: Vec<_> = (0..20).map(|_| rig.connect_client()).collect();
    wait_until("all connections are accepted", || {
        (rig.open_descriptor_count() > 20).then_some(())
    });
    let started_at = Instant::now();
    rig.signal("-TERM");
    rig.wait_for_log("shutdown started");
    // The process exits 0.3 s before the earliest SIGKILL, and may be paused for 0.15 s.
    std::thread::sleep(Duration::from_millis(600).saturating_sub(started_at.elapsed()));
    rig.pause();
    idle.extend((0..60).map(|_| rig.connect_client()));
    let mut sent = Vec::new();
    for (number, mut client) in idle.into_iter().enumerate() {
        if send_first_line(&mut client, FIRST_REQUEST_ID + number as u64, 300).is_some() {
            sent.push(client);
        }
    }
    assert!(sent.len() >= 60, "{} requests crossed the exit", sent.len());
    std::thread::sleep(Duration::from_millis(750).saturating_sub(started_at.elapsed()));
    rig.resume();
    for (number, client) in sent.iter_mut().enumerate() {
        let answer = client.try_receive().unwrap_or_default();
        assert!(answer.starts_with("BUSY"), "request {number}: {answer:?}");
    }
    drop(sent);
    assert!(rig.wait_for_exit().success());
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

/// The process is paused past the end of the shutdown, and accepts fail for a moment then. If the last round of accepts
/// stopped at its first error (log line `accept failed`), the exit would reset the connections that wait in the
/// kernel's queue; they must be answered.
#[rstest]
#[case::aborted("accept=ECONNABORTED:30")]
#[case::files("accept=ENFILE:30")]
#[case::descriptors("accept=EMFILE:30")]
#[case::buffers("accept=ENOBUFS:30")]
#[case::network_down("accept=ENETDOWN:30")]
#[case::interrupted("accept=EINTR:30")]
#[case::unregistered("register=ENOMEM:30")]
fn connections_that_wait_at_the_exit_are_answered_despite_transient_accept_errors(
    #[case] plan: &str,
) {
    let faults = SyscallFaults::new(plan, 1);
    let mut rig = Rig::start_changed(1, DESCRIPTORS, Some(faults), |config| {
        set_deadline(config, 300);
    });
    rig.switch_faults_off();
    let started_at = Instant::now();
    rig.signal("-TERM");
    rig.wait_for_log("shutdown started");
    std::thread::sleep(Duration::from_millis(600).saturating_sub(started_at.elapsed()));
    rig.pause();
    rig.switch_faults_on();
    let mut clients: Vec<LineStream> = (0..30).map(|_| rig.connect_client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = FIRST_REQUEST_ID + number as u64;
        assert!(send_first_line(client, id, 300).is_some());
    }
    std::thread::sleep(Duration::from_millis(720).saturating_sub(started_at.elapsed()));
    rig.resume();
    let answers: Vec<String> = clients
        .iter_mut()
        .map(|client| client.try_receive().unwrap_or_default())
        .collect();
    let unanswered = answers
        .iter()
        .filter(|answer| !answer.starts_with("BUSY"))
        .count();
    assert_eq!(unanswered, 0, "{answers:?}");
    drop(clients);
    assert!(rig.wait_for_exit().success());
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

/// A node without clients exits early, but not while accepts fail: a connection that arrived within `NEW_CONNECTIONS_MS`
/// after SIGTERM must be served.
#[test]
fn a_node_without_clients_does_not_exit_while_accepts_fail() {
    let faults = SyscallFaults::new("accept=ENFILE:100", 1);
    let mut rig = Rig::start_changed(1, DESCRIPTORS, Some(faults), |config| {
        set_deadline(config, 3000);
    });
    rig.signal("-TERM");
    let mut client = rig.connect_client();
    assert!(send_first_line(&mut client, FIRST_REQUEST_ID, 3000).is_some());
    rig.wait_for_log("accept failed");
    std::thread::sleep(Duration::from_millis(3 * NEW_CONNECTIONS_MS));
    rig.switch_faults_off();
    let (_server_end, _first_line) = rig.accept_attempt();
    drop(client);
    assert!(rig.wait_for_exit().success());
}

/// The request of a client that closes or half-closes its connection after the first line is not forwarded; a client
/// that still reads gets an answer.
#[test]
fn a_request_of_a_half_closed_client_is_answered_and_not_forwarded() {
    let mut rig = Rig::start(1);
    rig.pause();
    let (mut client, _) = rig.send_request("d=1500,g=a");
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    rig.resume();
    assert_eq!(client.receive(), "ERR");
    assert_eq!(rig.query("PING\r\n"), "PONG");
    assert!(rig.has_no_attempt());
}

/// An idle connection gets an answer when its time is over, so that a first line that crosses the close has one.
#[test]
fn a_first_line_that_crosses_the_close_of_its_idle_connection_is_answered() {
    let rig = Rig::start(1);
    let mut client = rig.connect_client();
    assert_eq!(
        client.receive(),
        "BUSY",
        "the answer to a line that crosses the close"
    );
    assert!(send_crossing(&mut client).is_ok());
    assert_eq!(
        client.receive(),
        "",
        "and the close, without a reset that would discard the answer"
    );
}

fn send_crossing(client: &mut LineStream) -> std::io::Result<()> {
    client.try_send("OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=a\r\n")
}
