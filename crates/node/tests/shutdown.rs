//! SIGTERM up to the earliest SIGKILL: clients use their connections all the while, and every request gets its answer.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig, SyscallFaults};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// SIGKILL may come so long after the longest deadline, which counts as `MAX_DEADLINE_MS` at the most.
const KILL_DELAY_MS: u64 = 700;
const MAX_DEADLINE_MS: u64 = 3000;
/// New connections keep coming for so long after SIGTERM.
const NEW_CONNECTIONS_MS: u64 = 400;
const NEW_CLIENTS: usize = 10;
/// How many descriptors the node may use.
const DESCRIPTORS: usize = 1024;
/// How long the connections that are relayed may take to be set up before SIGTERM, on a machine that has much to do.
const RELAY_SETUP_MS: u64 = 15_000;
/// Ids that the rig does not give.
const FIRST_REQUEST_ID: u64 = 1 << 32;
/// The standard number of seeds; the variable names another one for a long run by hand.
const SOAK_SEEDS: u64 = 4;
const SOAK_SEEDS_VARIABLE: &str = "LUPINCRANK_SOAK_SEEDS";
const NS_PER_MS: u64 = 1_000_000;

/// Signals that follow SIGTERM.
#[derive(Clone, Copy, Debug)]
enum Series {
    None,
    SecondTermination,
    Reload,
    ReloadWithShorterDeadline,
}

/// What is played during one shutdown.
struct Plan {
    longest_deadline_ms: u64,
    series: Series,
    relays: usize,
    resting: usize,
    /// Connections that never send anything.
    silent: usize,
}

fn set_deadline(config: &mut serde_json::Value, deadline_ms: u64) {
    let settings = &mut config["settings"];
    settings["Categories"][0]["DeadlineNs"] = (deadline_ms * NS_PER_MS).into();
    settings["Categories"][0]["PromiseNs"] = (20_000 * NS_PER_MS).into();
    settings["FamilyInfo"]["MessageAimNs"] = vec![20_000 * NS_PER_MS].into();
}

/// Sends lines one after the other until the client is told to move; panics where a line is lost or changed.
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

/// A client that sends its first line at a drawn moment; what became of it.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// The node had ended the connection before the line was sent.
    ClosedBefore,
    Lost,
}

fn send_first_line(client: &mut LineStream, id: u64, deadline_ms: u64) -> Option<()> {
    if !client.is_quiet() {
        return None;
    }
    let line = format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=chat,d={deadline_ms},g={id}\r\n");
    client.try_send(&line).ok()
}

fn fate(client: &mut LineStream, was_sent: bool) -> Fate {
    match client.try_receive() {
        Some(line) if ["UP", "BUSY", "ERR"].contains(&line.split(' ').next().unwrap()) => {
            Fate::Answered
        }
        _ if was_sent => Fate::Lost,
        _ => Fate::ClosedBefore,
    }
}

