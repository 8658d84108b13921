//! Pairs of events that can cross, each order forced: `docs/design/crossings.md` says what must be seen.

mod common;
use common::{reset, within, Rig};
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

fn leave(rig: &Rig, client: common::Line, how: Leaves) {
    let from = client.stream.local_addr().unwrap();
    match how {
        Leaves::Ends => drop(client),
        Leaves::Resets => reset(client),
        Leaves::SaysMore => {
            let mut client = client;
            client.say("more\r\n");
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
    }
    rig.left(from);
}

/// The client leaves and the connection to its transcriber comes up, both in one turn of the loop: the one that came up first is
/// looked at first, and the line of a client that has left goes out in neither case.
#[rstest]
fn a_request_whose_client_has_left_is_not_sent_once_its_connection_comes_up(
    #[values(Leaves::Ends, Leaves::Resets, Leaves::SaysMore)] how: Leaves,
    #[values(true, false)] leaves_first: bool,
) {
    let mut rig = Rig::start(1);
    rig.set(late_connections);
    let clog = rig.clog(0);
    let (client, _) = rig.open("d=20000,g=a");
    rig.logged("request");
    rig.freeze();
    let mut peer = if leaves_first {
        leave(&rig, client, how);
        clog.open()
    } else {
        let peer = clog.open();
        leave(&rig, client, how);
        peer
    };
    rig.thaw();
    assert_eq!(peer.hear(), "", "nobody waits for it");
    rig.logged("client left");
}

/// Hundreds leave at once, and connections for some of them come up in the same turn, before they left.
#[test]
fn hundreds_that_leave_at_once_are_not_sent_on() {
    let mut rig = Rig::start(1);
    rig.set(late_connections);
    let clog = rig.clog(0);
    let clients: Vec<_> = (0..150)
        .map(|n| rig.open(&format!("d=20000,g={n}")).0)
        .collect();
    // Some wait for the transcriber, the others for their turn.
    rig.logged_times("request, ", 150);
    rig.freeze();
    let mut came = vec![clog.open()];
    came.extend((0..7).map(|_| rig.tried().1));
    clients
        .into_iter()
        .for_each(|client| leave(&rig, client, Leaves::Ends));
    rig.thaw();
    rig.logged_times("client left", 150);
    assert!(
        came.iter_mut().all(|peer| peer.hear().is_empty()),
        "nobody waits for it"
    );
    // What is sent on next is the next request, not one of theirs.
    let (_client, line) = rig.open("d=20000,g=last");
    let id = line.split(' ').nth(1).unwrap().to_string();
    let said = within("the next request", || {
        Some(rig.tried().1.hear()).filter(|said| !said.is_empty())
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
    rig.set(late_connections);
    let clog = rig.clog(0);
    let (mut client, _) = rig.open("d=20000,g=a");
    rig.logged("request");
    if health.is_empty() {
        assert_eq!(rig.manage("set-down s-0\r\n"), "done");
    } else {
        rig.tell(0, health, 2);
        rig.logged("seq: 2");
    }
    assert_eq!(
        clog.open().hear(),
        "",
        "something new to a transcriber that leaves"
    );
    assert!(
        client.hear().starts_with("BUSY"),
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
    let list = rig.list(&["DRAINING", "SERVING"], seq, true);
    let text = if indented {
        serde_json::to_string_pretty(&list).unwrap()
    } else {
        list.to_string()
    };
    rig.write_watch(format!("{text}\n").as_bytes(), piece);
    rig.logged(&format!("endpoint list changed, entries: 2, seq: {seq}"));
    let held: Vec<_> = (0..6).map(|_| rig.up()).collect();
    assert!(
        held.iter().all(|(_, at, _)| *at == 1),
        "it was told that the first one drains"
    );
    // The watch goes on, and is opened anew from there.
    rig.watch = None;
    assert_eq!(
        rig.called().1,
        format!("GET /v1/endpoints?watch=1&from={seq} HTTP/1.1")
    );
}

/// A list that comes byte by byte and never ends is a watch that has fallen silent.
#[test]
fn a_list_without_end_puts_silence_off_once() {
    let mut rig = Rig::start(1);
    rig.write_watch(b"{\"seq\":2,", 4096);
    within("the watch is opened anew", || {
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
    rig.write_watch(text.as_bytes(), 4096);
    if text.starts_with("{\"seq\":9,\"whole\":true,\"hosts\":[]") {
        rig.watch = None;
    }
    assert_eq!(rig.called().1, "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    let held: Vec<_> = (0..12).map(|n| rig.up_in(&format!("g{n}"))).collect();
    assert!(
        (0..2).all(|peer| held.iter().any(|(_, at, _)| *at == peer)),
        "both are used as before"
    );
}

/// What a silent watch misses counts as told 6 s after it fell silent, here with the last byte, at the latest. The first attempt to
/// open it anew hangs.
#[test]
fn a_silent_watch_is_opened_anew_in_time_though_the_first_attempt_hangs() {
    let mut rig = Rig::start(1);
    rig.write_watch(b"\n", 1);
    let silent_since = Instant::now();
    let clog = common::Clog::of(&rig.discovery);
    rig.logged("endpoint watch fell silent");
    rig.logged("nothing came in time");
    let mut call = clog.open();
    assert_eq!(call.hear(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
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
    let mut rig = Rig::one_of(nodes, 2);
    rig.write_watch(b"\n", 1);
    let silent_since = Instant::now();
    let (_never_answered, _) = rig.called();
    rig.watched();
    rig.tell(0, "DRAINING", 2);
    rig.logged("seq: 2");
    assert!(
        silent_since.elapsed() < Duration::from_secs(6),
        "{:?}",
        silent_since.elapsed()
    );
    let held: Vec<_> = (0..6).map(|n| rig.up_in(&format!("g{n}"))).collect();
    assert!(
        held.iter().all(|(_, at, _)| *at == 1),
        "it was told that the first one drains"
    );
}

/// One of two calls that wait is answered, either one: it is the watch, and the other one is closed.
#[rstest]
fn the_call_that_is_answered_first_is_the_watch(#[values(true, false)] first: bool) {
    let mut rig = Rig::start(1);
    let (one, _) = rig.called_after_silence();
    let (two, _) = rig.called();
    let (mut answered, mut other) = if first { (one, two) } else { (two, one) };
    answered.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    assert_eq!(other.hear(), "", "it is closed");
    rig.watch = Some(answered);
    rig.tell(0, "DRAINING", 2);
    rig.logged("seq: 2");
    assert!(rig.discovery.accept().is_err(), "no further call");
}

/// Calls are refused or ended for long, or accepted and never answered; then discovery is back, and the next call is answered. It
/// comes in time for what discovery had to tell from that moment on.
#[rstest]
#[case::down(true)]
#[case::hangs(false)]
fn discovery_that_is_back_is_heard_in_time(#[case] ends: bool, #[values(2, 300)] nodes: u32) {
    let mut rig = Rig::one_of(nodes, 1);
    rig.watch = None;
    let mut hung = Vec::new();
    for _ in 0..3 {
        let (mut call, _) = rig.called();
        if ends {
            call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        } else {
            hung.push(call);
        }
    }
    // The last call that it spoilt has come: from here on it is well.
    let back = Instant::now();
    rig.watched();
    rig.tell(0, "DRAINING", 2);
    rig.logged("seq: 2");
    assert!(
        back.elapsed() < Duration::from_secs(6),
        "{:?}",
        back.elapsed()
    );
}

/// A connection's place is needed for others in the turn in which its line is there, whole and unread.
#[test]
fn a_connection_whose_line_has_come_is_not_ended_for_want_of_room() {
    let rig = Rig::with_sockets(1, 68);
    let mut oldest = rig.client();
    let mut silent: Vec<_> = (0..23).map(|_| rig.client()).collect();
    // Calls are answered in order: by then all of them have been taken in.
    assert_eq!(rig.ask("PING\r\n"), "PONG");
    rig.freeze();
    silent.extend((0..16).map(|_| rig.client()));
    oldest.say("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,d=20000,g=a\r\n");
    rig.thaw();
    let (_, mut peer) = rig.tried();
    peer.hear();
    peer.say("UP r1\r\n");
    assert_eq!(oldest.hear(), "UP r1");
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
    rig.set(|settings| {
        late_connections(settings);
        settings["Categories"][0]["Repeat"] = repeat.into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Limits"]["RetryAfter"] = advises.into();
    });
    let clog = (!sent).then(|| rig.clog(0));
    let (mut client, _) = rig.open("d=60000,g=a");
    let peer = sent.then(|| {
        let (_, mut peer) = rig.tried();
        peer.hear();
        peer
    });
    rig.logged("request");
    rig.signal("-TERM");
    let said = client.hear();
    assert!(
        said == answer || (answer.ends_with(' ') && said.starts_with(answer)),
        "{said:?}"
    );
    assert_eq!(client.hear(), "", "one answer");
    if let Some(mut peer) = peer {
        assert_eq!(peer.hear(), "", "the try ends with it");
    }
    drop(client);
    // One that comes now is told no more than that either.
    assert!(rig.exit().success());
    drop(clog);
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
    let (mut client, _) = rig.open("d=20000,g=a");
    let (first, mut peer) = rig.tried();
    peer.hear();
    let long = format!("UP {}\r\n", "x".repeat(5000));
    peer.say(if says.is_empty() { &long } else { says });
    peer.stream.shutdown(Shutdown::Write).unwrap();
    let (second, mut peer) = rig.tried();
    assert_ne!(first, second);
    peer.hear();
    peer.say("UP r2\r\n");
    assert_eq!(client.hear(), "UP r2");
}

/// An answer that never ends keeps nobody else waiting.
#[rstest]
#[case::lines("LOAD 1\r\n")]
#[case::no_line("x")]
fn an_answer_that_never_ends_keeps_nobody_waiting(#[case] says: &str) {
    let mut rig = Rig::start(1);
    let (mut client, _) = rig.open("d=3000,g=a");
    let (_, mut peer) = rig.tried();
    peer.hear();
    let block = says.repeat(4096);
    let endless =
        std::thread::spawn(move || while peer.stream.write_all(block.as_bytes()).is_ok() {});
    let began = Instant::now();
    while client.quiet() {
        let asked = Instant::now();
        assert_eq!(rig.ask("PING\r\n"), "PONG");
        assert!(
            asked.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked.elapsed()
        );
    }
    assert!(client.hear().starts_with("BUSY"));
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
    rig.set(|settings| {
        late_connections(settings);
        settings["Limits"]["SendCap"] = 2.into();
        settings["Categories"][0]["Repeat"] = "by_key".into();
        settings["Categories"][0]["Group"] = group.into();
        settings["Categories"][0]["WindowNs"] = 700_000_000.into();
    });
    let (mut client, _) = rig.open("d=20000,g=a");
    let (first, mut peer) = rig.tried();
    peer.hear();
    let clog = rig.clog(1 - first);
    reset(peer);
    rig.logged("outcome: Reset");
    // The kernel tries it again a second after the first time.
    assert_eq!(clog.open().hear(), "", "its time to be repeated is over");
    assert!(client.hear().starts_with(answer));
}
