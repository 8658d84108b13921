//! Operation of a serving node by administrators, on real sockets.

mod common;
use common::{wait_until, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

#[rstest]
#[case::check("check\r\n", "done")]
#[case::bare_line_feed("check\n", "done")]
#[case::undrain_without_a_drain("set-up s-0\r\n", "done")]
#[case::unknown_server("set-down s-9\r\n", "error no transcriber \"s-9\"")]
#[case::unknown_call(
    "stop\r\n",
    "error no call \"stop\"; there are check, set-down ID, set-up ID, fleet and budgets"
)]
#[case::no_cluster(
    "budgets show\r\n",
    "error this node shares no budget with a cluster, or its cluster agent has not started"
)]
#[case::two_calls("check\r\nset-down s-0\r\n", "done")]
#[case::empty("\r\n", "error the call is empty")]
fn a_call_has_one_line_for_an_answer(#[case] call: &str, #[case] answer: &str) {
    let mut rig = Rig::start(1);
    for chunk_size in [call.len(), 1, 4] {
        let mut caller = rig.connect_admin();
        for chunk in call.as_bytes().chunks(chunk_size) {
            caller.send(std::str::from_utf8(chunk).unwrap());
        }
        assert_eq!(
            [caller.receive(), caller.receive()],
            [answer, ""],
            "chunks of {chunk_size} bytes"
        );
    }
    rig.establish();
}

#[test]
fn an_incomplete_call_is_an_error_and_silent_callers_delay_nobody() {
    let rig = Rig::start_with_descriptors(1, 256);
    let started_at = Instant::now();
    let mut incomplete = rig.connect_admin();
    incomplete.send("set-down s");
    let silent: Vec<_> = (0..300).map(|_| rig.connect_admin()).collect();
    for _ in 0..5 {
        let started_at = Instant::now();
        assert_eq!(rig.admin_call("check\r\n"), "done");
        assert!(started_at.elapsed() < Duration::from_secs(1));
    }
    assert!(
        rig.open_descriptor_count() < 60,
        "{} descriptors are open",
        rig.open_descriptor_count()
    );
    assert!(rig
        .admin_call(&"x".repeat(4096))
        .starts_with("error the call is longer"));
    drop(silent);
    let mut incomplete = rig.connect_admin();
    incomplete.send("set-down s");
    assert_eq!(incomplete.receive(), "error no whole call came in time");
    assert!(
        started_at.elapsed() > Duration::from_secs(4),
        "an incomplete call is kept for 4 s"
    );
}

#[test]
fn calls_are_answered_in_time_beside_many_connections_and_after_sigterm() {
    let mut rig = Rig::start_with_descriptors(1, 384);
    let established: Vec<_> = (0..20).map(|_| rig.establish()).collect();
    let (mut connections, mut slowest) = (Vec::new(), Duration::ZERO);
    for round in 0..30 {
        connections.extend((0..40).map(|_| rig.connect_client()));
        connections
            .iter_mut()
            .rev()
            .take(20)
            .for_each(|client| client.send("OPEN 9b1f03"));
        connections.extend((0..2).map(|_| rig.connect_admin()));
        if round == 20 {
            rig.signal("-TERM");
        }
        let started_at = Instant::now();
        assert!(["done", "error this process is ending"]
            .contains(&rig.admin_call("check\r\n").as_str()));
        slowest = slowest.max(started_at.elapsed());
    }
    println!("slowest answer: {slowest:?}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    for (mut client, _, _) in established {
        assert_eq!(client.receive(), "MOVE", "a client is cut off without MOVE");
    }
}

