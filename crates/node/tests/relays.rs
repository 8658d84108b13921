//! Established connections at their limits: the lines that are forwarded, the ends of connections, and `MOVE`.

mod common;
use common::{reset_connection, LineStream, Rig};
use rstest::rstest;
use std::io::Read;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Allowed delay of a line.
const MAX_LINE_DELAY: Duration = Duration::from_secs(1);

/// Returns the bytes that the client receives until the connection ends, and the time that this took.
fn read_to_end(client: &mut LineStream) -> (String, Duration) {
    let started_at = Instant::now();
    let mut text = String::new();
    // A reset also ends the connection.
    let _ = client.stream.read_to_string(&mut text);
    (text, started_at.elapsed())
}

/// A server closes or resets in the middle of a line: the client's connection must end within a second.
#[rstest]
#[case::closes(false)]
#[case::resets(true)]
fn a_connection_that_its_server_closes_within_a_line_ends_within_a_second(#[case] is_reset: bool) {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    server.send("whole\r\nhalf a li");
    assert_eq!(client.receive(), "whole");
    if is_reset {
        reset_connection(server);
    } else {
        server.stream.shutdown(Shutdown::Both).unwrap();
    }
    let (_, duration) = read_to_end(&mut client);
    assert!(duration < Duration::from_secs(1), "{duration:?}");
}

/// `MOVE` from a draining server reaches its client between two lines, and both sides are closed.
#[test]
fn a_move_of_the_server_is_passed_on_and_ends_both_sides() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    server.send("first\r\nMOVE\r\n");
    server.stream.shutdown(Shutdown::Write).unwrap();
    let (text, duration) = read_to_end(&mut client);
    assert_eq!(text, "first\r\nMOVE\r\n");
    assert!(duration < Duration::from_secs(1), "{duration:?}");
    drop(client);
    assert_eq!(server.receive(), "", "the server's side is closed, too");
}

/// A client that does not read while the node shuts down must receive complete lines and then `MOVE` once it reads.
#[test]
fn a_client_that_reads_late_receives_complete_lines_and_then_move() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    let line = "z".repeat(1000);
    server
        .stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let mut sent_lines = 0;
    while server.try_send(&format!("{line}\r\n")).is_ok() {
        sent_lines += 1;
    }
    assert!(
        sent_lines > 100,
        "the buffers are full after {sent_lines} lines"
    );
    rig.signal("-TERM");
    rig.wait_for_log("shutdown started");
    std::thread::sleep(Duration::from_millis(1500));
    let mut lines = 0;
    loop {
        match client.try_receive().as_deref() {
            Some("MOVE") => break,
            Some(received) => assert_eq!(received, line, "line {lines} is damaged"),
            None => panic!("cut off without MOVE after {lines} lines"),
        }
        lines += 1;
    }
    assert!(lines <= sent_lines + 1);
}

/// No line of an established connection is delayed by a second while other clients flood the node.
#[test]
fn no_line_is_delayed_by_floods_of_other_clients() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    let address = rig.client_address();
    let flood: Vec<_> = (0..6)
        .map(|_| {
            std::thread::spawn(move || {
                let started_at = Instant::now();
                while started_at.elapsed() < Duration::from_secs(4) {
                    let mut bad = LineStream::new(std::net::TcpStream::connect(address).unwrap());
                    while bad.try_send(&"x".repeat(16 << 10)).is_ok() {}
                }
            })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(4) {
        let sent_at = Instant::now();
        common::exchange_lines(&mut client, &mut server);
        slowest = slowest.max(sent_at.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    for thread in flood {
        thread.join().unwrap();
    }
    println!("slowest exchange: {slowest:?}");
    assert!(slowest < MAX_LINE_DELAY, "{slowest:?}");
}

/// An idle connection stays open or, if its server drains or is removed from the list, ends with `MOVE`.
#[rstest]
#[case::quiet("")]
#[case::draining("DRAINING")]
#[case::deleted("DELETED")]
fn a_quiet_connection_is_not_cut_off(#[case] health: &str) {
    let mut rig = Rig::start(2);
    let (mut client, server_index, mut server) = rig.establish();
    if !health.is_empty() {
        rig.announce_health(server_index, health, 2);
        rig.wait_for_log("seq: 2");
    }
    let quiet_until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < quiet_until && client.is_quiet() {
        std::thread::sleep(Duration::from_millis(50));
    }
    if client.is_quiet() {
        common::exchange_lines(&mut client, &mut server);
    } else {
        assert!(!health.is_empty());
        assert_eq!(client.receive(), "MOVE", "cut off without MOVE");
    }
}
