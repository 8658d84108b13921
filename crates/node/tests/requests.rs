//! Requests at the limits of the protocol: the number of attempts, their servers, the answers and their timing.

mod common;
use common::{reset_connection, wait_until, EchoServers, LineStream, Rig};
use rstest::rstest;
use std::net::Shutdown;
use std::time::{Duration, Instant};

const NS_PER_MS: u64 = 1_000_000;
const LONG_NS: u64 = 20_000 * NS_PER_MS;
/// The longest line, its terminator included.
const MAX_LINE_BYTES: usize = 4096;
/// Allowed delay of an answer after the request's deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Starts a node whose class has this `Repeat` setting, and which makes at most `max_attempts` attempts for a request,
/// each of which waits for its answer until the deadline.
fn start(server_count: usize, repeat: &str, group: &str, max_attempts: u32) -> Rig {
    Rig::start_with_config(server_count, |config| {
        let settings = &mut config["settings"];
        settings["Categories"][0]["Repeat"] = repeat.into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Categories"][0]["PromiseNs"] = LONG_NS.into();
        settings["FamilyInfo"]["MessageAimNs"] = vec![LONG_NS].into();
        settings["Limits"]["SendCap"] = max_attempts.into();
    })
}

/// The server's reaction to the first attempt, once it has read the complete line.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Busy,
    Error,
    Move,
    Nonsense,
    Closes,
    Resets,
}

impl Answer {
    fn give(self, mut server: LineStream) {
        match self {
            Answer::Busy => server.send("BUSY\r\n"),
            Answer::Error => server.send("ERR\r\n"),
            Answer::Move => server.send("MOVE\r\n"),
            Answer::Nonsense => server.send("what?\r\n"),
            Answer::Closes => server.stream.shutdown(Shutdown::Both).unwrap(),
            Answer::Resets => reset_connection(server),
        }
    }
}

/// The expected result for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// Another attempt serves the request.
    Retried,
    /// The request fails, because nothing proves that it was not executed.
    Failed,
}

/// Outcomes that allow another attempt. For `once`, only an outcome that proves that the request was not executed does.
#[rstest]
#[case::once_busy("once", "all", Answer::Busy, Expected::Retried)]
#[case::once_error("once", "all", Answer::Error, Expected::Failed)]
#[case::once_move("once", "all", Answer::Move, Expected::Failed)]
#[case::once_nonsense("once", "all", Answer::Nonsense, Expected::Failed)]
#[case::once_closes("once", "all", Answer::Closes, Expected::Failed)]
#[case::once_resets("once", "all", Answer::Resets, Expected::Failed)]
#[case::repeatable_busy("repeatable", "all", Answer::Busy, Expected::Retried)]
#[case::repeatable_error("repeatable", "all", Answer::Error, Expected::Retried)]
#[case::repeatable_closes("repeatable", "all", Answer::Closes, Expected::Retried)]
#[case::repeatable_resets("repeatable", "all", Answer::Resets, Expected::Retried)]
#[case::by_key_error("by_key", "all", Answer::Error, Expected::Retried)]
#[case::by_key_resets("by_key", "all", Answer::Resets, Expected::Retried)]
#[case::by_key_in_zone_resets("by_key", "zone", Answer::Resets, Expected::Retried)]
#[case::by_key_in_cell_busy("by_key", "cell", Answer::Busy, Expected::Retried)]
fn an_attempt_is_repeated_only_where_its_class_allows(
    #[case] repeat: &str,
    #[case] group: &str,
    #[case] answer: Answer,
    #[case] expected: Expected,
) {
    let mut rig = start(3, repeat, group, 3);
    let (mut client, _) = rig.send_request("d=3000,g=a");
    let (first_server, mut server) = rig.accept_attempt();
    server.receive();
    answer.give(server);
    match expected {
        Expected::Failed => {
            assert_eq!(client.receive(), "ERR");
            assert_eq!(client.receive(), "", "one answer, then the close");
            assert!(rig.has_no_attempt(), "no other attempt");
        }
        Expected::Retried => {
            let (second_server, mut server) = rig.accept_attempt();
            assert_ne!(second_server, first_server);
            server.receive();
            server.send("UP r2\r\n");
            assert_eq!(client.receive(), "UP r2");
        }
    }
}

