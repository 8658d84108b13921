//! One test on real sockets for each rule of the protocol.

mod common;
use common::{reset, within, Rig};
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn a_first_line_goes_on_with_d_rewritten_and_lines_pass_both_ways_unchanged() {
    let mut rig = Rig::start(2);
    let (mut client, line) = rig.open("d=1500,g=5c0f6e1a,x=1");
    let (_, mut peer) = rig.tried();
    let passed = peer.hear();
    let (start, rest) = passed.split_once("d=").unwrap();
    let (left, rest) = rest.split_once(',').unwrap();
    assert_eq!(format!("{start}d=1500,{rest}"), line);
    assert!(
        (1..=1500).contains(&left.parse::<u32>().unwrap()),
        "{left} ms"
    );
    peer.say("UP r1\r\nLOAD 12.5\r\nfirst\r\nsec");
    peer.say("ond\r\n");
    assert_eq!(
        [client.hear(), client.hear(), client.hear(), client.hear()],
        ["UP r1", "LOAD 12.5", "first", "second"]
    );
    client.say("ba");
    client.say("ck\r\n");
    assert_eq!(peer.hear(), "back");
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
fn a_malformed_first_line_gets_err_and_reaches_no_transcriber(#[case] line: &str) {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.say(line);
    assert_eq!([client.hear(), client.hear()], ["ERR", ""]);
    assert!(rig.untried());
}

#[test]
fn a_first_line_that_is_too_long_or_not_text_gets_err_too() {
    let rig = Rig::start(1);
    assert_eq!(rig.ask(&"x".repeat(4096)), "ERR");
    let mut client = rig.client();
    client
        .stream
        .write_all(b"OPEN \xff\xfe f c=chat,d=100\r\n")
        .unwrap();
    assert_eq!([client.hear(), client.hear()], ["ERR", ""]);
    assert!(rig.untried());
}

/// How a transcriber ends the first try; the next one starts only after that.
#[rstest]
#[case::turned_away("BUSY\r\n")]
#[case::error("ERR\r\n")]
#[case::drains("MOVE\r\n")]
#[case::nonsense("\u{fffd}\r\n")]
#[case::ended("")]
fn a_try_that_fails_is_followed_by_one_at_another_transcriber(#[case] says: &str) {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.open("d=1900,g=a");
    let (first, mut peer) = rig.tried();
    peer.hear();
    assert!(rig.untried(), "two at once");
    peer.say(says);
    drop(peer);
    let (second, mut peer) = rig.tried();
    assert_ne!(first, second);
    peer.hear();
    peer.say("UP r2\r\n");
    assert_eq!(client.hear(), "UP r2");
}

#[test]
fn a_silent_try_is_closed_before_the_next_one_starts() {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.open("d=1900,g=a");
    let (first, mut silent) = rig.tried();
    silent.hear();
    let (second, mut peer) = rig.tried();
    assert_ne!(first, second);
    assert_eq!(silent.hear(), "", "closed by then");
    peer.hear();
    peer.say("UP r2\r\n");
    assert_eq!(client.hear(), "UP r2");
}

#[test]
fn with_every_transcriber_gone_the_answer_is_busy_at_once_with_a_time() {
    let mut rig = Rig::start(2);
    rig.peers.iter_mut().for_each(|peer| *peer = None);
    let began = Instant::now();
    let (mut client, _) = rig.open("d=60000,g=a");
    let answer = client.hear();
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((1..=2000).contains(&wait), "{answer}");
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "held for {:?}",
        began.elapsed()
    );
    assert_eq!(client.hear(), "");
}

#[test]
fn a_client_that_leaves_during_set_up_takes_its_try_along() {
    let mut rig = Rig::start(1);
    let (client, _) = rig.open("d=60000,g=a");
    let (_, mut peer) = rig.tried();
    peer.hear();
    drop(client);
    assert_eq!(peer.hear(), "");
}

#[test]
fn an_end_of_one_side_reaches_the_other_after_what_was_sent() {
    let mut rig = Rig::start(2);
    let (mut client, _, mut peer) = rig.up();
    peer.say("last\r\nBYE\r\n");
    peer.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        [client.hear(), client.hear(), client.hear()],
        ["last", "BYE", ""]
    );
    let (mut client, _, mut peer) = rig.up();
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(peer.hear(), "");
    peer.say("still here\r\n");
    assert_eq!(client.hear(), "still here");
}

#[test]
fn a_reset_of_one_side_reaches_the_other_as_one() {
    let mut rig = Rig::start(1);
    let (client, _, mut peer) = rig.up();
    reset(client);
    assert_eq!(peer.hear(), "RST");
    let (mut client, _, peer) = rig.up();
    reset(peer);
    assert_eq!(client.hear(), "RST");
}

