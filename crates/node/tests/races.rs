//! Pairs of events that can happen in either order, each order forced. `docs/design/races.md` lists the expected
//! results.

mod common;
use common::{reset_connection, wait_until, Rig};
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Allows connects to take up to 10 s, and each request one attempt, which may wait for such a connect.
fn allow_slow_connects(settings: &mut serde_json::Value) {
    settings["Limits"]["ConnectTimeoutNs"] = 10_000_000_000u64.into();
    settings["Limits"]["SendCap"] = 1.into();
}

/// The way in which a client disconnects.
#[derive(Clone, Copy)]
enum Disconnect {
    Closes,
    Resets,
    SendsMore,
}

fn disconnect_client(rig: &Rig, client: common::LineStream, disconnect: Disconnect) {
    let from = client.stream.local_addr().unwrap();
    match disconnect {
        Disconnect::Closes => drop(client),
        Disconnect::Resets => reset_connection(client),
        Disconnect::SendsMore => {
            let mut client = client;
            client.send("more\r\n");
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
    }
    rig.wait_for_client_close(from);
}

/// The client disconnects and the attempt connects in one turn of the event loop, in either order: the line of a client
/// that has disconnected must not be sent in either case.
#[rstest]
fn a_request_whose_client_has_left_is_not_sent_when_its_attempt_connects(
    #[values(Disconnect::Closes, Disconnect::Resets, Disconnect::SendsMore)] disconnect: Disconnect,
    #[values(true, false)] is_client_first: bool,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(allow_slow_connects);
    let full_backlog = rig.fill_backlog(0);
    let (client, _) = rig.send_request("d=20000,g=a");
    rig.wait_for_log("request received");
    rig.pause();
    let mut server = if is_client_first {
        disconnect_client(&rig, client, disconnect);
        full_backlog.release()
    } else {
        let server = full_backlog.release();
        disconnect_client(&rig, client, disconnect);
        server
    };
    rig.resume();
    assert_eq!(
        server.receive(),
        "",
        "the request was sent without a client"
    );
    rig.wait_for_log("client left");
}

/// Hundreds of clients disconnect at once, and attempts for some of them have connected before, in the same turn.
#[test]
fn requests_of_hundreds_of_clients_that_leave_at_once_are_not_sent() {
    let mut rig = Rig::start(1);
    rig.change_settings(allow_slow_connects);
    let full_backlog = rig.fill_backlog(0);
    let clients: Vec<_> = (0..150)
        .map(|n| rig.send_request(&format!("d=20000,g={n}")).0)
        .collect();
    // Some requests wait for the server, the others for their turn.
    rig.wait_for_log_count("request received, ", 150);
    rig.pause();
    let mut connected = vec![full_backlog.release()];
    connected.extend((0..7).map(|_| rig.accept_attempt().1));
    for client in clients {
        disconnect_client(&rig, client, Disconnect::Closes);
    }
    rig.resume();
    rig.wait_for_log_count("client left", 150);
    assert!(
        connected
            .iter_mut()
            .all(|server| server.receive().is_empty()),
        "the request was sent without a client"
    );
    // The next request that is forwarded is of another client.
    let (_client, line) = rig.send_request("d=20000,g=last");
    let id = line.split(' ').nth(1).unwrap().to_string();
    let received = wait_until("the next request", || {
        Some(rig.accept_attempt().1.receive()).filter(|received| !received.is_empty())
    });
    assert!(received.contains(&id), "{received}");
}

/// The server starts to drain while the attempt connects, which takes longer than the grace period.
#[rstest]
#[case::drains("DRAINING")]
#[case::deleted("DELETED")]
#[case::admin_drain("")]
fn a_request_is_not_sent_to_a_server_that_drains_while_the_attempt_connects(#[case] health: &str) {
    let mut rig = Rig::start(1);
    rig.change_settings(allow_slow_connects);
    let full_backlog = rig.fill_backlog(0);
    let (mut client, _) = rig.send_request("d=20000,g=a");
    rig.wait_for_log("request received");
    if health.is_empty() {
        assert_eq!(rig.admin_call("set-down s-0\r\n"), "done");
    } else {
        rig.announce_health(0, health, 2);
        rig.wait_for_log("seq: 2");
    }
    assert_eq!(
        full_backlog.release().receive(),
        "",
        "a new request to a server that drains"
    );
    assert!(
        client.receive().starts_with("BUSY"),
        "the request was never executed, and no server is left"
    );
}

/// A list is applied with any layout, cut at any byte, and with any version, including a lower one, as of a discovery
/// service that has restarted.
#[rstest]
#[case::in_one_line(false, 2)]
#[case::indented(true, 2)]
#[case::version_went_back(true, 0)]
fn an_endpoint_list_is_applied_however_it_is_laid_out(
    #[case] is_indented: bool,
    #[case] seq: u64,
    #[values(1, 7, 4096)] chunk_size: usize,
) {
    let mut rig = Rig::start(2);
    let list = rig.endpoint_list(&["DRAINING", "SERVING"], seq, true);
    let text = if is_indented {
        serde_json::to_string_pretty(&list).unwrap()
    } else {
        list.to_string()
    };
    rig.write_to_watch(format!("{text}\n").as_bytes(), chunk_size);
    rig.wait_for_log(&format!("endpoint list changed, entries: 2, seq: {seq}"));
    let established: Vec<_> = (0..6).map(|_| rig.establish()).collect();
    assert!(
        established
            .iter()
            .all(|(_, server_index, _)| *server_index == 1),
        "the first server drains"
    );
    // The next watch starts from that version.
    rig.watch = None;
    assert_eq!(
        rig.accept_discovery_call().1,
        format!("GET /v1/endpoints?watch=1&from={seq} HTTP/1.1")
    );
}

/// A list that arrives byte by byte and never ends counts as silence of the watch.
#[test]
fn an_endless_endpoint_list_counts_as_silence() {
    let mut rig = Rig::start(1);
    rig.write_to_watch(b"{\"seq\":2,", 4096);
    wait_until("the watch is reopened", || {
        // The list continues for as long as the node reads it.
        let watch = rig.watch.as_mut().unwrap();
        let _ = watch.stream.write_all(b"1\r\n \r\n");
        rig.discovery.accept().ok()
    });
    assert!(rig.log().contains("endpoint watch fell silent"));
}

/// Valid entries of an invalid list are not applied either, and the watch is reopened from the known version.
#[rstest]
#[case::cut("{\"seq\":9,\"whole\":true,\"hosts\":[]")]
#[case::nonsense("nonsense\n")]
#[case::bad_entry(r#"{"seq":9,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"SERVING"},{"host":"s-0","dial":"127.0.0.1:1","health":"WELL"}]}"#)]
#[case::no_address(r#"{"seq":9,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"DELETED"},{"host":"s-0","dial":"here","health":"SERVING"}]}"#)]
#[case::number_too_large(r#"{"seq":9,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"SERVING","share":1e999}]}"#)]
#[case::not_an_update("{\"whole\":true}\n")]
fn an_invalid_endpoint_list_changes_nothing(#[case] text: &str) {
    let mut rig = Rig::start(2);
    rig.write_to_watch(text.as_bytes(), 4096);
    if text.starts_with("{\"seq\":9,\"whole\":true,\"hosts\":[]") {
        rig.watch = None;
    }
    assert_eq!(
        rig.accept_discovery_call().1,
        "GET /v1/endpoints?watch=1&from=1 HTTP/1.1"
    );
    let established: Vec<_> = (0..12)
        .map(|n| rig.establish_in_group(&format!("g{n}")))
        .collect();
    assert!(
        (0..2).all(|server| established
            .iter()
            .any(|(_, server_index, _)| *server_index == server)),
        "both servers are used as before"
    );
}

/// A change must be applied at most 6 s after the last byte of a silent watch, even if the first connect hangs.
#[test]
fn a_silent_watch_is_reopened_in_time_though_the_first_connect_hangs() {
    let mut rig = Rig::start(1);
    rig.write_to_watch(b"\n", 1);
    let silent_since = Instant::now();
    let full_backlog = common::FullBacklog::fill(&rig.discovery);
    rig.wait_for_log("endpoint watch fell silent");
    rig.wait_for_log("discovery did not answer in time");
    let mut call = full_backlog.release();
    assert_eq!(call.receive(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    assert!(
        silent_since.elapsed() < Duration::from_secs(6),
        "{:?}",
        silent_since.elapsed()
    );
}

/// A change must be applied at most 6 s after the last byte of a silent watch, even if discovery never answers the
/// first call, with few nodes or many.
#[rstest]
fn a_change_behind_a_silent_watch_is_applied_in_time_though_a_call_is_never_answered(
    #[values(2, 300)] nodes: u32,
) {
    let mut rig = Rig::start_as_one_of(nodes, 2);
    rig.write_to_watch(b"\n", 1);
    let silent_since = Instant::now();
    let (_never_answered, _) = rig.accept_discovery_call();
    rig.accept_watch();
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    assert!(
        silent_since.elapsed() < Duration::from_secs(6),
        "{:?}",
        silent_since.elapsed()
    );
    let established: Vec<_> = (0..6)
        .map(|n| rig.establish_in_group(&format!("g{n}")))
        .collect();
    assert!(
        established
            .iter()
            .all(|(_, server_index, _)| *server_index == 1),
        "the first server drains"
    );
}

/// Of two pending calls, the one that is answered, either one, becomes the watch, and the other one is closed.
#[rstest]
fn the_discovery_call_that_is_answered_first_becomes_the_watch(
    #[values(true, false)] is_first_answered: bool,
) {
    let mut rig = Rig::start(1);
    let (one, _) = rig.accept_discovery_call_after_silence();
    let (two, _) = rig.accept_discovery_call();
    let (mut answered, mut other) = if is_first_answered {
        (one, two)
    } else {
        (two, one)
    };
    answered.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    assert_eq!(other.receive(), "", "the other call is closed");
    rig.watch = Some(answered);
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    assert!(rig.discovery.accept().is_err(), "no further call");
}

/// Discovery rejects calls, or accepts them and never answers; then it recovers and answers the next call. That call
/// must come early enough for changes from the recovery on to be applied in time.
#[rstest]
#[case::down(true)]
#[case::hangs(false)]
fn changes_are_applied_in_time_once_discovery_is_back(
    #[case] is_rejecting: bool,
    #[values(2, 300)] nodes: u32,
) {
    let mut rig = Rig::start_as_one_of(nodes, 1);
    rig.watch = None;
    let mut hung = Vec::new();
    for _ in 0..3 {
        let (mut call, _) = rig.accept_discovery_call();
        if is_rejecting {
            call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        } else {
            hung.push(call);
        }
    }
    // Discovery recovers after the last failed call.
    let recovered_at = Instant::now();
    rig.accept_watch();
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    assert!(
        recovered_at.elapsed() < Duration::from_secs(6),
        "{:?}",
        recovered_at.elapsed()
    );
}

/// A connection's descriptor is needed for others in the same turn in which its complete first line has arrived unread.
#[test]
fn a_connection_whose_first_line_has_arrived_is_not_closed_for_its_descriptor() {
    let rig = Rig::start_with_descriptors(1, 68);
    let mut oldest = rig.connect_client();
    let mut silent: Vec<_> = (0..23).map(|_| rig.connect_client()).collect();
    // Clients are accepted in order, so that all of them are accepted once `PING` is answered.
    assert_eq!(rig.query("PING\r\n"), "PONG");
    rig.pause();
    silent.extend((0..16).map(|_| rig.connect_client()));
    oldest.send("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,d=20000,g=a\r\n");
    rig.resume();
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    server.send("UP r1\r\n");
    assert_eq!(oldest.receive(), "UP r1");
}

/// The answer is one that the request's class allows, given whether the request has been sent.
#[rstest]
#[case::repeatable("repeatable", "all", true, true, "BUSY ")]
#[case::no_retry_after("repeatable", "all", true, false, "BUSY")]
#[case::once("once", "all", true, true, "ERR")]
#[case::once_never_sent("once", "all", false, true, "BUSY ")]
#[case::by_key_anywhere("by_key", "all", true, true, "BUSY ")]
#[case::by_key_in_a_zone("by_key", "zone", true, true, "ERR")]
#[case::by_key_never_sent("by_key", "zone", false, false, "BUSY")]
fn at_shutdown_waiting_requests_are_answered_as_their_class_allows(
    #[case] repeat: &str,
    #[case] group: &str,
    #[case] is_sent: bool,
    #[case] has_retry_after: bool,
    #[case] answer: &str,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        allow_slow_connects(settings);
        settings["Categories"][0]["Repeat"] = repeat.into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Limits"]["RetryAfter"] = has_retry_after.into();
    });
    let full_backlog = (!is_sent).then(|| rig.fill_backlog(0));
    let (mut client, _) = rig.send_request("d=60000,g=a");
    let server = is_sent.then(|| {
        let (_, mut server) = rig.accept_attempt();
        server.receive();
        server
    });
    rig.wait_for_log("request received");
    rig.signal("-TERM");
    let received = client.receive();
    assert!(
        received == answer || (answer.ends_with(' ') && received.starts_with(answer)),
        "{received:?}"
    );
    assert_eq!(client.receive(), "", "one answer");
    if let Some(mut server) = server {
        assert_eq!(server.receive(), "", "the attempt ends with the answer");
    }
    drop(client);
    assert!(rig.wait_for_exit().success());
    drop(full_backlog);
}

/// No byte of a damaged answer reaches the client.
#[rstest]
#[case::no_receipt("UP\r\n")]
#[case::damaged_receipt("UP \u{1}\u{2}\r\n")]
#[case::no_carriage_return("UP r1\n")]
#[case::cut("UP r")]
#[case::too_long("")]
fn a_damaged_answer_is_a_failed_attempt(#[case] answer_text: &str) {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.send_request("d=20000,g=a");
    let (first, mut server) = rig.accept_attempt();
    server.receive();
    let long = format!("UP {}\r\n", "x".repeat(5000));
    server.send(if answer_text.is_empty() {
        &long
    } else {
        answer_text
    });
    server.stream.shutdown(Shutdown::Write).unwrap();
    let (second, mut server) = rig.accept_attempt();
    assert_ne!(first, second);
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
}

/// Other clients are answered in time while a server sends an endless answer.
#[rstest]
#[case::lines("LOAD 1\r\n")]
#[case::no_line("x")]
fn an_endless_answer_keeps_nobody_waiting(#[case] answer_text: &str) {
    let mut rig = Rig::start(1);
    let (mut client, _) = rig.send_request("d=3000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    let block = answer_text.repeat(4096);
    let endless =
        std::thread::spawn(move || while server.stream.write_all(block.as_bytes()).is_ok() {});
    let started_at = Instant::now();
    while client.is_quiet() {
        let asked_at = Instant::now();
        assert_eq!(rig.query("PING\r\n"), "PONG");
        assert!(
            asked_at.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked_at.elapsed()
        );
    }
    assert!(client.receive().starts_with("BUSY"));
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    endless.join().unwrap();
}

/// The retry connects only after the window in which it is allowed: it must not be sent, and the client gets the answer
/// that its class allows.
#[rstest]
#[case::anywhere("all", "BUSY")]
#[case::in_a_zone("zone", "ERR")]
fn a_retry_by_key_is_not_sent_past_its_window(#[case] group: &str, #[case] answer: &str) {
    let mut rig = Rig::start(2);
    rig.change_settings(|settings| {
        allow_slow_connects(settings);
        settings["Limits"]["SendCap"] = 2.into();
        settings["Categories"][0]["Repeat"] = "by_key".into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Categories"][0]["WindowNs"] = 700_000_000.into();
    });
    let (mut client, _) = rig.send_request("d=20000,g=a");
    let (first, mut server) = rig.accept_attempt();
    server.receive();
    let full_backlog = rig.fill_backlog(1 - first);
    reset_connection(server);
    rig.wait_for_log("outcome: Reset");
    // The kernel retries the connect a second after the first one.
    assert_eq!(
        full_backlog.release().receive(),
        "",
        "the retry window is over"
    );
    assert!(client.receive().starts_with(answer));
}