/// If the settings announce load reports in answers, a rejection with a valid report proves that nothing was executed;
/// a damaged or unannounced report proves nothing.
#[rstest]
#[case::intact("inline", "BUSY rate=2,x0=0.3", Expected::Retried)]
#[case::without_report("inline", "BUSY", Expected::Retried)]
#[case::damaged("inline", "BUSY rate=2,x0=", Expected::Failed)]
#[case::truncated("inline", "BUSY rate=2", Expected::Failed)]
#[case::not_announced("off", "BUSY rate=2,x0=0.3", Expected::Failed)]
#[case::announced_for_health_checks_only("on_probe", "BUSY rate=2,x0=0.3", Expected::Failed)]
fn a_rejection_may_close_with_the_load_report_that_the_settings_name(
    #[case] report_mode: &str,
    #[case] answer: &str,
    #[case] expected: Expected,
) {
    let mut rig = Rig::start_with_config(2, |config| {
        let settings = &mut config["settings"];
        settings["Categories"][0]["Repeat"] = "once".into();
        settings["Report"] = serde_json::json!({ "Fields": ["rate", "x0"], "How": report_mode });
    });
    let (mut client, _) = rig.send_request("d=3000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    server.send(&format!("{answer}\r\n"));
    match expected {
        Expected::Failed => assert_eq!(client.receive(), "ERR"),
        Expected::Retried => {
            let (_, mut server) = rig.accept_attempt();
            server.receive();
            server.send("UP r2\r\n");
            assert_eq!(client.receive(), "UP r2");
        }
    }
}

/// A retry by key stays in the zone or cell of the server that may have executed the request.
#[rstest]
fn a_retry_by_key_stays_in_its_group(
    #[values("zone", "cell")] group: &str,
    #[values(0, 1, 2, 3, 4, 5)] key: u32,
) {
    let mut rig = Rig::start_with_config(6, |config| {
        let settings = &mut config["settings"];
        settings["Categories"][0]["Repeat"] = "by_key".into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Categories"][0]["PromiseNs"] = LONG_NS.into();
        settings["Localities"] = vec!["a", "b"].into();
        let servers = config["known"]["hosts"].as_array_mut().unwrap();
        for (index, server) in servers.iter_mut().enumerate() {
            server["site"] = ["a", "b"][index % 2].into();
            server["block"] = (index % 2).into();
        }
    });
    let (mut client, _) = rig.send_request(&format!("d=3000,g={key}"));
    let (first_server, mut server) = rig.accept_attempt();
    server.receive();
    Answer::Resets.give(server);
    let (second_server, mut server) = rig.accept_attempt();
    assert_eq!(second_server % 2, first_server % 2, "another {group}");
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
}

/// A request is sent as often as the settings allow, even if there are more servers, and is then answered at once.
#[rstest]
fn a_request_is_sent_as_often_as_the_settings_allow(#[values(1, 2, 3, 5)] max_attempts: u32) {
    let mut rig = start(7, "repeatable", "all", max_attempts);
    let (mut client, _) = rig.send_request("d=5000,g=a");
    let mut last_answer_at = Instant::now();
    for _ in 0..max_attempts {
        let (_, mut server) = rig.accept_attempt();
        server.receive();
        last_answer_at = Instant::now();
        server.send("BUSY\r\n");
    }
    assert!(client.receive().starts_with("BUSY"));
    let waited = last_answer_at.elapsed();
    assert!(
        waited < Duration::from_millis(200),
        "answered {waited:?} after the last attempt"
    );
    assert!(rig.has_no_attempt());
}

/// A second answer that arrives after the attempt has ended is dropped.
#[test]
fn a_second_answer_of_an_ended_attempt_is_dropped() {
    let mut rig = start(2, "repeatable", "all", 3);
    let (mut client, _) = rig.send_request("d=3000,g=a");
    let (_, mut first) = rig.accept_attempt();
    first.receive();
    first.send("ERR\r\n");
    let (_, mut second) = rig.accept_attempt();
    let _ = first.try_send("UP stale\r\nstale line\r\n");
    second.receive();
    second.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
    second.send("fresh line\r\n");
    assert_eq!(client.receive(), "fresh line");
}

/// A request with little or no time left is answered in time even if its server sends nothing.
#[rstest]
fn a_request_with_little_time_left_is_answered_in_time(
    #[values(0, 1, 5, 50, 149, 150, 300, 800)] wait_ms: u64,
    #[values("repeatable", "once")] repeat: &str,
) {
    let mut rig = start(2, repeat, "all", 1);
    let (mut client, _) = rig.send_request(&format!("d={wait_ms},g=a"));
    let sent_at = Instant::now();
    let answer = client.receive();
    let waited = sent_at.elapsed();
    assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
    assert!(
        waited < Duration::from_millis(wait_ms) + ANSWER_SLACK / 2,
        "{waited:?}"
    );
    assert_eq!(client.receive(), "", "one answer, then the close");
}

/// A node that is paused while a deadline expires still answers in time.
#[test]
fn a_node_that_is_paused_over_a_deadline_answers_in_time() {
    let mut rig = start(1, "repeatable", "all", 1);
    let (mut client, _) = rig.send_request("d=600,g=a");
    let sent_at = Instant::now();
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    std::thread::sleep(Duration::from_millis(530).saturating_sub(sent_at.elapsed()));
    rig.pause();
    std::thread::sleep(Duration::from_millis(680).saturating_sub(sent_at.elapsed()));
    rig.resume();
    assert!(client.receive().starts_with("BUSY"));
    assert!(sent_at.elapsed() < Duration::from_millis(600) + ANSWER_SLACK);
}

/// A connect that gets no reply ends with the connect timeout of the settings.
#[test]
fn a_connect_ends_with_the_connect_timeout_of_the_settings() {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        settings["Limits"]["ConnectTimeoutNs"] = (1000 * NS_PER_MS).into();
        settings["Limits"]["SendCap"] = 1.into();
    });
    let _full_backlog = rig.fill_backlog(0);
    let (mut client, _) = rig.send_request("d=5000,g=a");
    let sent_at = Instant::now();
    assert!(
        client.receive().starts_with("BUSY"),
        "the request was never sent"
    );
    let waited = sent_at.elapsed();
    assert!(waited > Duration::from_millis(900), "{waited:?}");
    assert!(waited < Duration::from_millis(1700), "{waited:?}");
}