#[test]
fn a_connection_whose_lines_go_unanswered_is_moved_within_seven_seconds() {
    let mut rig = Rig::start(2);
    let (mut client, _, mut peer) = rig.up();
    client.say("hello\r\n");
    assert_eq!(peer.hear(), "hello");
    let began = Instant::now();
    assert_eq!([client.hear(), client.hear()], ["MOVE", ""]);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "nobody is served on it meanwhile"
    );
}

#[test]
fn a_transcriber_that_answers_nobody_loses_all_its_connections_at_once() {
    let mut rig = Rig::start(2);
    let (mut other, at, mut answers) = rig.up();
    let mut held = Vec::new();
    // A group of its own for each: some come to either transcriber.
    within("three at the other one", || {
        let (mut client, _) = rig.open(&format!("d=1500,g={}", held.len()));
        let (to, mut peer) = rig.tried();
        peer.hear();
        peer.say("UP r1\r\n");
        assert_eq!(client.hear(), "UP r1");
        held.push((client, to, peer));
        (held.iter().filter(|(_, to, _)| *to != at).count() == 3).then_some(())
    });
    let mut held: Vec<_> = held.into_iter().filter(|(_, to, _)| *to != at).collect();
    held[0].0.say("hello\r\n");
    held[1].0.say("hello\r\n");
    let began = Instant::now();
    while held[2].0.quiet() {
        other.say("hello\r\n");
        assert_eq!(answers.hear(), "hello");
        answers.say("hello\r\n");
        assert_eq!(other.hear(), "hello", "the sound one stays");
        assert!(began.elapsed() < common::GENEROUS);
    }
    for (client, _, _) in &mut held {
        assert_eq!(client.hear(), "MOVE");
    }
}

#[test]
fn a_draining_transcriber_gets_nothing_new() {
    let mut rig = Rig::start(2);
    let mut held = vec![rig.up()];
    let at = held[0].1;
    rig.tell(at, "DRAINING", 2);
    // What the node has heard shows only in what it does: once a request of this group goes elsewhere, all do.
    within("the change", || {
        held.push(rig.up());
        (held.last()?.1 != at).then_some(())
    });
    for _ in 0..5 {
        held.push(rig.up());
        assert_ne!(held.last().unwrap().1, at);
    }
}

#[test]
fn a_watch_that_brings_nothing_is_opened_anew_from_what_is_known() {
    let mut rig = Rig::start(1);
    rig.tell(0, "SERVING", 7);
    let began = Instant::now();
    let (_call, request) = rig.called();
    assert_eq!(request, "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
    assert!(began.elapsed() < Duration::from_secs(10));
}

#[rstest]
#[case::refused("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")]
#[case::not_http("what?\r\n\r\n")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::bad_json("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{{{\n\r\n")]
#[case::reset("")]
fn a_failed_call_is_made_again_and_serving_goes_on(#[case] answer: &str) {
    let mut rig = Rig::launch(1, 1024);
    let (mut call, _) = rig.called();
    call.say(answer);
    drop(call);
    rig.up();
    assert_eq!(rig.ask("PING\r\n"), "BUSY", "its list may be old");
    rig.watched();
    within("PONG", || (rig.ask("PING\r\n") == "PONG").then_some(()));
    assert!(rig.running());
}

#[test]
fn a_connection_from_before_goes_to_its_holder() {
    let mut rig = Rig::start(3);
    for holder in 0..3 {
        let (mut client, _) = rig.open(&format!("d=30000,g=a,at=s-{holder}"));
        let (at, mut peer) = rig.tried();
        assert_eq!(at, holder);
        peer.hear();
        peer.say("UP r1\r\n");
        assert_eq!(client.hear(), "UP r1");
    }
}

#[test]
fn a_node_that_knows_no_transcriber_does_not_say_pong() {
    let rig = Rig::start(0);
    assert_eq!(rig.ask("PING\r\n"), "BUSY");
}

#[test]
fn at_sigterm_new_clients_are_served_till_all_are_moved_between_two_lines() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut peer) = rig.up();
    let (mut waiting, _) = rig.open("d=60000,g=a");
    let (_, _silent) = rig.tried();
    peer.say("whole\r\npart of a line");
    assert_eq!(client.hear(), "whole");
    let began = Instant::now();
    rig.signal("-TERM");
    rig.logged("leaving");
    let (mut late, _, mut late_peer) = rig.up();
    late.say("hello\r\n");
    assert_eq!(late_peer.hear(), "hello");
    late_peer.say("hello\r\n");
    assert_eq!(late.hear(), "hello", "served until it is sent away");
    for mut client in [client, late] {
        assert_eq!([client.hear(), client.hear()], ["MOVE", ""]);
    }
    assert!(rig
        .ask("OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=a\r\n")
        .starts_with("BUSY "));
    assert!(waiting.hear().starts_with("BUSY "));
    drop(waiting);
    assert!(rig.exit().success());
    assert!(
        began.elapsed() < Duration::from_millis(2700),
        "killed before: {:?}",
        began.elapsed()
    );
}

