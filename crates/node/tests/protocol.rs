//! The rules of the protocol towards clients, servers and the discovery service, each tested on real sockets.

mod common;
use common::{reset_connection, wait_until, Rig};
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn a_first_line_is_forwarded_with_d_rewritten_and_later_lines_unchanged_both_ways() {
    let mut rig = Rig::start(2);
    let (mut client, line) = rig.send_request("d=1500,g=5c0f6e1a,x=1");
    let (_, mut server) = rig.accept_attempt();
    let forwarded = server.receive();
    let (start, rest) = forwarded.split_once("d=").unwrap();
    let (left_ms, rest) = rest.split_once(',').unwrap();
    assert_eq!(format!("{start}d=1500,{rest}"), line);
    assert!(
        (1..=1500).contains(&left_ms.parse::<u32>().unwrap()),
        "{left_ms} ms"
    );
    server.send("UP r1\r\nLOAD 12.5\r\nfirst\r\nsec");
    server.send("ond\r\n");
    assert_eq!(
        [
            client.receive(),
            client.receive(),
            client.receive(),
            client.receive()
        ],
        ["UP r1", "LOAD 12.5", "first", "second"]
    );
    client.send("ba");
    client.send("ck\r\n");
    assert_eq!(server.receive(), "back");
}

#[rstest]
#[case::unknown_word("HELLO\r\n")]
#[case::short_id("OPEN 12 f c=chat,d=100,g=a\r\n")]
#[case::capital_id("OPEN 9B1F03AA5C7E2D41 f c=chat,d=100,g=a\r\n")]
#[case::unknown_class("OPEN 9b1f03aa5c7e2d41 f c=other,d=100,g=a\r\n")]
#[case::no_deadline("OPEN 9b1f03aa5c7e2d41 f c=chat,g=a\r\n")]
#[case::negative_deadline("OPEN 9b1f03aa5c7e2d41 f c=chat,d=-1,g=a\r\n")]
#[case::no_list("OPEN 9b1f03aa5c7e2d41 f\r\n")]
#[case::bare_line_feed("OPEN 9b1f03aa5c7e2d41 f c=chat,d=100,g=a\n")]
#[case::empty("\r\n")]
fn a_malformed_first_line_gets_err_and_reaches_no_server(#[case] line: &str) {
    let rig = Rig::start(1);
    let mut client = rig.connect_client();
    client.send(line);
    assert_eq!([client.receive(), client.receive()], ["ERR", ""]);
    assert!(rig.has_no_attempt());
}

#[test]
fn a_first_line_that_is_too_long_or_not_text_gets_err() {
    let rig = Rig::start(1);
    assert_eq!(rig.query(&"x".repeat(4096)), "ERR");
    let mut client = rig.connect_client();
    client
        .stream
        .write_all(b"OPEN \xff\xfe f c=chat,d=100\r\n")
        .unwrap();
    assert_eq!([client.receive(), client.receive()], ["ERR", ""]);
    assert!(rig.has_no_attempt());
}

/// The next attempt must not start before the server has ended the first one.
#[rstest]
#[case::rejected("BUSY\r\n")]
#[case::error("ERR\r\n")]
#[case::drains("MOVE\r\n")]
#[case::nonsense("\u{fffd}\r\n")]
#[case::ended("")]
fn a_failed_attempt_is_retried_at_another_server(#[case] sent_text: &str) {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.send_request("d=1900,g=a");
    let (first, mut server) = rig.accept_attempt();
    server.receive();
    assert!(rig.has_no_attempt(), "two attempts at once");
    server.send(sent_text);
    drop(server);
    let (second, mut server) = rig.accept_attempt();
    assert_ne!(first, second);
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
}

#[test]
fn an_unanswered_attempt_is_closed_before_the_next_one_starts() {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.send_request("d=1900,g=a");
    let (first, mut silent) = rig.accept_attempt();
    silent.receive();
    let (second, mut server) = rig.accept_attempt();
    assert_ne!(first, second);
    assert_eq!(silent.receive(), "", "closed by then");
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
}

