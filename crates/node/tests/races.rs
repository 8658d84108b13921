//! Pairs of events that can cross, each order forced: `docs/design/crossings.md` says what must be seen.

mod common;
use common::{reset_connection, wait_until, Rig};
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Connections may take up to 10 s to come up, and the one try that a request has may wait for that.
fn late_connections(settings: &mut serde_json::Value) {
    settings["Limits"]["ConnectTimeoutNs"] = 10_000_000_000u64.into();
    settings["Limits"]["SendCap"] = 1.into();
}

/// How a client leaves.
#[derive(Clone, Copy)]
enum Leaves {
    Ends,
    Resets,
    SaysMore,
}

fn leave(rig: &Rig, client: common::LineStream, how: Leaves) {
    let from = client.stream.local_addr().unwrap();
    match how {
        Leaves::Ends => drop(client),
        Leaves::Resets => reset_connection(client),
        Leaves::SaysMore => {
            let mut client = client;
            client.send("more\r\n");
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
    }
    rig.wait_for_client_close(from);
}

/// The client leaves and the connection to its transcriber comes up, both in one turn of the loop: the one that came up first is
/// looked at first, and the line of a client that has left goes out in neither case.
#[rstest]
fn a_request_whose_client_has_left_is_not_sent_once_its_connection_comes_up(
    #[values(Leaves::Ends, Leaves::Resets, Leaves::SaysMore)] how: Leaves,
    #[values(true, false)] leaves_first: bool,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(late_connections);
    let full_backlog = rig.fill_backlog(0);
    let (client, _) = rig.send_request("d=20000,g=a");
    rig.wait_for_log("request received");
    rig.pause();
    let mut server = if leaves_first {
        leave(&rig, client, how);
        full_backlog.release()
    } else {
        let server = full_backlog.release();
        leave(&rig, client, how);
        server
    };
    rig.resume();
    assert_eq!(server.receive(), "", "nobody waits for it");
    rig.wait_for_log("client left");
}

/// Hundreds leave at once, and connections for some of them come up in the same turn, before they left.
#[test]
fn hundreds_that_leave_at_once_are_not_sent_on() {
    let mut rig = Rig::start(1);
    rig.change_settings(late_connections);
    let full_backlog = rig.fill_backlog(0);
    let clients: Vec<_> = (0..150)
        .map(|n| rig.send_request(&format!("d=20000,g={n}")).0)
        .collect();
    // Some wait for the transcriber, the others for their turn.
    rig.wait_for_log_count("request received, ", 150);
    rig.pause();
    let mut came = vec![full_backlog.release()];
    came.extend((0..7).map(|_| rig.accept_attempt().1));
    clients
        .into_iter()
        .for_each(|client| leave(&rig, client, Leaves::Ends));
    rig.resume();
    rig.wait_for_log_count("client left", 150);
    assert!(
        came.iter_mut().all(|server| server.receive().is_empty()),
        "nobody waits for it"
    );
    // What is sent on next is the next request, not one of theirs.
    let (_client, line) = rig.send_request("d=20000,g=last");
    let id = line.split(' ').nth(1).unwrap().to_string();
    let said = wait_until("the next request", || {
        Some(rig.accept_attempt().1.receive()).filter(|said| !said.is_empty())
    });
    assert!(said.contains(&id), "{said}");
}

/// While a connection comes up its transcriber begins to leave, and takes longer than the grace: the line is not sent there.
#[rstest]
#[case::drains("DRAINING")]
#[case::gone("DELETED")]
#[case::by_hand("")]
fn a_try_whose_transcriber_leaves_while_it_comes_up_is_not_sent(#[case] health: &str) {
    let mut rig = Rig::start(1);
    rig.change_settings(late_connections);
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
        "something new to a transcriber that leaves"
    );
    assert!(
        client.receive().starts_with("BUSY"),
        "it never ran, and nobody is left to take it"
    );
}

/// A list is read however it is laid out, wherever its bytes are cut, and whatever its version: also one that went back, as at a
/// discovery that has returned.
#[rstest]
#[case::in_one_line(false, 2)]
#[case::indented(true, 2)]
#[case::version_went_back(true, 0)]
fn a_list_counts_however_it_is_laid_out(
    #[case] indented: bool,
    #[case] seq: u64,
    #[values(1, 7, 4096)] piece: usize,
) {
    let mut rig = Rig::start(2);
    let list = rig.endpoint_list(&["DRAINING", "SERVING"], seq, true);
    let text = if indented {
        serde_json::to_string_pretty(&list).unwrap()
    } else {
        list.to_string()
    };
    rig.write_to_watch(format!("{text}\n").as_bytes(), piece);
    rig.wait_for_log(&format!("endpoint list changed, entries: 2, seq: {seq}"));
    let held: Vec<_> = (0..6).map(|_| rig.establish()).collect();
    assert!(
        held.iter().all(|(_, at, _)| *at == 1),
        "it was told that the first one drains"
    );
    // The watch goes on, and is opened anew from there.
    rig.watch = None;
    assert_eq!(
        rig.accept_discovery_call().1,
        format!("GET /v1/endpoints?watch=1&from={seq} HTTP/1.1")
    );
}

