//! The handoff between two processes of one node: the older hands its connections and state over, and nothing is lost.

mod common;
use common::{admin_call_at, exchange_lines, send_signal, wait_until, Rig, SyscallFaults};
use rstest::rstest;
use std::fmt::Write;
use std::io::Read;
use std::time::{Duration, Instant};

/// Five times the interval at which a process tries to get the lock.
const LOCK_SEARCH_TIME: Duration = Duration::from_millis(500);

#[test]
fn an_established_connection_is_handed_over_with_its_pending_bytes_and_nobody_is_moved() {
    let mut rig = Rig::start_with_inherited_listener(2);
    let (mut client, _, mut server) = rig.establish();
    let mut waiting = rig.send_request("d=20000,g=b").0;
    let (_, mut slow) = rig.accept_attempt();
    slow.receive();
    let mut unidentified = rig.connect_client();
    unidentified.send("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=ch");
    server.send("whole\r\npart");
    assert_eq!(client.receive(), "whole");
    // Twice, so that a connection that was handed over is handed over again.
    for round in 0..2 {
        rig.start_successor();
        rig.accept_watch();
        rig.wait_until_ready();
        // Each process has its share of the budgets while both accept clients.
        rig.wait_for_log_count("node budgets divided, processes: 2", 2 + 2 * round);
        send_signal(rig.predecessor.as_ref().unwrap(), "-TERM");
        if round == 0 {
            // A pending attempt completes in the older process; its connection is handed over afterwards.
            rig.wait_for_log("shutdown started");
            slow.send("UP r2\r\n");
            assert_eq!(waiting.receive(), "UP r2");
        }
        let older = rig.predecessor.as_mut().unwrap();
        assert!(wait_until("the older process exits", || older.try_wait().unwrap()).success());
    }
    server.send(" of a line\r\n");
    client.send("hello\r\n");
    assert_eq!(
        [client.receive(), server.receive()],
        ["part of a line", "hello"]
    );
    waiting.send("hello\r\n");
    assert_eq!(slow.receive(), "hello");
    unidentified.send("at,d=1500,g=c\r\n");
    rig.accept_attempt().1.receive();
    // The newest process holds the connections: it moves them at its own shutdown.
    rig.signal("-TERM");
    assert_eq!([client.receive(), waiting.receive()], ["MOVE", "MOVE"]);
}

#[test]
fn bytes_for_a_client_that_does_not_read_are_handed_over() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let (mut client, _, mut server) = rig.establish();
    // More than all buffers between server and client hold.
    let mut text = String::new();
    for number in 0..1_000_000 {
        writeln!(text, "line {number}\r").unwrap();
    }
    let sent = text.clone();
    let sender = std::thread::spawn(move || server.send(&sent));
    rig.hand_over_to_successor();
    let mut received = vec![0; text.len()];
    client.stream.read_exact(&mut received).unwrap();
    assert!(
        received == text.as_bytes(),
        "bytes are lost, duplicated or reordered"
    );
    sender.join().unwrap();
}

/// The drain call goes to one process before the second starts, to either while both run, or to the second after the
/// first has exited.
#[rstest]
#[case::before(0)]
#[case::to_the_newer(1)]
#[case::to_the_older(2)]
#[case::after(3)]
fn drained_servers_stay_drained_across_an_upgrade(#[case] call_phase: usize) {
    let mut rig = Rig::start_with_inherited_listener(2);
    let (mut client, server_index, _server) = rig.establish();
    let older_address = rig.admin_address();
    let down = format!("set-down s-{server_index}\r\n");
    let call = |rig: &Rig, phase: usize| {
        if call_phase == phase {
            let address = if phase == 2 {
                older_address
            } else {
                rig.admin_address()
            };
            assert_eq!(admin_call_at(address, &down), "done");
        }
    };
    call(&rig, 0);
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    (1..=2).for_each(|phase| call(&rig, phase));
    let mut established = Vec::new();
    if call_phase < 3 {
        // Whichever process got the call, the one that holds the connection moves it, and both drain the server.
        assert_eq!(client.receive(), "MOVE");
        rig.wait_for_log_count("admin drains changed", 2);
        established.extend((0..6).map(|_| rig.establish()));
        drop(client);
    }
    rig.terminate_predecessor();
    call(&rig, 3);
    established.extend((0..4).map(|_| rig.establish()));
    assert!(established
        .iter()
        .all(|(_, chosen, _)| *chosen != server_index));
    drop(established);
    rig.undrain(server_index);
}

#[test]
fn a_successor_that_cannot_serve_yet_leaves_clients_to_the_older_process() {
    let mut rig = Rig::start_with_inherited_listener(1);
    rig.start_successor();
    rig.wait_for_log("successor connected");
    for _ in 0..200 {
        assert_eq!(rig.query("PING\r\n"), "PONG");
    }
    assert_eq!(
        rig.admin_call("check\r\n"),
        "error discovery has not told the list yet"
    );
    rig.accept_watch();
    rig.wait_until_ready();
    rig.terminate_predecessor();
    rig.establish();
}