#[test]
fn with_all_servers_unreachable_requests_are_rejected_at_once_with_retry_after() {
    let mut rig = Rig::start(2);
    rig.servers.iter_mut().for_each(|server| *server = None);
    let started_at = Instant::now();
    let (mut client, _) = rig.send_request("d=60000,g=a");
    let answer = client.receive();
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((1..=2000).contains(&wait), "{answer}");
    assert!(
        started_at.elapsed() < Duration::from_secs(10),
        "answered after {:?}",
        started_at.elapsed()
    );
    assert_eq!(client.receive(), "");
}

#[test]
fn a_client_that_disconnects_before_its_answer_ends_its_attempt() {
    let mut rig = Rig::start(1);
    let (client, _) = rig.send_request("d=60000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    drop(client);
    assert_eq!(server.receive(), "");
}

#[test]
fn a_half_close_reaches_the_other_side_after_what_was_sent() {
    let mut rig = Rig::start(2);
    let (mut client, _, mut server) = rig.establish();
    server.send("last\r\nBYE\r\n");
    server.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        [client.receive(), client.receive(), client.receive()],
        ["last", "BYE", ""]
    );
    let (mut client, _, mut server) = rig.establish();
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(server.receive(), "");
    server.send("still here\r\n");
    assert_eq!(client.receive(), "still here");
}

#[test]
fn a_reset_of_one_side_resets_the_other() {
    let mut rig = Rig::start(1);
    let (client, _, mut server) = rig.establish();
    reset_connection(client);
    assert_eq!(server.receive(), "RST");
    let (mut client, _, server) = rig.establish();
    reset_connection(server);
    assert_eq!(client.receive(), "RST");
}

#[test]
fn a_connection_with_unanswered_lines_is_migrated_within_seven_seconds() {
    let mut rig = Rig::start(2);
    let (mut client, _, mut server) = rig.establish();
    client.send("hello\r\n");
    assert_eq!(server.receive(), "hello");
    let started_at = Instant::now();
    assert_eq!([client.receive(), client.receive()], ["MOVE", ""]);
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "the client is not served while it waits"
    );
}

#[test]
fn all_connections_of_an_unresponsive_server_are_migrated_at_once() {
    let mut rig = Rig::start(2);
    let (mut other, server_index, mut other_server) = rig.establish();
    let mut established = Vec::new();
    // Each client has its own group, so that both servers get some of them.
    wait_until("three connections at the other server", || {
        let (mut client, _) = rig.send_request(&format!("d=1500,g={}", established.len()));
        let (chosen, mut server) = rig.accept_attempt();
        server.receive();
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
        established.push((client, chosen, server));
        (established
            .iter()
            .filter(|(_, chosen, _)| *chosen != server_index)
            .count()
            == 3)
            .then_some(())
    });
    let mut established: Vec<_> = established
        .into_iter()
        .filter(|(_, chosen, _)| *chosen != server_index)
        .collect();
    established[0].0.send("hello\r\n");
    established[1].0.send("hello\r\n");
    let started_at = Instant::now();
    while established[2].0.is_quiet() {
        other.send("hello\r\n");
        assert_eq!(other_server.receive(), "hello");
        other_server.send("hello\r\n");
        assert_eq!(
            other.receive(),
            "hello",
            "the connection of the responsive server stays"
        );
        assert!(started_at.elapsed() < common::WAIT_TIMEOUT);
    }
    for (client, _, _) in &mut established {
        assert_eq!(client.receive(), "MOVE");
    }
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut rig = Rig::start(2);
    let mut established = vec![rig.establish()];
    let server_index = established[0].1;
    rig.announce_health(server_index, "DRAINING", 2);
    // The change is visible only in the node's choices: once a request of this group goes elsewhere, all do.
    wait_until("the change", || {
        established.push(rig.establish());
        (established.last()?.1 != server_index).then_some(())
    });
    for _ in 0..5 {
        established.push(rig.establish());
        assert_ne!(established.last().unwrap().1, server_index);
    }
}