/// A list that comes byte by byte and never ends is a watch that has fallen silent.
#[test]
fn a_list_without_end_puts_silence_off_once() {
    let mut rig = Rig::start(1);
    rig.write_to_watch(b"{\"seq\":2,", 4096);
    wait_until("the watch is opened anew", || {
        // It goes on for as long as the node takes it.
        let watch = rig.watch.as_mut().unwrap();
        let _ = watch.stream.write_all(b"1\r\n \r\n");
        rig.discovery.accept().ok()
    });
    assert!(rig.log().contains("endpoint watch fell silent"));
}

/// A spoilt list changes nothing, not even by its good entries, and the watch is opened anew from what is known.
#[rstest]
#[case::cut("{\"seq\":9,\"whole\":true,\"hosts\":[]")]
#[case::nonsense("nonsense\n")]
#[case::bad_entry(r#"{"seq":9,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"SERVING"},{"host":"s-0","dial":"127.0.0.1:1","health":"WELL"}]}"#)]
#[case::no_address(r#"{"seq":9,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"DELETED"},{"host":"s-0","dial":"here","health":"SERVING"}]}"#)]
#[case::number_too_large(r#"{"seq":9,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"SERVING","share":1e999}]}"#)]
#[case::not_an_update("{\"whole\":true}\n")]
fn a_spoilt_list_changes_nothing(#[case] text: &str) {
    let mut rig = Rig::start(2);
    rig.write_to_watch(text.as_bytes(), 4096);
    if text.starts_with("{\"seq\":9,\"whole\":true,\"hosts\":[]") {
        rig.watch = None;
    }
    assert_eq!(
        rig.accept_discovery_call().1,
        "GET /v1/endpoints?watch=1&from=1 HTTP/1.1"
    );
    let held: Vec<_> = (0..12)
        .map(|n| rig.establish_in_group(&format!("g{n}")))
        .collect();
    assert!(
        (0..2).all(|server| held.iter().any(|(_, at, _)| *at == server)),
        "both are used as before"
    );
}