/// A first line, a server's answer and lines, and discovery's list may arrive cut at any byte.
#[rstest]
fn lines_may_be_cut_at_any_byte(#[values(1, 2, 7, 31)] chunk_size: usize) {
    let mut rig = Rig::start(2);
    let send_in_chunks = |line: &mut common::LineStream, text: &str| {
        line.stream.set_nodelay(true).unwrap();
        text.as_bytes()
            .chunks(chunk_size)
            .for_each(|chunk| line.send(std::str::from_utf8(chunk).unwrap()));
    };
    let mut client = rig.connect_client();
    send_in_chunks(
        &mut client,
        "OPEN 00000000000000aa f c=chat,d=15000,g=a\r\n",
    );
    let (server_index, mut server) = rig.accept_attempt();
    server.receive();
    send_in_chunks(&mut server, "LOAD 12\r\nUP r1\r\nLOAD 1500\r\nfirst\r\n");
    assert_eq!(
        [client.receive(), client.receive(), client.receive()],
        ["UP r1", "LOAD 1500", "first"]
    );
    rig.wait_for_log("load observed, load_us: 1500");
    send_in_chunks(&mut client, "second\r\n");
    assert_eq!(server.receive(), "second");
    let mut watch = rig.watch.take().unwrap();
    let host = format!(r#"{{"host":"s-{server_index}","dial":"127.0.0.1:1","health":"DRAINING"}}"#);
    let list = format!("{{\"seq\":5,\"whole\":false,\"hosts\":[{host}]}}\n");
    send_in_chunks(&mut watch, &format!("{:x}\r\n{list}\r\n", list.len()));
    rig.wait_for_log("seq: 5");
}

#[test]
fn the_command_line_makes_a_call_and_reports_its_result_by_exit_code() {
    let rig = Rig::start(1);
    let ask = |call: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lupincrank"));
        let output = command
            .arg("manage")
            .arg(rig.admin_address().to_string())
            .args(call)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
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
fn check_reports_an_error_until_discovery_has_sent_the_list() {
    let mut rig = Rig::launch(1, 1024);
    assert_eq!(
        rig.admin_call("check\r\n"),
        "error discovery has not told the list yet"
    );
    rig.accept_watch();
    wait_until("the node can serve", || {
        (rig.admin_call("check\r\n") == "done").then_some(())
    });
}

#[test]
fn an_admin_drained_server_is_emptied_and_gets_no_requests_until_it_is_undrained() {
    let mut rig = Rig::start(2);
    let (mut client, server_index, _server) = rig.establish();
    let down = format!("set-down s-{server_index}\r\n");
    assert_eq!(
        [rig.admin_call(&down), rig.admin_call(&down)],
        ["done", "done"]
    );
    assert_eq!([client.receive(), client.receive()], ["MOVE", ""]);
    // The endpoint list does not end the drain, whatever it reports.
    rig.announce_health(server_index, "DELETED", 2);
    rig.announce_health(server_index, "SERVING", 3);
    rig.wait_for_log("seq: 3");
    let established: Vec<_> = (0..4).map(|_| rig.establish()).collect();
    assert!(established
        .iter()
        .all(|(_, chosen, _)| *chosen != server_index));
    // A restored connection would be a new one for the server, too.
    let (mut restored, _) = rig.send_request(&format!("d=30000,g=a,at=s-{server_index}"));
    assert_eq!(restored.receive(), "BUSY");
    drop(established);
    rig.undrain(server_index);
}

#[test]
fn with_all_servers_admin_drained_a_request_is_rejected_at_once() {
    let mut rig = Rig::start(2);
    for n in 0..2 {
        assert_eq!(rig.admin_call(&format!("set-down s-{n}\r\n")), "done");
    }
    rig.wait_for_log("no server available");
    let (mut client, _) = rig.send_request("d=60000,g=a");
    assert!(client.receive().starts_with("BUSY "));
    assert_eq!(rig.admin_call("check\r\n"), "done", "the process can serve");
}

/// Reloads the configuration with these classes and this maximum number of attempts.
fn reload_classes(rig: &Rig, classes: &[(&str, &str)], attempts: u32) {
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
fn new_classes_and_attempts_apply_to_new_requests_and_old_ones_to_earlier_requests() {
    let mut rig = Rig::start(3);
    let (mut established, _, mut holder) = rig.establish();
    let (mut waiting, _) = rig.send_request("d=60000,g=a");
    let (_, first) = rig.accept_attempt();
    reload_classes(&rig, &[("notes", "once"), ("chat", "once")], 1);
    // The request arrived when retries were allowed, with up to three attempts.
    drop(first);
    let (_, mut second) = rig.accept_attempt();
    second.receive();
    second.send("UP r2\r\n");
    assert_eq!(waiting.receive(), "UP r2");
    // A request that arrives now may have been executed when its only attempt is lost, and no other attempt is allowed.
    let (mut new_client, _) = rig.send_request("d=60000,g=a");
    let (_, mut only) = rig.accept_attempt();
    only.receive();
    drop(only);
    assert_eq!(new_client.receive(), "ERR");
    assert!(rig.has_no_attempt());
    reload_classes(&rig, &[("notes", "repeatable")], 3);
    assert_eq!(
        rig.query("OPEN 00000000000000aa f c=chat,d=1500,g=a\r\n"),
        "ERR"
    );
    let mut notes = rig.connect_client();
    notes.send("OPEN 00000000000000ab f c=notes,d=1500,g=a\r\n");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    server.send("UP r3\r\n");
    assert_eq!(notes.receive(), "UP r3");
    for (client, server) in [
        (&mut established, &mut holder),
        (&mut waiting, &mut second),
        (&mut notes, &mut server),
    ] {
        client.send("hello\r\n");
        assert_eq!(server.receive(), "hello");
        server.send("LOAD 1500\r\nhello\r\n");
        assert_eq!([client.receive(), client.receive()], ["LOAD 1500", "hello"]);
    }
}

/// A file was applied in which a class lacks a key, and requests of the class that it drops were answered with an error.
#[test]
fn a_file_whose_class_lacks_a_key_is_turned_down() {
    let mut rig = Rig::start(1);
    reload_classes(&rig, &[("chat", "repeatable"), ("notes", "repeatable")], 3);
    let mut config = rig.config.clone();
    let mut notes = config["settings"]["Categories"][0].clone();
    notes["Name"] = "notes".into();
    notes.as_object_mut().unwrap().remove("WindowNs").unwrap();
    config["settings"]["Categories"] = vec![notes].into();
    rig.reload_config(&config.to_string());
    rig.wait_for_log("settings.Categories[0].WindowNs is missing, but the file in use has it");
    rig.establish();
}

#[test]
fn nothing_of_an_invalid_configuration_is_applied() {
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