/// If the successor is killed, cannot serve yet or fails during the handoff, the older process keeps serving after
/// SIGTERM, accepts clients, and moves all of them.
#[rstest]
#[case::killed("ready")]
#[case::cannot_serve("successor connected")]
#[case::fails_during_the_handoff("")]
fn without_a_usable_successor_a_process_moves_its_clients(#[case] stage: &str) {
    let mut rig = Rig::start_with_inherited_listener(1);
    let (mut client, _, mut server) = rig.establish();
    if stage.is_empty() {
        let successor = rig.connect_as_successor("");
        send_signal(rig.oldest_process(), "-TERM");
        // The successor receives the connection and fails before it confirms it.
        wait_until("the connection", || {
            let mut packet = [0; 4096];
            let length = (&successor).read(&mut packet).unwrap();
            packet[..length].starts_with(b"{\"Standing\"").then_some(())
        });
    } else {
        rig.start_successor();
        if stage == "ready" {
            rig.accept_watch();
            rig.wait_until_ready();
            rig.signal("-KILL");
        }
        rig.wait_for_log(if stage == "ready" {
            "peer process lost"
        } else {
            stage
        });
        send_signal(rig.oldest_process(), "-TERM");
    }
    exchange_lines(&mut client, &mut server);
    let (mut new_client, _, _server) = rig.establish();
    assert_eq!([client.receive(), new_client.receive()], ["MOVE", "MOVE"]);
    drop((client, new_client));
    rig.wait_for_predecessor_exit();
}

/// A successor with another version of the messages, or invalid ones, is disconnected and gets no connection.
#[rstest]
#[case::version("{\"Beat\":{\"version\":1,\"clients\":0,\"strangers\":0,\"open\":true}}\n")]
#[case::nonsense("what?\n")]
#[case::no_end("{}")]
fn a_successor_with_another_protocol_gets_no_connection(#[case] message: &str) {
    let mut rig = Rig::start_with_inherited_listener(1);
    let (mut client, _, mut server) = rig.establish();
    let successor = rig.connect_as_successor("");
    successor.send(message.as_bytes()).unwrap();
    rig.wait_for_log("peer process lost");
    send_signal(rig.oldest_process(), "-TERM");
    exchange_lines(&mut client, &mut server);
    assert_eq!(client.receive(), "MOVE");
}

#[test]
fn after_the_older_process_was_killed_the_newer_serves_and_hands_over_in_its_turn() {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.establish();
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    send_signal(rig.predecessor.as_ref().unwrap(), "-KILL");
    let (mut client, _, mut server) = rig.establish();
    rig.wait_for_log("peer process lost");
    rig.hand_over_to_successor();
    exchange_lines(&mut client, &mut server);
}

/// A killed process holds its lock until it has exited. If a third process that starts meanwhile got the lock before
/// the second, the second would have no successor at its shutdown and would send `MOVE` to its clients. The test holds
/// the lock as the exiting process does, and lets the third process try to get it first.
#[test]
fn a_third_process_does_not_take_the_lock_before_the_second_one() {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.pause();
    let oldest = rig.oldest_process();
    send_signal(oldest, "-KILL");
    oldest.wait().unwrap();
    let lock = hold_lock(&rig);
    rig.resume();
    rig.wait_for_log("peer process lost");
    let (mut client, _, mut server) = rig.establish();
    rig.start_successor();
    send_signal(rig.oldest_process(), "-STOP");
    drop(lock);
    std::thread::sleep(LOCK_SEARCH_TIME);
    send_signal(rig.oldest_process(), "-CONT");
    rig.accept_watch();
    rig.wait_until_ready();
    rig.terminate_predecessor();
    exchange_lines(&mut client, &mut server);
}

/// Acquires the lock of the node's processes.
fn hold_lock(rig: &Rig) -> std::fs::File {
    let listen = rig.config["listen"].as_str().unwrap().replace(':', "-");
    let path = rig
        .runtime_directory()
        .join(format!("lupincrank-{listen}.lock"));
    let file = std::fs::File::options().write(true).open(path).unwrap();
    file.try_lock().unwrap();
    file
}

#[test]
fn learned_state_of_servers_is_handed_over() {
    let mut rig = Rig::start_with_inherited_listener(2);
    let (_client, server_index, _server) = rig.establish();
    // The next request of the group finds that the server refuses connections.
    rig.stop_listening(server_index);
    // This connection is kept to the end of the test: if both of its ends were closed at once, their order would be
    // random.
    let second = rig.establish();
    assert_ne!(second.1, server_index);
    rig.hand_over_to_successor();
    rig.wait_for_log("learned state imported, limited: 0, ejected: 1, servers: 2");
}

/// The drain file is damaged while the process that wrote it is running: that process must rewrite it.
#[test]
fn a_damaged_drain_file_is_rewritten_by_a_process_that_knows_its_content() {
    let mut rig = Rig::start_with_inherited_listener(2);
    assert_eq!(rig.admin_call("set-down s-0\r\n"), "done");
    let listen = rig.config["listen"].as_str().unwrap().replace(':', "-");
    std::fs::write(
        rig.runtime_directory()
            .join(format!("lupincrank-{listen}.out")),
        "?",
    )
    .unwrap();
    rig.hand_over_to_successor();
    rig.wait_for_log_count("admin drains changed, servers: s-0", 2);
    assert!((0..6)
        .map(|_| rig.establish())
        .collect::<Vec<_>>()
        .iter()
        .all(|(_, chosen, _)| *chosen == 1));
}

