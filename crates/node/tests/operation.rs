//! What the staff do with a node that serves, on real sockets.

mod common;
use common::{wait_until, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

#[rstest]
#[case::check("check\r\n", "done")]
#[case::bare_line_feed("check\n", "done")]
#[case::out_and_back_needs_no_more("set-up s-0\r\n", "done")]
#[case::nobody_has_it("set-down s-9\r\n", "error no transcriber \"s-9\"")]
#[case::unknown(
    "stop\r\n",
    "error no call \"stop\"; there are check, set-down ID, set-up ID, fleet and budgets"
)]
#[case::no_fleet(
    "budgets show\r\n",
    "error this node shares no budget with a cluster, or its cluster agent has not started"
)]
#[case::two_calls("check\r\nset-down s-0\r\n", "done")]
#[case::empty("\r\n", "error the call is empty")]
fn a_call_has_one_line_for_an_answer(#[case] call: &str, #[case] answer: &str) {
    let mut rig = Rig::start(1);
    for cut in [call.len(), 1, 4] {
        let mut caller = rig.connect_admin();
        for piece in call.as_bytes().chunks(cut) {
            caller.send(std::str::from_utf8(piece).unwrap());
        }
        assert_eq!(
            [caller.receive(), caller.receive()],
            [answer, ""],
            "cut at {cut}"
        );
    }
    rig.establish();
}

#[test]
fn a_call_that_does_not_end_is_an_error_and_silent_callers_hold_up_nobody() {
    let rig = Rig::start_with_descriptors(1, 256);
    let began = Instant::now();
    let mut half = rig.connect_admin();
    half.send("set-down s");
    let silent: Vec<_> = (0..300).map(|_| rig.connect_admin()).collect();
    for _ in 0..5 {
        let began = Instant::now();
        assert_eq!(rig.admin_call("check\r\n"), "done");
        assert!(began.elapsed() < Duration::from_secs(1));
    }
    assert!(
        rig.open_descriptor_count() < 60,
        "{} are held",
        rig.open_descriptor_count()
    );
    assert!(rig
        .admin_call(&"x".repeat(4096))
        .starts_with("error the call is longer"));
    drop(silent);
    let mut half = rig.connect_admin();
    half.send("set-down s");
    assert_eq!(half.receive(), "error no whole call came in time");
    assert!(
        began.elapsed() > Duration::from_secs(4),
        "it may stay for 4 s"
    );
}

#[test]
fn calls_are_answered_in_time_under_a_crowd_and_after_sigterm() {
    let mut rig = Rig::start_with_descriptors(1, 384);
    let standing: Vec<_> = (0..20).map(|_| rig.establish()).collect();
    let (mut crowd, mut slowest) = (Vec::new(), Duration::ZERO);
    for round in 0..30 {
        crowd.extend((0..40).map(|_| rig.connect_client()));
        crowd
            .iter_mut()
            .rev()
            .take(20)
            .for_each(|client| client.send("OPEN 9b1f03"));
        crowd.extend((0..2).map(|_| rig.connect_admin()));
        if round == 20 {
            rig.signal("-TERM");
        }
        let began = Instant::now();
        assert!(["done", "error this process is ending"]
            .contains(&rig.admin_call("check\r\n").as_str()));
        slowest = slowest.max(began.elapsed());
    }
    println!("slowest answer: {slowest:?}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    for (mut client, _, _) in standing {
        assert_eq!(client.receive(), "MOVE", "nobody is cut off");
    }
}