#[test]
fn a_silent_watch_is_reopened_from_the_known_version() {
    let mut rig = Rig::start(1);
    rig.announce_health(0, "SERVING", 7);
    let started_at = Instant::now();
    let (_call, request) = rig.accept_discovery_call();
    assert_eq!(request, "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
    assert!(started_at.elapsed() < Duration::from_secs(10));
}

#[rstest]
#[case::refused("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")]
#[case::not_http("what?\r\n\r\n")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::bad_json("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{{{\n\r\n")]
#[case::reset("")]
fn a_failed_discovery_call_is_retried_while_serving(#[case] answer: &str) {
    let mut rig = Rig::launch(1, 1024);
    let (mut call, _) = rig.accept_discovery_call();
    call.send(answer);
    drop(call);
    rig.establish();
    assert_eq!(
        rig.query("PING\r\n"),
        "BUSY",
        "the node's list may be stale"
    );
    rig.accept_watch();
    wait_until("PONG", || (rig.query("PING\r\n") == "PONG").then_some(()));
    assert!(rig.is_running());
}

#[test]
fn a_restored_connection_goes_to_its_current_server() {
    let mut rig = Rig::start(3);
    for expected_index in 0..3 {
        let (mut client, _) = rig.send_request(&format!("d=30000,g=a,at=s-{expected_index}"));
        let (server_index, mut server) = rig.accept_attempt();
        assert_eq!(server_index, expected_index);
        server.receive();
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
    }
}

#[test]
fn a_node_that_knows_no_server_answers_ping_with_busy() {
    let rig = Rig::start(0);
    assert_eq!(rig.query("PING\r\n"), "BUSY");
}

#[test]
fn at_sigterm_new_clients_are_served_until_all_are_migrated_between_two_lines() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    let (mut waiting, _) = rig.send_request("d=60000,g=a");
    let (_, _silent) = rig.accept_attempt();
    server.send("whole\r\npart of a line");
    assert_eq!(client.receive(), "whole");
    let started_at = Instant::now();
    rig.signal("-TERM");
    rig.wait_for_log("shutdown started");
    let (mut late, _, mut late_server) = rig.establish();
    late.send("hello\r\n");
    assert_eq!(late_server.receive(), "hello");
    late_server.send("hello\r\n");
    assert_eq!(late.receive(), "hello", "served until it is moved");
    for mut client in [client, late] {
        assert_eq!([client.receive(), client.receive()], ["MOVE", ""]);
    }
    assert!(rig
        .query("OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=a\r\n")
        .starts_with("BUSY "));
    assert!(waiting.receive().starts_with("BUSY "));
    drop(waiting);
    assert!(rig.wait_for_exit().success());
    assert!(
        started_at.elapsed() < Duration::from_millis(2700),
        "exit after the earliest SIGKILL: {:?}",
        started_at.elapsed()
    );
}

#[test]
fn clients_are_answered_while_descriptors_run_out_and_served_once_they_are_free() {
    let mut rig = Rig::start_with_descriptors(1, 68);
    let established: Vec<_> = (0..9).map(|_| rig.establish()).collect();
    let (mut client, _) = rig.send_request("d=1000,g=a");
    assert!(client.receive().starts_with("BUSY "));
    drop(established);
    wait_until("a free descriptor", || {
        // A client that disconnects at once would cancel its attempt before it starts.
        let (mut client, _) = rig.send_request("d=1000,g=a");
        let answered = || {
            let is_attempted = rig.servers[0].as_ref()?.accept().is_ok();
            (is_attempted || !client.is_quiet()).then_some(is_attempted)
        };
        wait_until("an attempt or an answer", answered).then_some(())
    });
}

#[rstest]
#[case::half_a_line("OPEN 9b1f03", "ERR")]
#[case::nothing("", "BUSY")]
fn an_incomplete_first_line_is_closed_within_three_seconds(
    #[case] sent_text: &str,
    #[case] expected: &str,
) {
    let rig = Rig::start(1);
    let mut client = rig.connect_client();
    let started_at = Instant::now();
    client.send(sent_text);
    assert_eq!(client.receive(), expected);
    client.receive();
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
    assert!(rig.has_no_attempt());
}