#[rstest]
#[case::damaged("out", "lupincrank-out 1 00000000\n[\"s-0\"]\n")]
#[case::no_socket("socket", "")]
#[case::leftover_lock("lock", "")]
fn leftover_files_prevent_no_start(#[case] extension: &str, #[case] text: &str) {
    let mut rig = Rig::start_with_inherited_listener(1);
    kill_and_wait(&mut rig);
    let listen = rig.config["listen"].as_str().unwrap().replace(':', "-");
    // A killed process leaves a socket at the `socket` path.
    let _ = std::fs::remove_file(
        rig.runtime_directory()
            .join(format!("lupincrank-{listen}.{extension}")),
    );
    std::fs::write(
        rig.runtime_directory()
            .join(format!("lupincrank-{listen}.{extension}")),
        text,
    )
    .unwrap();
    let started_at = Instant::now();
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    assert!(started_at.elapsed() < Duration::from_secs(6));
    rig.establish();
    if extension == "out" {
        rig.wait_for_log("checksum of the file does not match");
    }
}

fn kill_and_wait(rig: &mut Rig) {
    rig.signal("-KILL");
    rig.wait_for_exit();
}

#[rstest]
#[case::not_open("9")]
#[case::no_socket("3")]
#[case::another_address("8")]
#[case::not_a_number("seven")]
fn a_descriptor_that_is_no_listener_at_the_address_ends_the_start(#[case] descriptor: &str) {
    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let output = std::process::Command::new("/bin/sh")
        .args(["-c", "exec 8<&0 0</dev/null 3</dev/null; exec \"$@\"", "sh"])
        .args([
            env!("CARGO_BIN_EXE_lupincrank"),
            "serve",
            "--config",
            "../../examples/config.json",
        ])
        .env("RELAY_INHERITED_FD", descriptor)
        .stdin(std::os::fd::OwnedFd::from(other))
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains("RELAY_INHERITED_FD"),
        "{stderr}"
    );
}

/// The older process is killed after it has sent connections and before the newer process has confirmed them: the newer
/// one must take them over, because no other process holds them.
#[test]
fn connections_that_a_process_sent_before_it_was_killed_are_not_lost() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let mut established = vec![rig.establish(), rig.establish(), rig.establish()];
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.wait_for_log_count("node budgets divided, processes: 2", 2);
    rig.pause();
    send_signal(rig.oldest_process(), "-TERM");
    rig.wait_for_log_count("relay transfer started", established.len());
    send_signal(rig.oldest_process(), "-KILL");
    rig.oldest_process().wait().unwrap();
    rig.resume();
    rig.wait_for_log_count("connection taken over from dead process", established.len());
    for (client, _, server) in &mut established {
        exchange_lines(client, server);
    }
    // The newer process is the only one and continues alone.
    rig.establish();
    rig.hand_over_to_successor();
    let (client, _, server) = &mut established[0];
    exchange_lines(client, server);
}

/// A drain is on the disk before the answer: if it cannot be stored, the answer is an error and nothing changes.
#[rstest]
#[case::not_synced("sync=EIO:100")]
#[case::not_created("create=ENOSPC:100")]
#[case::not_written("write=ENOSPC:100")]
fn a_drain_that_cannot_be_stored_is_an_error_and_changes_nothing(#[case] plan: &str) {
    let mut rig = Rig::start_inheriting_with_faults(1, SyscallFaults::new(plan, 1));
    assert!(rig.admin_call("set-down s-0\r\n").starts_with("error "));
    let (_client, server_index, _server) = rig.establish();
    assert_eq!(server_index, 0, "the server is still used");
    rig.switch_faults_off();
    assert_eq!(rig.admin_call("set-down s-0\r\n"), "done");
    rig.hand_over_to_successor();
    let (mut client, _) = rig.send_request("d=1500,g=b");
    assert!(
        client.receive().starts_with("BUSY"),
        "the server stays drained"
    );
}

/// A process whose reads of the drain file fail for a moment must not overwrite the drains that the other one has
/// stored.
#[test]
fn a_read_of_the_drain_file_that_fails_for_a_moment_overwrites_nothing() {
    let mut rig = Rig::start_with_inherited_listener(2);
    let older_admin_address = rig.admin_address();
    rig.set_faults(SyscallFaults::new("read=EIO:100", 1));
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.switch_faults_on();
    assert_eq!(
        admin_call_at(older_admin_address, "set-down s-0\r\n"),
        "done"
    );
    rig.wait_for_log("admin drain file unreadable");
    assert!(rig.admin_call("set-down s-1\r\n").starts_with("error "));
    rig.switch_faults_off();
    rig.wait_for_log_count("admin drains changed, servers: s-0", 2);
    rig.terminate_predecessor();
    let (_client, server_index, _server) = rig.establish();
    assert_eq!(server_index, 1, "s-0 stays drained");
}