fn wait_field(line: &str) -> u64 {
    let fields = line.rsplit(' ').next().unwrap();
    let field = fields.split(',').find_map(|field| field.strip_prefix("d="));
    field.unwrap().parse().unwrap()
}

/// The forwarded line contains the time that the node still waits: the time spent on connecting is subtracted, and a
/// retry has less time than the attempt before it.
#[test]
fn a_forwarded_line_contains_the_time_that_is_left_when_it_is_sent() {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        settings["Limits"]["ConnectTimeoutNs"] = LONG_NS.into();
        settings["Limits"]["SendCap"] = 1.into();
    });
    let full_backlog = rig.fill_backlog(0);
    let (_client, _) = rig.send_request("d=5000,g=a");
    let sent_at = Instant::now();
    rig.wait_for_log("request received");
    std::thread::sleep(Duration::from_millis(900).saturating_sub(sent_at.elapsed()));
    let mut server = full_backlog.release();
    let forwarded = wait_field(&server.receive());
    let left = 5000 - sent_at.elapsed().as_millis() as u64;
    assert!(
        forwarded <= left + 30,
        "sent {forwarded} ms, {left} ms are left"
    );
}

/// A request with the id of an open request gets an error, and the open request, waiting or established, is unaffected.
#[rstest]
fn the_id_of_an_open_request_is_an_error_and_the_open_request_is_unaffected(
    #[values(true, false)] is_established: bool,
) {
    let mut rig = start(2, "repeatable", "all", 3);
    let (mut client, line) = rig.send_request("d=5000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    if is_established {
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
    }
    assert_eq!(rig.query(&format!("{line}\r\n")), "ERR");
    assert!(rig.has_no_attempt(), "the second request is not sent");
    if !is_established {
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
    }
    common::exchange_lines(&mut client, &mut server);
}