/// Plays one shutdown with these seeded moments, and gives what became of the requests.
fn play(plan: &Plan, seed: u64) -> Vec<Fate> {
    let mut random = StdRng::seed_from_u64(seed);
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
    let mut moments: Vec<(u64, Option<LineStream>)> = (0..plan.resting)
        .map(|_| (random.random_range(0..kill_ms), Some(rig.connect_client())))
        .collect();
    moments.extend((0..NEW_CLIENTS).map(|_| (random.random_range(0..NEW_CONNECTIONS_MS), None)));
    moments.sort_by_key(|(at, _)| *at);
    wait_until("all are accepted", || {
        (rig.open_descriptor_count() > plan.resting + plan.silent + 2 * plan.relays).then_some(())
    });
    let exit = rig.watch_exit();
    let started_at = Instant::now();
    rig.signal("-TERM");
    let second_signal_at = Duration::from_millis(random.random_range(20..200));
    let mut series = Some(plan.series);
    let mut sent = Vec::new();
    for (number, (at, client)) in moments.into_iter().enumerate() {
        let at = Duration::from_millis(at);
        if at >= second_signal_at {
            if let Some(series) = series.take() {
                send_series(&mut rig, series, deadline_ms);
            }
        }
        std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        let mut client = client.unwrap_or_else(|| rig.connect_client());
        let was_sent = send_first_line(&mut client, FIRST_REQUEST_ID + number as u64, deadline_ms);
        sent.push((client, was_sent.is_some()));
    }
    let fates = sent
        .iter_mut()
        .map(|(client, was_sent)| fate(client, *was_sent))
        .collect();
    // The clients hold their connections to the end: the process must not wait for them.
    assert!(rig.wait_for_exit().success());
    drop(sent);
    let took = exit.join().unwrap() - started_at;
    assert!(
        took < Duration::from_millis(kill_ms),
        "killed before: {took:?}"
    );
    for relay in relays {
        relay.join().unwrap();
    }
    let first_lines = servers.first_lines();
    let mut ids: Vec<&str> = first_lines.iter().map(|line| &line[..21]).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), first_lines.len(), "a request was sent twice");
    fates
}

fn send_series(rig: &mut Rig, series: Series, deadline_ms: u64) {
    match series {
        Series::None => {}
        Series::SecondTermination => rig.signal("-TERM"),
        Series::Reload => rig.signal("-HUP"),
        Series::ReloadWithShorterDeadline => {
            set_deadline(&mut rig.config, deadline_ms / 2);
            rig.reload_config(&rig.config.to_string());
        }
    }
}

#[rstest]
fn every_request_is_answered_until_the_earliest_kill(
    #[values(300, 500, 1000, 3000, 10_000)] longest_deadline_ms: u64,
    #[values(
        Series::None,
        Series::SecondTermination,
        Series::Reload,
        Series::ReloadWithShorterDeadline
    )]
    series: Series,
) {
    let plan = Plan {
        longest_deadline_ms,
        series,
        relays: 10,
        resting: 40,
        silent: 0,
    };
    let fates = play(&plan, longest_deadline_ms);
    let lost = fates.iter().filter(|fate| **fate == Fate::Lost).count();
    assert_eq!(lost, 0, "{fates:?}");
}

/// A node that holds nothing listens on for as long as new connections may come after SIGTERM.
#[rstest]
fn a_node_without_clients_answers_those_that_come_after_sigterm(
    #[values(300, 3000)] deadline_ms: u64,
) {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, deadline_ms));
    let started_at = Instant::now();
    rig.signal("-TERM");
    for at_ms in [100, 200, 300, NEW_CONNECTIONS_MS] {
        std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(started_at.elapsed()));
        let (mut client, _) = rig.send_request(&format!("d={deadline_ms},g={at_ms}"));
        let is_forwarded = || {
            let attempted = rig.servers[0].as_ref().unwrap().accept().is_ok();
            (attempted || !client.is_quiet()).then_some(attempted)
        };
        if !wait_until("an attempt or an answer", is_forwarded) {
            assert!(
                client.receive().starts_with("BUSY"),
                "{at_ms} ms after SIGTERM"
            );
        }
    }
    assert!(rig.wait_for_exit().success());
}

/// A configuration with another longest deadline came before SIGTERM: the shorter one counts for the kill.
#[rstest]
#[case::shorter(3000, 500)]
#[case::longer(500, 3000)]
fn of_two_longest_deadlines_the_shorter_one_counts_for_the_kill(
    #[case] before_ms: u64,
    #[case] after_ms: u64,
) {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, before_ms));
    let _resting: Vec<_> = (0..5).map(|_| rig.connect_client()).collect();
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