#[test]
fn a_client_that_sends_at_full_speed_is_cut_off() {
    let rig = Rig::start(1);
    let mut client = rig.connect_client();
    let started_at = Instant::now();
    let block = vec![b'x'; 1 << 20];
    let sent = (0..4000)
        .take_while(|_| client.stream.write_all(&block).is_ok())
        .count();
    assert!(sent < 60, "{sent} MiB were accepted");
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn lines_before_the_answer_are_an_error_and_end_the_attempt() {
    let mut rig = Rig::start(2);
    let (mut client, line) = rig.send_request("d=60000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    client.send(&format!("{line}\r\n").repeat(100));
    assert_eq!([client.receive(), server.receive()], ["ERR", ""]);
    assert!(rig.has_no_attempt());
}

#[test]
fn a_request_that_a_server_cannot_parse_is_not_retried() {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.send_request("d=60000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    server.send("SYNTAX\r\n");
    assert_eq!(client.receive(), "ERR");
    assert!(rig.has_no_attempt());
}

#[test]
fn a_server_that_closes_on_a_line_it_cannot_parse_is_not_ejected() {
    let mut rig = Rig::start(2);
    let (mut client, server_index, mut server) = rig.establish();
    for _ in 0..4 {
        client.send("what no server parses\r\n");
        server.receive();
        drop(server);
        assert_eq!(client.receive(), "");
        let (next_client, next_index, next_server) = rig.establish();
        assert_eq!(next_index, server_index);
        (client, server) = (next_client, next_server);
    }
}

#[test]
fn hundreds_of_silent_connections_keep_no_client_out() {
    let mut rig = Rig::start_with_descriptors(1, 256);
    let mut established = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..30 {
        silent.extend((0..20).map(|_| rig.connect_client()));
        established.push(rig.establish());
    }
    for (client, _, server) in &mut established {
        client.send("hello\r\n");
        assert_eq!(server.receive(), "hello");
    }
}

#[test]
fn a_restored_connection_goes_to_no_draining_server() {
    let mut rig = Rig::start(2);
    rig.announce_health(0, "DRAINING", 2);
    rig.announce_health(1, "DRAINING", 3);
    // No server accepts new connections, and `BUSY` reports this to the front.
    wait_until("the change", || {
        (rig.query("PING\r\n") == "BUSY").then_some(())
    });
    let (mut client, _) = rig.send_request("d=30000,g=a,at=s-0");
    assert_eq!(client.receive(), "BUSY");
    assert!(rig.has_no_attempt());
}

#[test]
fn at_sighup_the_watch_moves_to_the_new_address_and_connections_stay() {
    let mut rig = Rig::start(2);
    rig.announce_health(0, "SERVING", 7);
    let (mut client, _, mut server) = rig.establish();
    for _ in 0..2 {
        let started_at = Instant::now();
        rig.move_discovery();
        let (mut call, request) = rig.accept_discovery_call();
        assert_eq!(request, "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "call to the new address too late: {:?}",
            started_at.elapsed()
        );
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        rig.watch = Some(call);
    }
    client.send("hello\r\n");
    assert_eq!(server.receive(), "hello");
    server.send("hello\r\n");
    assert_eq!(client.receive(), "hello");
    assert_eq!(rig.query("PING\r\n"), "PONG");
}

#[rstest]
#[case::not_json("{")]
#[case::no_classes(
    r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","name":"n","settings":{}}"#
)]
#[case::no_address(r#"{"discovery":"elsewhere"}"#)]
fn an_invalid_configuration_changes_nothing(#[case] text: &str) {
    let mut rig = Rig::start(1);
    rig.reload_config(text);
    rig.wait_for_log("configuration rejected");
    rig.move_discovery();
    rig.accept_watch();
    rig.establish();
    assert!(rig.is_running());
}