/// The longest first line is forwarded unchanged; one more byte is an error.
#[test]
fn the_longest_first_line_passes_and_a_longer_one_is_an_error() {
    let rig = start(1, "repeatable", "all", 3);
    let head = "OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,d=5000,g=a,x=";
    let fill = |length: usize| "x".repeat(length - head.len() - 2);
    let mut client = rig.connect_client();
    client.send(&format!("{head}{}\r\n", fill(MAX_LINE_BYTES)));
    let (_, mut server) = rig.accept_attempt();
    let line = server.receive();
    assert!(
        line.ends_with(&fill(MAX_LINE_BYTES)),
        "unchanged behind `d`"
    );
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    let longest = "y".repeat(MAX_LINE_BYTES - 2);
    client.send(&format!("{longest}\r\n"));
    assert_eq!(server.receive(), longest);
    server.send(&format!("{longest}\r\n"));
    assert_eq!(client.receive(), longest);
    let other_head = head.replace("aa ", "ab ");
    let too_long = fill(MAX_LINE_BYTES + 1);
    assert_eq!(rig.query(&format!("{other_head}{too_long}\r\n")), "ERR");
    assert!(rig.has_no_attempt());
}

/// Fields that the node does not know are forwarded; marks of retries and reconnects are valid.
#[rstest]
#[case::retry("d=3000,g=a,r=1")]
#[case::reconnect("d=3000,g=a,again=1")]
#[case::no_group("d=3000")]
#[case::unknown_tenant("t=nobody,d=3000,g=a")]
#[case::further_figures("d=3000,g=a,h=1234,zz=7,weight=0.5")]
fn further_fields_are_passed_on(#[case] fields: &str) {
    let mut rig = start(1, "repeatable", "all", 3);
    let (mut client, line) = rig.send_request(fields);
    let (_, mut server) = rig.accept_attempt();
    let forwarded = server.receive();
    let without_wait = |line: &str| {
        let fields = line.split(',').filter(|field| !field.starts_with("d="));
        fields.map(str::to_string).collect::<Vec<_>>()
    };
    assert_eq!(without_wait(&forwarded), without_wait(&line));
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
}

/// A restored connection is attempted at its server for as long as the server may still start.
#[test]
fn a_restored_connection_is_attempted_until_its_server_is_up() {
    let mut rig = start(2, "repeatable", "all", 3);
    let full_backlog = rig.fill_backlog(1);
    let (mut client, _) = rig.send_request("d=30000,g=a,at=s-1");
    let sent_at = Instant::now();
    // By then three connects of 150 ms and the pauses between them have passed.
    std::thread::sleep(Duration::from_secs(3));
    assert!(client.is_quiet(), "abandoned: {}", client.receive());
    drop(full_backlog.release());
    let mut server = wait_until("a connection with the line", || {
        let (server_index, mut server) = rig.accept_attempt();
        assert_eq!(server_index, 1, "no other server");
        let line = server.try_receive()?;
        line.starts_with("OPEN").then_some(server)
    });
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    assert!(sent_at.elapsed() < Duration::from_secs(10));
}

/// Every valid request has one answer in time, despite bad clients and servers that hang.
#[test]
fn every_valid_request_is_answered_despite_bad_clients_and_hanging_servers() {
    let mut rig = start(4, "repeatable", "all", 3);
    let _full_backlog = rig.fill_backlog(3);
    let _servers = EchoServers::start(&rig);
    let mut bad_clients: Vec<LineStream> = (0..60).map(|_| rig.connect_client()).collect();
    for (number, client) in bad_clients.iter_mut().enumerate() {
        let _ = client.try_send(match number % 4 {
            0 => "OPEN 9b1f03",
            1 => "HELLO\r\n",
            2 => "OPEN 9b1f03aa5c7e2d41 f c=chat,d=x,g=a\r\n",
            _ => "OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=a\r\nmore\r\nand more\r\n",
        });
    }
    let sent_at = Instant::now();
    let mut clients: Vec<LineStream> = (0..80)
        .map(|number| rig.send_request(&format!("d=1500,g={number}")).0)
        .collect();
    for client in &mut clients {
        let answer = client.receive();
        assert!(
            ["UP", "BUSY", "ERR"].contains(&answer.split(' ').next().unwrap()),
            "{answer}"
        );
        assert!(sent_at.elapsed() < Duration::from_millis(1500) + ANSWER_SLACK);
    }
}