/// Seeded shutdowns in a row, each other one with a crowd that says nothing.
#[test]
fn soak_of_shutdowns_loses_no_request() {
    let seeds =
        std::env::var(SOAK_SEEDS_VARIABLE).map_or(SOAK_SEEDS, |seeds| seeds.parse().unwrap());
    let mut lost = Vec::new();
    for seed in 1..=seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let all_series = [
            Series::None,
            Series::SecondTermination,
            Series::Reload,
            Series::ReloadWithShorterDeadline,
        ];
        let plan = Plan {
            longest_deadline_ms: random.random_range(300..4000),
            series: all_series[random.random_range(0..all_series.len())],
            relays: 30,
            resting: 100,
            silent: if seed % 2 == 0 { 150 } else { 0 },
        };
        let fates = play(&plan, seed);
        let count = fates.iter().filter(|fate| **fate == Fate::Lost).count();
        if count > 0 {
            lost.push(format!("seed {seed}: {count} of {}", fates.len()));
        }
    }
    assert!(lost.is_empty(), "{lost:?}");
}

/// The process is held up while the shutdown's last moment passes: what came meanwhile is answered before it exits.
#[test]
fn what_came_while_the_process_was_held_up_at_its_exit_is_answered() {
    let mut rig = Rig::start_with_config(1, |config| set_deadline(config, 300));
    let mut resting: Vec<_> = (0..20).map(|_| rig.connect_client()).collect();
    wait_until("all are accepted", || {
        (rig.open_descriptor_count() > 20).then_some(())
    });
    let started_at = Instant::now();
    rig.signal("-TERM");
    rig.wait_for_log("shutdown started");
    // It exits 0.3 s before SIGKILL may come, and may be held up for 0.15 s.
    std::thread::sleep(Duration::from_millis(600).saturating_sub(started_at.elapsed()));
    rig.pause();
    resting.extend((0..60).map(|_| rig.connect_client()));
    let mut sent = Vec::new();
    for (number, mut client) in resting.into_iter().enumerate() {
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

/// The process is held up while the shutdown's last moment passes, and accepting fails for a moment then: what waits in the
/// kernel's queue is answered all the same. The last accept ended at its first error (log line `accept failed`), and the
/// exit reset what still waited.
#[rstest]
#[case::aborted("accept=ECONNABORTED:30")]
#[case::files("accept=ENFILE:30")]
#[case::descriptors("accept=EMFILE:30")]
#[case::buffers("accept=ENOBUFS:30")]
#[case::network_down("accept=ENETDOWN:30")]
#[case::interrupted("accept=EINTR:30")]
#[case::unregistered("register=ENOMEM:30")]
fn what_waits_at_the_exit_is_answered_though_accepting_fails_for_a_moment(#[case] plan: &str) {
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

/// A node without clients exits early, but not while accepting fails: what came within the time in which new connections
/// come after SIGTERM has its answer.
#[test]
fn a_node_without_clients_does_not_exit_over_what_it_could_not_accept_yet() {
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

/// A client that closes after its complete first line, or ends its sending, is sent nowhere; one that still reads gets an
/// answer.
#[test]
fn a_request_whose_client_has_ended_its_sending_is_answered_and_sent_nowhere() {
    let mut rig = Rig::start(1);
    rig.pause();
    let (mut client, _) = rig.send_request("d=1500,g=a");
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    rig.resume();
    assert_eq!(client.receive(), "ERR");
    assert_eq!(rig.query("PING\r\n"), "PONG");
    assert!(rig.has_no_attempt());
}

/// A resting connection whose time is over is told so: a first line that crosses the end has an answer.
#[test]
fn a_first_line_that_crosses_the_end_of_its_resting_connection_has_an_answer() {
    let rig = Rig::start(1);
    let mut client = rig.connect_client();
    assert_eq!(
        client.receive(),
        "BUSY",
        "the answer to whatever crosses it"
    );
    assert!(send_crossing(&mut client).is_ok());
    assert_eq!(
        client.receive(),
        "",
        "and the end, with no reset that would take the answer along"
    );
}

fn send_crossing(client: &mut LineStream) -> std::io::Result<()> {
    client.try_send("OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=a\r\n")
}