/// What a silent watch misses counts as told 6 s after it fell silent, here with the last byte, at the latest. The first attempt to
/// open it anew hangs.
#[test]
fn a_silent_watch_is_opened_anew_in_time_though_the_first_attempt_hangs() {
    let mut rig = Rig::start(1);
    rig.write_to_watch(b"\n", 1);
    let silent_since = Instant::now();
    let full_backlog = common::FullBacklog::fill(&rig.discovery);
    rig.wait_for_log("endpoint watch fell silent");
    rig.wait_for_log("nothing came in time");
    let mut call = full_backlog.release();
    assert_eq!(call.receive(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    assert!(
        silent_since.elapsed() < Duration::from_secs(6),
        "{:?}",
        silent_since.elapsed()
    );
}

/// The same where discovery takes the first call and never answers it, few nodes or many: a change that was made behind the silent
/// watch holds in time.
#[rstest]
fn what_a_silent_watch_misses_is_heard_in_time_though_a_call_is_never_answered(
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
    let held: Vec<_> = (0..6)
        .map(|n| rig.establish_in_group(&format!("g{n}")))
        .collect();
    assert!(
        held.iter().all(|(_, at, _)| *at == 1),
        "it was told that the first one drains"
    );
}

/// One of two calls that wait is answered, either one: it is the watch, and the other one is closed.
#[rstest]
fn the_call_that_is_answered_first_is_the_watch(#[values(true, false)] first: bool) {
    let mut rig = Rig::start(1);
    let (one, _) = rig.accept_discovery_call_after_silence();
    let (two, _) = rig.accept_discovery_call();
    let (mut answered, mut other) = if first { (one, two) } else { (two, one) };
    answered.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    assert_eq!(other.receive(), "", "it is closed");
    rig.watch = Some(answered);
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    assert!(rig.discovery.accept().is_err(), "no further call");
}

/// Calls are refused or ended for long, or accepted and never answered; then discovery is back, and the next call is answered. It
/// comes in time for what discovery had to tell from that moment on.
#[rstest]
#[case::down(true)]
#[case::hangs(false)]
fn discovery_that_is_back_is_heard_in_time(#[case] ends: bool, #[values(2, 300)] nodes: u32) {
    let mut rig = Rig::start_as_one_of(nodes, 1);
    rig.watch = None;
    let mut hung = Vec::new();
    for _ in 0..3 {
        let (mut call, _) = rig.accept_discovery_call();
        if ends {
            call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        } else {
            hung.push(call);
        }
    }
    // The last call that it spoilt has come: from here on it is well.
    let back = Instant::now();
    rig.accept_watch();
    rig.announce_health(0, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    assert!(
        back.elapsed() < Duration::from_secs(6),
        "{:?}",
        back.elapsed()
    );
}

/// A connection's place is needed for others in the turn in which its line is there, whole and unread.
#[test]
fn a_connection_whose_line_has_come_is_not_ended_for_want_of_room() {
    let rig = Rig::start_with_descriptors(1, 68);
    let mut oldest = rig.connect_client();
    let mut silent: Vec<_> = (0..23).map(|_| rig.connect_client()).collect();
    // Calls are answered in order: by then all of them have been taken in.
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

/// What waits when the node has to end gets its final answer: one that its class allows after what has been sent for it.
#[rstest]
#[case::repeatable("repeatable", "all", true, true, "BUSY ")]
#[case::no_time_told("repeatable", "all", true, false, "BUSY")]
#[case::once("once", "all", true, true, "ERR")]
#[case::once_never_sent("once", "all", false, true, "BUSY ")]
#[case::by_key_anywhere("by_key", "all", true, true, "BUSY ")]
#[case::by_key_in_a_zone("by_key", "zone", true, true, "ERR")]
#[case::by_key_never_sent("by_key", "zone", false, false, "BUSY")]
fn a_node_that_ends_answers_what_waits_as_its_class_allows(
    #[case] repeat: &str,
    #[case] group: &str,
    #[case] sent: bool,
    #[case] advises: bool,
    #[case] answer: &str,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        late_connections(settings);
        settings["Categories"][0]["Repeat"] = repeat.into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Limits"]["RetryAfter"] = advises.into();
    });
    let full_backlog = (!sent).then(|| rig.fill_backlog(0));
    let (mut client, _) = rig.send_request("d=60000,g=a");
    let server = sent.then(|| {
        let (_, mut server) = rig.accept_attempt();
        server.receive();
        server
    });
    rig.wait_for_log("request received");
    rig.signal("-TERM");
    let said = client.receive();
    assert!(
        said == answer || (answer.ends_with(' ') && said.starts_with(answer)),
        "{said:?}"
    );
    assert_eq!(client.receive(), "", "one answer");
    if let Some(mut server) = server {
        assert_eq!(server.receive(), "", "the try ends with it");
    }
    drop(client);
    // One that comes now is told no more than that either.
    assert!(rig.wait_for_exit().success());
    drop(full_backlog);
}

/// Spoilt answers are failed tries, and nothing of them reaches the client as service.
#[rstest]
#[case::no_receipt("UP\r\n")]
#[case::spoilt_receipt("UP \u{1}\u{2}\r\n")]
#[case::no_carriage_return("UP r1\n")]
#[case::cut("UP r")]
#[case::too_long("")]
fn a_spoilt_answer_is_a_failed_try(#[case] says: &str) {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.send_request("d=20000,g=a");
    let (first, mut server) = rig.accept_attempt();
    server.receive();
    let long = format!("UP {}\r\n", "x".repeat(5000));
    server.send(if says.is_empty() { &long } else { says });
    server.stream.shutdown(Shutdown::Write).unwrap();
    let (second, mut server) = rig.accept_attempt();
    assert_ne!(first, second);
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
}

/// An answer that never ends keeps nobody else waiting.
#[rstest]
#[case::lines("LOAD 1\r\n")]
#[case::no_line("x")]
fn an_answer_that_never_ends_keeps_nobody_waiting(#[case] says: &str) {
    let mut rig = Rig::start(1);
    let (mut client, _) = rig.send_request("d=3000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    let block = says.repeat(4096);
    let endless =
        std::thread::spawn(move || while server.stream.write_all(block.as_bytes()).is_ok() {});
    let began = Instant::now();
    while client.is_quiet() {
        let asked = Instant::now();
        assert_eq!(rig.query("PING\r\n"), "PONG");
        assert!(
            asked.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked.elapsed()
        );
    }
    assert!(client.receive().starts_with("BUSY"));
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    endless.join().unwrap();
}

/// A repeat by key whose connection comes up only after the time in which it is allowed: it is not sent, and the client gets the answer
/// that is left.
#[rstest]
#[case::anywhere("all", "BUSY")]
#[case::in_a_zone("zone", "ERR")]
fn a_repeat_by_key_is_not_sent_past_its_window(#[case] group: &str, #[case] answer: &str) {
    let mut rig = Rig::start(2);
    rig.change_settings(|settings| {
        late_connections(settings);
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
    // The kernel tries it again a second after the first time.
    assert_eq!(
        full_backlog.release().receive(),
        "",
        "its time to be repeated is over"
    );
    assert!(client.receive().starts_with(answer));
}