#[test]
fn with_descriptors_running_out_clients_are_still_answered_and_later_ones_served() {
    let mut rig = Rig::with_sockets(1, 68);
    let held: Vec<_> = (0..9).map(|_| rig.up()).collect();
    let (mut client, _) = rig.open("d=1000,g=a");
    assert!(client.hear().starts_with("BUSY "));
    drop(held);
    within("room", || {
        // A client that leaves at once would take its try along before it is made.
        let (mut client, _) = rig.open("d=1000,g=a");
        let answered = || {
            let tried = rig.peers[0].as_ref()?.accept().is_ok();
            (tried || !client.quiet()).then_some(tried)
        };
        within("a try or an answer", answered).then_some(())
    });
}

#[rstest]
#[case::half_a_line("OPEN 9b1f03", "ERR")]
#[case::nothing("", "")]
fn a_first_line_is_not_waited_for_past_three_seconds(#[case] says: &str, #[case] hears: &str) {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let began = Instant::now();
    client.say(says);
    assert_eq!(client.hear(), hears);
    client.hear();
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
    assert!(rig.untried());
}

#[test]
fn a_client_that_sends_at_full_speed_is_cut_off() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let began = Instant::now();
    let block = vec![b'x'; 1 << 20];
    let sent = (0..4000)
        .take_while(|_| client.stream.write_all(&block).is_ok())
        .count();
    assert!(sent < 60, "{sent} MiB were taken");
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn commands_before_the_answer_are_an_error_and_end_the_try() {
    let mut rig = Rig::start(2);
    let (mut client, line) = rig.open("d=60000,g=a");
    let (_, mut peer) = rig.tried();
    peer.hear();
    client.say(&format!("{line}\r\n").repeat(100));
    assert_eq!([client.hear(), peer.hear()], ["ERR", ""]);
    assert!(rig.untried());
}

#[test]
fn a_request_that_a_transcriber_cannot_read_is_not_tried_elsewhere() {
    let mut rig = Rig::start(2);
    let (mut client, _) = rig.open("d=60000,g=a");
    let (_, mut peer) = rig.tried();
    peer.hear();
    peer.say("SYNTAX\r\n");
    assert_eq!(client.hear(), "ERR");
    assert!(rig.untried());
}

#[test]
fn a_transcriber_that_ends_a_connection_on_what_it_cannot_read_is_not_blamed() {
    let mut rig = Rig::start(2);
    let (mut client, at, mut peer) = rig.up();
    for _ in 0..4 {
        client.say("what no transcriber reads\r\n");
        peer.hear();
        drop(peer);
        assert_eq!(client.hear(), "");
        let (next, now_at, now) = rig.up();
        assert_eq!(now_at, at);
        (client, peer) = (next, now);
    }
}

#[test]
fn hundreds_that_say_nothing_turn_no_client_away() {
    let mut rig = Rig::with_sockets(1, 256);
    let mut held = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..30 {
        silent.extend((0..20).map(|_| rig.client()));
        held.push(rig.up());
    }
    for (client, _, peer) in &mut held {
        client.say("hello\r\n");
        assert_eq!(peer.hear(), "hello");
    }
}

#[test]
fn a_connection_from_before_goes_to_no_transcriber_that_drains() {
    let mut rig = Rig::start(2);
    rig.tell(0, "DRAINING", 2);
    rig.tell(1, "DRAINING", 3);
    // Nothing takes new connections any more, and the front is told so.
    within("the change", || {
        (rig.ask("PING\r\n") == "BUSY").then_some(())
    });
    let (mut client, _) = rig.open("d=30000,g=a,at=s-0");
    assert_eq!(client.hear(), "BUSY");
    assert!(rig.untried());
}

#[test]
fn at_sighup_the_watch_goes_on_at_the_new_address_and_connections_stand() {
    let mut rig = Rig::start(2);
    rig.tell(0, "SERVING", 7);
    let (mut client, _, mut peer) = rig.up();
    for _ in 0..2 {
        let began = Instant::now();
        rig.move_discovery();
        let (mut call, request) = rig.called();
        assert_eq!(request, "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "told too late: {:?}",
            began.elapsed()
        );
        call.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        rig.watch = Some(call);
    }
    client.say("hello\r\n");
    assert_eq!(peer.hear(), "hello");
    peer.say("hello\r\n");
    assert_eq!(client.hear(), "hello");
    assert_eq!(rig.ask("PING\r\n"), "PONG");
}

#[rstest]
#[case::not_json("{")]
#[case::no_classes(
    r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","name":"n","settings":{}}"#
)]
#[case::no_address(r#"{"discovery":"elsewhere"}"#)]
fn a_configuration_that_does_not_hold_changes_nothing(#[case] text: &str) {
    let mut rig = Rig::start(1);
    rig.reload(text);
    rig.logged("the old configuration stays");
    rig.move_discovery();
    rig.watched();
    rig.up();
    assert!(rig.running());
}