/// However the network cuts what is sent: a first line, a transcriber's answer and lines, and discovery's list.
#[rstest]
fn lines_may_be_cut_at_any_byte(#[values(1, 2, 7, 31)] piece: usize) {
    let mut rig = Rig::start(2);
    let cut = |line: &mut common::LineStream, text: &str| {
        line.stream.set_nodelay(true).unwrap();
        text.as_bytes()
            .chunks(piece)
            .for_each(|part| line.send(std::str::from_utf8(part).unwrap()));
    };
    let mut client = rig.connect_client();
    cut(
        &mut client,
        "OPEN 00000000000000aa f c=chat,d=15000,g=a\r\n",
    );
    let (at, mut peer) = rig.accept_attempt();
    peer.receive();
    cut(&mut peer, "LOAD 12\r\nUP r1\r\nLOAD 1500\r\nfirst\r\n");
    assert_eq!(
        [client.receive(), client.receive(), client.receive()],
        ["UP r1", "LOAD 1500", "first"]
    );
    rig.wait_for_log("load observed, load_us: 1500");
    cut(&mut client, "second\r\n");
    assert_eq!(peer.receive(), "second");
    let mut watch = rig.watch.take().unwrap();
    let host = format!(r#"{{"host":"s-{at}","dial":"127.0.0.1:1","health":"DRAINING"}}"#);
    let list = format!("{{\"seq\":5,\"whole\":false,\"hosts\":[{host}]}}\n");
    cut(&mut watch, &format!("{:x}\r\n{list}\r\n", list.len()));
    rig.wait_for_log("seq: 5");
}

#[test]
fn the_command_line_makes_a_call_and_tells_by_its_exit_code() {
    let rig = Rig::start(1);
    let ask = |call: &[&str]| {
        let mut run = std::process::Command::new(env!("CARGO_BIN_EXE_lupincrank"));
        let run = run
            .arg("manage")
            .arg(rig.admin_address().to_string())
            .args(call)
            .output()
            .unwrap();
        (run.status.success(), String::from_utf8(run.stdout).unwrap())
    };
    assert_eq!(ask(&["set-down", "s-0"]), (true, "done\n".into()));
    assert_eq!(
        ask(&["set-up", "s-9"]),
        (false, "error no transcriber \"s-9\"\n".into())
    );
    assert!(!ask(&[]).0);
}

#[test]
fn a_client_that_needs_two_seconds_for_its_first_line_is_served() {
    let mut rig = Rig::start(1);
    let mut client = rig.connect_client();
    let line = "OPEN 00000000000000aa f c=chat,d=1500,g=a\r\n";
    let (first, rest) = line.split_at(20);
    client.send(first);
    std::thread::sleep(Duration::from_secs(2));
    client.send(rest);
    rig.accept_attempt().1.receive();
    rig.establish();
}

#[test]
fn check_says_what_is_missing_until_discovery_has_told_the_list() {
    let mut rig = Rig::launch(1, 1024);
    assert_eq!(
        rig.admin_call("check\r\n"),
        "error discovery has not told the list yet"
    );
    rig.accept_watch();
    wait_until("done", || {
        (rig.admin_call("check\r\n") == "done").then_some(())
    });
}

#[test]
fn what_is_out_by_hand_is_emptied_and_gets_nothing_until_it_is_called_back() {
    let mut rig = Rig::start(2);
    let (mut client, at, _peer) = rig.establish();
    let down = format!("set-down s-{at}\r\n");
    assert_eq!(
        [rig.admin_call(&down), rig.admin_call(&down)],
        ["done", "done"]
    );
    assert_eq!([client.receive(), client.receive()], ["MOVE", ""]);
    // Whatever the list says of it meanwhile.
    rig.announce_health(at, "DELETED", 2);
    rig.announce_health(at, "SERVING", 3);
    rig.wait_for_log("seq: 3");
    let held: Vec<_> = (0..4).map(|_| rig.establish()).collect();
    assert!(held.iter().all(|(_, to, _)| *to != at));
    // A connection from before would be something new there too.
    let (mut old, _) = rig.send_request(&format!("d=30000,g=a,at=s-{at}"));
    assert_eq!(old.receive(), "BUSY");
    drop(held);
    rig.undrain(at);
}

#[test]
fn with_all_out_by_hand_a_request_is_refused_at_once() {
    let mut rig = Rig::start(2);
    for n in 0..2 {
        assert_eq!(rig.admin_call(&format!("set-down s-{n}\r\n")), "done");
    }
    rig.wait_for_log("no server available");
    let (mut client, _) = rig.send_request("d=60000,g=a");
    assert!(client.receive().starts_with("BUSY "));
    assert_eq!(rig.admin_call("check\r\n"), "done", "the process serves");
}

/// Reloads with these classes and this many attempts.
fn retune(rig: &Rig, classes: &[(&str, &str)], attempts: u32) {
    let mut config = rig.config.clone();
    let class = config["settings"]["Categories"][0].clone();
    let renamed = classes.iter().map(|(name, repeat)| {
        let mut class = class.clone();
        (class["Name"], class["Repeat"]) = ((*name).into(), (*repeat).into());
        class
    });
    config["settings"]["Categories"] = renamed.collect();
    config["settings"]["FamilyInfo"]["MessageAimNs"] = vec![100_000_000; classes.len()].into();
    config["settings"]["Limits"]["SendCap"] = attempts.into();
    rig.reload_config(&config.to_string());
    let names: Vec<&str> = classes.iter().map(|(name, _)| *name).collect();
    rig.wait_for_log(&format!(
        "max_attempts: {attempts}, classes: {}",
        names.join(", ")
    ));
}

#[test]
fn new_classes_and_attempts_hold_for_what_comes_after_and_old_ones_for_what_is_there() {
    let mut rig = Rig::start(3);
    let (mut stands, _, mut holder) = rig.establish();
    let (mut waits, _) = rig.send_request("d=60000,g=a");
    let (_, first) = rig.accept_attempt();
    retune(&rig, &[("notes", "once"), ("chat", "once")], 1);
    // It came when a second attempt was harmless, and three were allowed.
    drop(first);
    let (_, mut second) = rig.accept_attempt();
    second.receive();
    second.send("UP r2\r\n");
    assert_eq!(waits.receive(), "UP r2");
    // One that comes now may have run once the try is lost, and there is no other try.
    let (mut now, _) = rig.send_request("d=60000,g=a");
    let (_, mut only) = rig.accept_attempt();
    only.receive();
    drop(only);
    assert_eq!(now.receive(), "ERR");
    assert!(rig.has_no_attempt());
    retune(&rig, &[("notes", "repeatable")], 3);
    assert_eq!(
        rig.query("OPEN 00000000000000aa f c=chat,d=1500,g=a\r\n"),
        "ERR"
    );
    let mut notes = rig.connect_client();
    notes.send("OPEN 00000000000000ab f c=notes,d=1500,g=a\r\n");
    let (_, mut peer) = rig.accept_attempt();
    peer.receive();
    peer.send("UP r3\r\n");
    assert_eq!(notes.receive(), "UP r3");
    for (client, peer) in [
        (&mut stands, &mut holder),
        (&mut waits, &mut second),
        (&mut notes, &mut peer),
    ] {
        client.send("hello\r\n");
        assert_eq!(peer.receive(), "hello");
        peer.send("LOAD 1500\r\nhello\r\n");
        assert_eq!([client.receive(), client.receive()], ["LOAD 1500", "hello"]);
    }
}

#[test]
fn of_a_file_that_does_not_hold_nothing_is_taken() {
    let mut rig = Rig::start(1);
    let mut config = rig.config.clone();
    config["settings"]["Categories"][0]["Name"] = "other".into();
    config["settings"]["Categories"][0]["DeadlineNs"] = 0.into();
    config["discovery"] = "127.0.0.1:1".into();
    rig.reload_config(&config.to_string());
    rig.wait_for_log("settings.Categories[0].DeadlineNs: 0 is not a whole number");
    rig.establish();
    rig.announce_health(0, "SERVING", 9);
    rig.wait_for_log("seq: 9");
}
